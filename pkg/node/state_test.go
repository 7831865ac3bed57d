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

// member returns the change of a member's row.
func member(t *testing.T, name, start string, version uint64) platform.Change {
	data := encode(t, membership.Member{Address: name, Cores: 1})
	return platform.Change{Row: platform.Row{Key: membership.Key(name), Version: version, Value: encode(t, lease.Lease{Holder: start, Data: data})}}
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

func start() time.Time { return time.Unix(1_800_000_000, 0) }

// A submission that ends between its claim and the news of it is not started:
// what ran of it would be a run that its sender has cancelled.
func TestEndedWhileAdopted(t *testing.T) {
	now := start()
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
	if !slices.Contains(effs, "adopt l1") {
		t.Fatalf("effects %v, want an adoption", effs)
	}
	claimed := left
	claimed.Owner = "a#1"
	ended := claimed
	ended.Ended = true
	s.Update(heads(now, head(t, claimed, 3)))
	s.Update(heads(now, head(t, ended, 4)))
	if effs := s.TakenOver(submission.HeadRow{Head: claimed, Fencing: 3}, now); len(effs) != 0 {
		t.Fatalf("effects %v after the end, want none", effs)
	}
}

// A submission whose owner is live and has claimed it is left alone, however
// long; one that its chosen owner does not claim is adopted soon.
func TestAdoption(t *testing.T) {
	for name, c := range map[string]struct {
		head    submission.Head
		adopted bool
		within  time.Duration
	}{
		"live owner":            {submission.Head{Owner: "b#1", Claimed: true}, false, 20 * time.Second},
		"owner does not claim":  {submission.Head{Owner: "b#1"}, true, 1500 * time.Millisecond},
		"given up":              {submission.Head{Owner: "", ProgressToken: 3}, true, time.Second},
		"owner started again":   {submission.Head{Owner: "b#0", Claimed: true}, true, time.Second},
		"own, of earlier start": {submission.Head{Owner: "a#0", Claimed: true}, true, 200 * time.Millisecond},
		"owner gone":            {submission.Head{Owner: "c#1", Claimed: true}, true, 4 * time.Second},
		"ended":                 {submission.Head{Owner: "c#1", Claimed: true, Ended: true}, false, 20 * time.Second},
		"complete":              {submission.Head{Owner: "c#1", Claimed: true, Complete: true}, false, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			begun := start()
			s := node.NewState("a", "a#1", decoder)
			c.head.ID = "l1"
			s.Update(members(begun, member(t, "a", "a#1", 1), member(t, "b", "b#1", 2)))
			s.Update(heads(begun, head(t, c.head, 3)))
			for now := begun; now.Sub(begun) < c.within; now = now.Add(100 * time.Millisecond) {
				s.Update(members(now, member(t, "a", "a#1", uint64(now.UnixMilli())), member(t, "b", "b#1", uint64(now.UnixMilli()+1))))
				if slices.Contains(s.Tick(now), "adopt l1") {
					if !c.adopted {
						t.Fatalf("adopted after %v", now.Sub(begun))
					}
					return
				}
			}
			if c.adopted {
				t.Fatalf("not adopted within %v", c.within)
			}
		})
	}
}

// While a part of the store is away and no member can renew its row, nobody
// adopts what others run.
func TestNoAdoptionWhileNobodyCanRenew(t *testing.T) {
	begun := start()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(begun, member(t, "a", "a#1", 1), member(t, "b", "b#1", 2)))
	s.Update(heads(begun, head(t, submission.Head{ID: "l1", Owner: "b#1", Claimed: true}, 3)))
	for now := begun; now.Sub(begun) < 30*time.Second; now = now.Add(100 * time.Millisecond) {
		s.Update(members(now)) // the table is read, and stands
		if effs := s.Tick(now); len(effs) > 0 {
			t.Fatalf("effects %v after %v", effs, now.Sub(begun))
		}
	}
}

