package node_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const entries = "entries"

var decoder = node.Decoder{OperatorTable: "operator", EntriesTable: entries,
	Configuration: func(platform.Row) (*routetable.Table, bool, error) { return nil, false, nil },
	TargetVersion: func(platform.Row) (string, uint64, bool) { return "", 0, false },
	Entry: func(r platform.Row) (upstream.Entry, error) {
		if string(r.Value) == "bad" {
			return upstream.Entry{}, errors.New("bad")
		}
		return upstream.Entry{ID: strings.TrimPrefix(r.Key, entries+"//"), Pool: "p", Address: "10.0.0.1:1"}, nil
	}}

func encode(t *testing.T, v any) json.RawMessage {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// member returns a change of a member's row.
func member(t *testing.T, name, baseTime string, version uint64) platform.Change {
	data := encode(t, membership.Member{Address: name, Cores: 1})
	return platform.Change{Row: platform.Row{Key: membership.Key(name), Version: version, Value: encode(t, lease.Lease{Holder: baseTime, Data: data})}}
}

func members(at time.Time, chs ...platform.Change) feed.Update {
	return feed.Update{Table: membership.Table, At: at, Changes: chs}
}

func head(t *testing.T, h submission.Head, version uint64) platform.Change {
	return platform.Change{Row: platform.Row{Key: submission.HeadsTable + "/0/" + h.ID, Version: version, Value: encode(t, h)}}
}

func heads(at time.Time, chs ...platform.Change) feed.Update {
	return feed.Update{Table: submission.HeadsTable, At: at, Changes: chs}
}

func baseTime() time.Time { return time.Unix(1_800_000_000, 0) }

// A submission that ends after it was claimed, but before the takeover completes here,
// must not be started: its sender has cancelled it.
func TestEndedDuringTakeover(t *testing.T) {
	now := baseTime()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(now, member(t, "a", "a#1", 1)))
	left := submission.Head{ID: "l1", Owner: "b#1", Claimed: true, Total: 1}
	s.Update(heads(now, head(t, left, 2)))
	var effs []string
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		s.Update(members(now, member(t, "a", "a#1", uint64(now.UnixMilli()))))
		if effs = s.Tick(now); len(effs) > 0 {
			break
		}
	}
	if !slices.Contains(effs, "take over l1") {
		t.Fatalf("effects %v, want take over l1", effs)
	}
	claimed := left
	claimed.Owner = "a#1"
	ended := claimed
	ended.Ended = true
	s.Update(heads(now, head(t, claimed, 3)))
	s.Update(heads(now, head(t, ended, 4)))
	if effs := s.TakenOver(submission.HeadRow{Head: claimed, Fencing: 3}, now); len(effs) != 0 {
		t.Fatalf("effects %v after the submission has ended, want none", effs)
	}
}

// A submission that its live owner has claimed is never taken over. One that its chosen
// owner does not claim is taken over soon.
func TestTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		head      submission.Head
		takenOver bool
		within    time.Duration
	}{
		"live owner":           {submission.Head{Owner: "b#1", Claimed: true}, false, 20 * time.Second},
		"owner does not claim": {submission.Head{Owner: "b#1"}, true, 1500 * time.Millisecond},
		"released":             {submission.Head{Owner: "", ProgressToken: 3}, true, time.Second},
		"owner restarted":      {submission.Head{Owner: "b#0", Claimed: true}, true, time.Second},
		"own, earlier process": {submission.Head{Owner: "a#0", Claimed: true}, true, 200 * time.Millisecond},
		"owner gone":           {submission.Head{Owner: "c#1", Claimed: true}, true, 4 * time.Second},
		"ended":                {submission.Head{Owner: "c#1", Claimed: true, Ended: true}, false, 20 * time.Second},
		"complete":             {submission.Head{Owner: "c#1", Claimed: true, Complete: true}, false, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			started := baseTime()
			s := node.NewState("a", "a#1", decoder)
			c.head.ID = "l1"
			s.Update(members(started, member(t, "a", "a#1", 1), member(t, "b", "b#1", 2)))
			s.Update(heads(started, head(t, c.head, 3)))
			for now := started; now.Sub(started) < c.within; now = now.Add(100 * time.Millisecond) {
				s.Update(members(now, member(t, "a", "a#1", uint64(now.UnixMilli())), member(t, "b", "b#1", uint64(now.UnixMilli()+1))))
				if slices.Contains(s.Tick(now), "take over l1") {
					if !c.takenOver {
						t.Fatalf("taken over after %v, want no takeover", now.Sub(started))
					}
					return
				}
			}
			if c.takenOver {
				t.Fatalf("not taken over within %v", c.within)
			}
		})
	}
}