// A run stops when another instance owns its submission or it has ended, and an
// instance that drains hands its runs over and takes no more.
func TestRunsStop(t *testing.T) {
	now := start()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(now, member(t, "a", "a#1", 1)))
	mine := submission.Head{ID: "l1", Owner: "a#1"}
	if effs := s.Update(heads(now, head(t, mine, 2))); !slices.Contains(effs, "adopt l1") {
		t.Fatalf("effects %v", effs)
	}
	mine.Claimed = true
	if effs := s.TakenOver(submission.HeadRow{Head: mine, Fencing: 3}, now); !slices.Contains(effs, "start l1") {
		t.Fatalf("effects %v", effs)
	}
	other := mine
	other.Owner = "b#1"
	if effs := s.Update(heads(now, head(t, other, 4))); !slices.Contains(effs, "stop l1") {
		t.Fatalf("effects %v", effs)
	}
	if effs := s.Drain(); !slices.Contains(effs, "leave") || !slices.Contains(effs, "release l1") {
		t.Fatalf("effects %v", effs)
	}
	if effs := s.Update(heads(now, head(t, submission.Head{ID: "l2", Owner: "a#1"}, 5))); len(effs) != 0 {
		t.Fatalf("effects %v while draining", effs)
	}
}

func entry(id, value string, version uint64) platform.Change {
	return platform.Change{Row: platform.Row{Key: entries + "//" + id, Version: version, Value: []byte(value)}}
}

// Entries that lapse while the store is away are kept until their upstreams
// have had the time to come back; entries that go at other times, or that
// cannot be read, go at once.
func TestEntriesLapseWhileTheStoreIsAway(t *testing.T) {
	now := start()
	s := node.NewState("a", "a#1", decoder)
	update := func(reset bool, chs ...platform.Change) {
		s.Update(feed.Update{Table: entries, At: now, Reset: reset, Changes: chs})
	}
	update(true, entry("i1", "", 1), entry("i2", "", 2), entry("i3", "", 3))
	gone := entry("i1", "", 4)
	gone.Deleted = true
	update(false, gone)
	if n := s.Upstreams(); n != 2 {
		t.Fatalf("%d upstreams after one has left", n)
	}
	s.Update(feed.Update{Table: entries, At: now, Err: errors.New("away")})
	now = now.Add(5 * time.Second)
	update(true, entry("i2", "", 5)) // i3 lapsed meanwhile
	if n := s.Upstreams(); n != 2 {
		t.Fatalf("%d upstreams as the store returns, want those from before", n)
	}
	now = now.Add(2300 * time.Millisecond)
	s.Tick(now)
	if n := s.Upstreams(); n != 1 {
		t.Fatalf("%d upstreams 2.3 s after the store's return, want 1", n)
	}
	update(false, entry("i2", "bad", 6))
	if n := s.Upstreams(); n != 0 {
		t.Fatalf("%d upstreams, want none: the entry cannot be read", n)
	}
}

// A submission that nobody runs any more is swept when it has been kept long
// enough, by the instance that it ranks first, and never while it is open.
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
		c.head.ID, c.head.AcceptedAt = "l1", start()
		swept := 0
		for _, self := range []string{"a", "b"} {
			s := node.NewState(self, self+"#1", decoder)
			now := start().Add(c.after)
			s.Update(members(now, member(t, "a", "a#1", 1), member(t, "b", "b#1", 2)))
			s.Update(heads(now, head(t, c.head, 3)))
			if slices.Contains(s.Tick(now), "sweep l1") {
				swept++
			}
		}
		if (swept == 1) != c.swept || swept > 1 {
			t.Errorf("%s: swept by %d instances", name, swept)
		}
	}
}

// Heartbeats that change nothing else publish nothing; whatever an entry tells
// anew does.
func TestHeartbeatsPublishNothing(t *testing.T) {
	d := decoder
	d.EntryDigest = func(r platform.Row) uint64 { return uint64(len(r.Value)) + uint64(r.Value[0])<<8 }
	d.Entry = func(r platform.Row) (upstream.Entry, error) {
		return upstream.Entry{ID: strings.TrimPrefix(r.Key, entries+"//"), Pool: "p", Address: "10.0.0.1:1", Draining: strings.Contains(string(r.Value), "leaves")}, nil
	}
	s, now := node.NewState("a", "a#1", d), start()
	update := func(chs ...platform.Change) []string {
		now = now.Add(time.Second)
		return s.Update(feed.Update{Table: entries, At: now, Changes: chs})
	}
	if effs := update(entry("i1", "x", 1), entry("i2", "x", 2)); !slices.Contains(effs, "upstreams 2") {
		t.Fatalf("effects %v of two new upstreams", effs)
	}
	for version, value := range []string{"x", "y", "x"} {
		if effs := update(entry("i1", value, uint64(3+version))); len(effs) != 0 {
			t.Fatalf("effects %v of a heartbeat", effs)
		}
	}
	if effs := update(entry("i1", "leaves", 6), entry("i2", "x", 7)); !slices.Contains(effs, "upstreams 2") {
		t.Fatalf("effects %v as an upstream leaves", effs)
	}
	gone := entry("i1", "", 8)
	gone.Deleted = true
	if effs := update(gone); !slices.Contains(effs, "upstreams 1") {
		t.Fatalf("effects %v as an upstream is gone", effs)
	}
	if effs := update(); len(effs) != 0 {
		t.Fatalf("effects %v of nothing", effs)
	}
}