// While part of the store is unavailable and no member can renew its row, no submission
// that another instance runs may be taken over.
func TestNoTakeoverWhileNobodyCanRenew(t *testing.T) {
	started := baseTime()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(started, member(t, "a", "a#1", 1), member(t, "b", "b#1", 2)))
	s.Update(heads(started, head(t, submission.Head{ID: "l1", Owner: "b#1", Claimed: true}, 3)))
	for now := started; now.Sub(started) < 30*time.Second; now = now.Add(100 * time.Millisecond) {
		s.Update(members(now)) // the table is read, but unchanged
		if effs := s.Tick(now); len(effs) > 0 {
			t.Fatalf("effects %v after %v, want none", effs, now.Sub(started))
		}
	}
}

// A run stops when its submission has another owner or has ended. An instance that
// drains hands its runs over and starts none.
func TestRunsStop(t *testing.T) {
	now := baseTime()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(now, member(t, "a", "a#1", 1)))
	mine := submission.Head{ID: "l1", Owner: "a#1"}
	if effs := s.Update(heads(now, head(t, mine, 2))); !slices.Contains(effs, "take over l1") {
		t.Fatalf("effects %v, want take over l1", effs)
	}
	mine.Claimed = true
	if effs := s.TakenOver(submission.HeadRow{Head: mine, Fencing: 3}, now); !slices.Contains(effs, "start l1") {
		t.Fatalf("effects %v, want start l1", effs)
	}
	other := mine
	other.Owner = "b#1"
	if effs := s.Update(heads(now, head(t, other, 4))); !slices.Contains(effs, "stop l1") {
		t.Fatalf("effects %v, want stop l1", effs)
	}
	if effs := s.Drain(); !slices.Contains(effs, "leave") || !slices.Contains(effs, "release l1") {
		t.Fatalf("effects %v, want leave and release l1", effs)
	}
	if effs := s.Update(heads(now, head(t, submission.Head{ID: "l2", Owner: "a#1"}, 5))); len(effs) != 0 {
		t.Fatalf("effects %v while draining, want none", effs)
	}
}

func entry(id, value string, version uint64) platform.Change {
	return platform.Change{Row: platform.Row{Key: entries + "//" + id, Version: version, Value: []byte(value)}}
}

// Entries that expire while the store is unavailable must be kept until their upstreams
// have had time to register again. Entries that are removed at other times, or that
// cannot be decoded, are removed at once.
func TestEntriesExpireDuringStoreOutage(t *testing.T) {
	now := baseTime()
	s := node.NewState("a", "a#1", decoder)
	update := func(reset bool, chs ...platform.Change) {
		s.Update(feed.Update{Table: entries, At: now, Reset: reset, Changes: chs})
	}
	update(true, entry("i1", "", 1), entry("i2", "", 2), entry("i3", "", 3))
	removed := entry("i1", "", 4)
	removed.Deleted = true
	update(false, removed)
	if n := s.Upstreams(); n != 2 {
		t.Fatalf("%d upstreams after one was removed, want 2", n)
	}
	s.Update(feed.Update{Table: entries, At: now, Err: errors.New("away")})
	now = now.Add(5 * time.Second)
	update(true, entry("i2", "", 5)) // i3 has expired during the outage
	if n := s.Upstreams(); n != 2 {
		t.Fatalf("%d upstreams when the store returns, want the 2 from before", n)
	}
	now = now.Add(2300 * time.Millisecond)
	s.Tick(now)
	if n := s.Upstreams(); n != 1 {
		t.Fatalf("%d upstreams 2.3 s after the store has returned, want 1", n)
	}
	update(false, entry("i2", "bad", 6))
	if n := s.Upstreams(); n != 0 {
		t.Fatalf("%d upstreams after a malformed entry, want 0", n)
	}
}