// What an upstream's change costs does not grow with the upstreams that there are.
func TestUpdateCostsWhatChanges(t *testing.T) {
	d := decoder
	d.EntryDigest = func(r platform.Row) uint64 { return uint64(r.Value[0]) }
	d.Entry = func(r platform.Row) (upstream.Entry, error) {
		return upstream.Entry{ID: strings.TrimPrefix(r.Key, entries+"//"), Pool: "p", Address: "10.0.0.1:1", Draining: r.Value[0] == 'd'}, nil
	}
	bytes := map[int]uint64{}
	for _, n := range []int{1000, 10_000} {
		s, now := node.NewState("a", "a#1", d), start()
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
	t.Logf("bytes allocated for a change: %v", bytes)
	if bytes[10_000] > 2*bytes[1000] {
		t.Errorf("a change takes %d bytes among 1,000 upstreams and %d among 10,000", bytes[1000], bytes[10_000])
	}
}

// A submission whose run has written every result is not run again while the
// feed has not told yet that it is complete.
func TestCompleteIsNotRunAgain(t *testing.T) {
	now := start()
	s := node.NewState("a", "a#1", decoder)
	s.Update(members(now, member(t, "a", "a#1", 1)))
	mine := submission.Head{ID: "l1", Owner: "a#1", Claimed: true, AcceptedAt: now}
	s.Update(heads(now, head(t, submission.Head{ID: "l1", Owner: "a#1"}, 2)))
	if effs := s.TakenOver(submission.HeadRow{Head: mine, Fencing: 3}, now); !slices.Contains(effs, "start l1") {
		t.Fatalf("effects %v", effs)
	}
	mine.Complete = true
	s.RunEnded(submission.HeadRow{Head: mine, Fencing: 4})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Update(members(now, member(t, "a", "a#1", uint64(now.UnixMilli()))))
		if effs := s.Tick(now); len(effs) != 0 {
			t.Fatalf("effects %v of a complete submission", effs)
		}
	}
}

// A change of the configuration is written to the audit trail by few instances,
// once each, and not before they know each other.
func TestFewInstancesAudit(t *testing.T) {
	d := decoder
	d.Configuration = func(r platform.Row) (*routetable.Table, bool, error) {
		return routetable.New(r.Version, nil, nil, routetable.Limits{}), true, nil
	}
	writers := 0
	for i := range 10 {
		self := fmt.Sprintf("n%d", i)
		s, now := node.NewState(self, self+"#1", d), start()
		s.Update(members(now, member(t, self, self+"#1", 1))) // the others are not known yet
		s.Update(feed.Update{Table: "operator", At: now, Changes: []platform.Change{{Row: platform.Row{Key: "operator//c", Version: 7}}}})
		if effs := s.Tick(now.Add(time.Second)); len(effs) != 0 {
			t.Fatalf("effects %v at once", effs)
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
		t.Fatalf("%d instances write, want 3", writers)
	}
}

// Configurations that are read in any order, again, and among rows that cannot be
// read, as in a storm of them with the store's history lost: the one in force is always
// the newest that was read, and never goes back.
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
		now, newest := start(), uint64(0)
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
				t.Fatalf("effects %v after %q with %d in force, want %v", effs, value, older, want)
			}
		}
	})
}

// A model's engines are for two of its largest steps, or for all that are open if that
// is more, also where a step has ended since.
func TestItemsAtOnce(t *testing.T) {
	s := node.NewState("a", "a#1", decoder)
	now := start()
	s.Update(heads(now, head(t, submission.Head{ID: "l1", Model: "m", Total: 40, Ended: true}, 1), head(t, submission.Head{ID: "l2", Model: "m", Total: 30}, 2),
		head(t, submission.Head{ID: "l3", Model: "n", Total: 5}, 3), head(t, submission.Head{ID: "l4", Model: "n", Total: 5}, 4), head(t, submission.Head{ID: "l5", Model: "n", Total: 5}, 5)))
	if m, n := s.ConcurrentItems("m"), s.ConcurrentItems("n"); m != 80 || n != 15 {
		t.Errorf("%d of m and %d of n, want 80 and 15", m, n)
	}
}