// A submission that no longer runs is swept after its retention time by the one
// instance that ranks first for it. An open submission is never swept.
func TestSweep(t *testing.T) {
	for name, c := range map[string]struct {
		head  submission.Head
		after time.Duration
		swept bool
	}{
		"ended, old":    {submission.Head{Ended: true}, 3 * time.Minute, true},
		"complete, old": {submission.Head{Complete: true}, 3 * time.Minute, true},
		"ended, young":  {submission.Head{Ended: true}, 2 * time.Minute, false},
		"open, old":     {submission.Head{Owner: "b#1", Claimed: true}, time.Hour, false},
	} {
		c.head.ID, c.head.AcceptedAt = "l1", baseTime()
		swept := 0
		for _, self := range []string{"a", "b"} {
			s := node.NewState(self, self+"#1", decoder)
			now := baseTime().Add(c.after)
			s.Update(members(now, member(t, "a", "a#1", 1), member(t, "b", "b#1", 2)))
			s.Update(heads(now, head(t, c.head, 3)))
			if slices.Contains(s.Tick(now), "sweep l1") {
				swept++
			}
		}
		if (swept == 1) != c.swept || swept > 1 {
			t.Errorf("%s: swept by %d instances, want one if it is due and none otherwise", name, swept)
		}
	}
}

// Heartbeats that change nothing else must not cause effects. Any other change of an
// entry must.
func TestHeartbeatsCauseNoEffects(t *testing.T) {
	d := decoder
	d.EntryDigest = func(r platform.Row) uint64 { return uint64(len(r.Value)) + uint64(r.Value[0])<<8 }
	d.Entry = func(r platform.Row) (upstream.Entry, error) {
		return upstream.Entry{ID: strings.TrimPrefix(r.Key, entries+"//"), Pool: "p", Address: "10.0.0.1:1", Draining: strings.Contains(string(r.Value), "leaves")}, nil
	}
	s, now := node.NewState("a", "a#1", d), baseTime()
	update := func(chs ...platform.Change) []string {
		now = now.Add(time.Second)
		return s.Update(feed.Update{Table: entries, At: now, Changes: chs})
	}
	if effs := update(entry("i1", "x", 1), entry("i2", "x", 2)); !slices.Contains(effs, "upstreams 2") {
		t.Fatalf("effects %v of two new upstreams, want upstreams 2", effs)
	}
	for version, value := range []string{"x", "y", "x"} {
		if effs := update(entry("i1", value, uint64(3+version))); len(effs) != 0 {
			t.Fatalf("effects %v of a heartbeat, want none", effs)
		}
	}
	if effs := update(entry("i1", "leaves", 6), entry("i2", "x", 7)); !slices.Contains(effs, "upstreams 2") {
		t.Fatalf("effects %v when an upstream starts to drain, want upstreams 2", effs)
	}
	removed := entry("i1", "", 8)
	removed.Deleted = true
	if effs := update(removed); !slices.Contains(effs, "upstreams 1") {
		t.Fatalf("effects %v when an upstream is removed, want upstreams 1", effs)
	}
	if effs := update(); len(effs) != 0 {
		t.Fatalf("effects %v of an update without changes, want none", effs)
	}
}

// The cost of a change of one upstream must not grow with the number of upstreams.
func TestUpdateCostIndependentOfUpstreamCount(t *testing.T) {
	d := decoder
	d.EntryDigest = func(r platform.Row) uint64 { return uint64(r.Value[0]) }
	d.Entry = func(r platform.Row) (upstream.Entry, error) {
		return upstream.Entry{ID: strings.TrimPrefix(r.Key, entries+"//"), Pool: "p", Address: "10.0.0.1:1", Draining: r.Value[0] == 'd'}, nil
	}
	bytes := map[int]uint64{}
	for _, n := range []int{1000, 10_000} {
		s, now := node.NewState("a", "a#1", d), baseTime()
		var all []platform.Change
		for i := range n {
			all = append(all, entry(fmt.Sprint(i), "r", uint64(i+1)))
		}
		s.Update(feed.Update{Table: entries, At: now, Reset: true, Changes: all})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range 100 {
			s.Update(feed.Update{Table: entries, At: now, Changes: []platform.Change{entry(fmt.Sprint(i), "d", uint64(n+i+1))}})
		}
		runtime.ReadMemStats(&after)
		bytes[n] = (after.TotalAlloc - before.TotalAlloc) / 100
	}
	t.Logf("bytes allocated per change, by number of upstreams: %v", bytes)
	if bytes[10_000] > 2*bytes[1000] {
		t.Errorf("a change allocates %d bytes among 1,000 upstreams and %d among 10,000, want at most twice as many", bytes[1000], bytes[10_000])
	}
}

// A submission whose run has written every result must not be run again before the
// followed table shows that it is complete.
func TestCompleteSubmissionNotRunAgain(t *testing.T) {
	now := baseTime()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(now, member(t, "a", "a#1", 1)))
	mine := submission.Head{ID: "l1", Owner: "a#1", Claimed: true, AcceptedAt: now}
	s.Update(heads(now, head(t, submission.Head{ID: "l1", Owner: "a#1"}, 2)))
	if effs := s.TakenOver(submission.HeadRow{Head: mine, Fencing: 3}, now); !slices.Contains(effs, "start l1") {
		t.Fatalf("effects %v, want start l1", effs)
	}
	mine.Complete = true
	s.RunEnded(submission.HeadRow{Head: mine, Fencing: 4})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Update(members(now, member(t, "a", "a#1", uint64(now.UnixMilli()))))
		if effs := s.Tick(now); len(effs) != 0 {
			t.Fatalf("effects %v of a complete submission, want none", effs)
		}
	}
}

// A configuration change is written to the audit trail by few instances, once each, and
// not before they know of each other.
func TestFewInstancesAudit(t *testing.T) {
	d := decoder
	d.Configuration = func(r platform.Row) (*routetable.Table, bool, error) {
		return routetable.New(r.Version, nil, nil, routetable.Limits{}), true, nil
	}
	writers := 0
	for i := range 10 {
		self := fmt.Sprintf("n%d", i)
		s, now := node.NewState(self, self+"#1", d), baseTime()
		s.Update(members(now, member(t, self, self+"#1", 1))) // the others are not known yet
		s.Update(feed.Update{Table: "operator", At: now, Changes: []platform.Change{{Row: platform.Row{Key: "operator//c", Version: 7}}}})
		if effs := s.Tick(now.Add(time.Second)); len(effs) != 0 {
			t.Fatalf("effects %v before auditDelay has passed, want none", effs)
		}
		for j := range 10 {
			name := fmt.Sprintf("n%d", j)
			s.Update(members(now, member(t, name, name+"#1", uint64(10+j))))
		}
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			if slices.Contains(s.Tick(now), "audit 7") {
				writers++
			}
		}
	}
	if writers != 3 {
		t.Fatalf("%d instances write the change, want 3", writers)
	}
}

// Configurations may be read in any order, repeatedly, and among rows that cannot be
// decoded, as when many are written while the store's history is lost. The one in force
// must always be the newest that was read.
func TestConfigurationsInAnyOrder(t *testing.T) {
	d := decoder
	d.Configuration = func(r platform.Row) (*routetable.Table, bool, error) {
		if string(r.Value) == "bad" {
			return nil, true, errors.New("bad")
		}
		v, err := strconv.ParseUint(string(r.Value), 10, 64)
		return routetable.New(v, nil, nil, routetable.Limits{}), true, err
	}
	rapid.Check(t, func(t *rapid.T) {
		now, newest := baseTime(), uint64(0)
		s := node.NewState("a", "a#1", d)
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "after_ms")) * time.Millisecond)
			value, older := "bad", newest
			if v := rapid.Uint64Range(0, 12).Draw(t, "version"); v > 0 {
				value, newest = strconv.FormatUint(v, 10), max(newest, v)
			}
			row := platform.Row{Key: "operator//config", Version: uint64(now.UnixMilli()), Value: []byte(value)}
			effs := s.Update(feed.Update{Table: "operator", At: now, Reset: rapid.Bool().Draw(t, "read again"), Changes: []platform.Change{{Row: row}}})
			want := []string(nil)
			if newest > older {
				want = []string{fmt.Sprintf("configuration %d", newest)}
			}
			if !slices.Equal(effs, want) {
				t.Fatalf("effects %v after %q with configuration %d in force, want %v", effs, value, older, want)
			}
		}
	})
}

// The concurrent items of a model are those of two of its largest submissions, or of
// all open ones if that is more, including submissions that have ended.
func TestConcurrentItems(t *testing.T) {
	s := node.NewState("a", "a#1", decoder)
	now := baseTime()
	s.Update(heads(now, head(t, submission.Head{ID: "l1", Model: "m", Total: 40, Ended: true}, 1), head(t, submission.Head{ID: "l2", Model: "m", Total: 30}, 2),
		head(t, submission.Head{ID: "l3", Model: "n", Total: 5}, 3), head(t, submission.Head{ID: "l4", Model: "n", Total: 5}, 4), head(t, submission.Head{ID: "l5", Model: "n", Total: 5}, 5)))
	if m, n := s.ConcurrentItems("m"), s.ConcurrentItems("n"); m != 80 || n != 15 {
		t.Errorf("ConcurrentItems = %d for m and %d for n, want 80 and 15", m, n)
	}
}

// Guards against a run without its prior work, whose readers would miss results that were
// read, if a submission is taken over before the instance that accepted it has started it.
func TestSubmissionTakenOverBeforeItsStartIsNotStarted(t *testing.T) {
	now := baseTime()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(now, member(t, "a", "a#1", 1), member(t, "b", "b#1", 1)))
	own := submission.Head{ID: "l1", Owner: "a#1", Claimed: true, Total: 1}
	taken := own
	taken.Owner = "b#1"
	s.Update(heads(now, head(t, taken, 5)))
	spec := submission.Spec{ID: "l1", Items: make([]submission.Item, 1)}
	if effs := s.Accepted(submission.HeadRow{Head: own, Fencing: 3}, spec); len(effs) > 0 {
		t.Errorf("got effects %v for a submission that b has taken over, want none", effs)
	}
	own.ID, spec.ID = "l2", "l2"
	if effs := s.Accepted(submission.HeadRow{Head: own, Fencing: 6}, spec); !slices.Contains(effs, "start l2") {
		t.Errorf("got effects %v for a submission that was accepted, want its start", effs)
	}
}

// Guards against an odd row that fills the log as its writer renews it, and against one that
// operators do not learn of, or that is still counted after it is gone.
func TestUnusableEntryIsLoggedOnce(t *testing.T) {
	s := node.NewState("a", "a#1", decoder)
	version := uint64(0)
	update := func(reset bool, rows map[string]string) []string {
		u := feed.Update{Table: entries, At: baseTime(), Reset: reset}
		for id, value := range rows {
			version++
			u.Changes = append(u.Changes, platform.Change{Row: platform.Row{Key: entries + "//" + id, Version: version, Value: json.RawMessage(value)}, Deleted: value == ""})
		}
		return s.UpdateLines(u)
	}
	for i, step := range []struct {
		reset    bool
		rows     map[string]string
		lines    []string
		unusable int
	}{
		{false, map[string]string{"odd": "bad"}, []string{"entry not usable"}, 1},
		{false, map[string]string{"odd": "bad"}, nil, 1},
		{false, map[string]string{"odd": "good"}, []string{"upstream"}, 0},
		{false, map[string]string{"odd": "bad"}, []string{"entry not usable"}, 1},
		{false, map[string]string{"other": "bad"}, []string{"entry not usable"}, 2},
		{false, map[string]string{"odd": ""}, nil, 1},
		{true, map[string]string{"other": "bad"}, nil, 1},
		{true, map[string]string{"good": "good"}, []string{"upstream"}, 0},
	} {
		if lines := update(step.reset, step.rows); !slices.Equal(lines, step.lines) || s.UnusableEntries() != step.unusable {
			t.Errorf("step %d: lines %q and %d unusable entries, want %q and %d", i, lines, s.UnusableEntries(), step.lines, step.unusable)
		}
	}
}
