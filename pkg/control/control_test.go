package control_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 200) }

var timing = control.Timing{Refresh: time.Second, FullScan: time.Minute, LeaseTTL: 5 * time.Second, ShardTTL: 3 * time.Second,
	Reports: time.Second, ReportBudget: 6, Sweep: 5 * time.Second, SweepGrace: 10 * time.Second, Purge: time.Minute, Steps: 2 * time.Second}

func start() time.Time { return time.Unix(1_800_000_000, 0) }

func newState() control.State { return control.New(control.Member{ID: "a", Address: "a:1"}, timing) }

// entryRow is the row of a catalogue entry whose owner tells the row's version.
func entryRow(t interface{ Fatal(...any) }, version uint64) platform.Row {
	b, err := json.Marshal(catalogue.Entry{Name: "e", Owner: fmt.Sprintf("c%d", version), Class: catalogue.Interactive})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: catalogue.EntryPrefix + "e", Version: version, Value: b}
}

// Whatever order reads of the catalogue come in, also after failures, what
// traffic reads never goes back to an older version of an entry.
func TestCatalogueNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, highest := newState(), uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "reads") {
			if rapid.IntRange(0, 4).Draw(t, "fails") == 0 {
				s, _ = control.Reduce(s, control.CatalogueRead{Err: errors.New("away")})
			} else {
				v := uint64(rapid.IntRange(1, 20).Draw(t, "version"))
				s, _ = control.Reduce(s, control.CatalogueRead{Revision: v, Number: v, Rows: []platform.Row{entryRow(t, v)}})
				highest = max(highest, v)
			}
			if got := s.View.Entries["e"].Owner; highest > 0 && got != fmt.Sprintf("c%d", highest) {
				t.Fatalf("entry of %s after version %d", got, highest)
			}
		}
	})
}

// Work that is under way is not begun a second time, however long it takes.
func TestWorkIsNotDoubled(t *testing.T) {
	s, now := newState(), start()
	begun := map[string]int{}
	for range 100 {
		var effs []control.Effect
		s, effs = control.Reduce(s, control.Tick{At: now})
		for _, e := range effs {
			switch e.(type) {
			case control.ReadCatalogue, control.ReadMembers, control.Heartbeat, control.ReadSteps, control.ReadInstances:
				begun[fmt.Sprintf("%T", e)]++
			}
		}
		now = now.Add(time.Second)
	}
	if len(begun) != 5 {
		t.Fatalf("begun %v", begun)
	}
	for what, n := range begun {
		if n != 1 {
			t.Errorf("%s begun %d times and never ended", what, n)
		}
	}
}

// memberRow is the row of a member that is held.
func memberRow(t *testing.T, id string, version uint64, now time.Time) platform.Row {
	data, err := json.Marshal(control.Member{ID: id, Address: id + ":1"})
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(lease.Lease{Holder: id, RenewedAt: now, ExpiresAt: now.Add(timing.LeaseTTL), Data: data})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: "member/" + id, Version: version, Value: b}
}

// A step's shards run where the membership says, once each, and not at an
// instance that drains.
func TestShardsRunOnce(t *testing.T) {
	now := start()
	rows := []platform.Row{memberRow(t, "a", 1, now), memberRow(t, "b", 2, now)}
	heads := map[string]step.Head{"c/e/s": {Shards: 8}, "c/e/closed": {Shards: 8, Closed: step.Cancelled}}
	shards := func(effs []control.Effect) (ids []string) {
		for _, e := range effs {
			if r, ok := e.(control.RunShard); ok {
				ids = append(ids, r.ID.String())
			}
		}
		return ids
	}
	var all []string
	for _, id := range []string{"a", "b"} {
		s := control.New(control.Member{ID: id, Address: id + ":1"}, timing)
		s, _ = control.Reduce(s, control.MembersRead{Rows: rows, At: now})
		s, effs := control.Reduce(s, control.StepsRead{Heads: heads})
		mine := shards(effs)
		all = append(all, mine...)
		if s, effs = control.Reduce(s, control.StepsRead{Heads: heads}); len(shards(effs)) != 0 {
			t.Fatalf("%s runs %v again", id, shards(effs))
		}
		s, _ = control.Reduce(s, control.DrainStarted{})
		for _, shard := range mine {
			var k int
			if _, err := fmt.Sscanf(shard, "c/e/s/%d", &k); err != nil {
				t.Fatal(err)
			}
			s, _ = control.Reduce(s, control.ShardEnded{ID: control.ShardID{Step: "c/e/s", Shard: k}})
		}
		if _, effs = control.Reduce(s, control.StepsRead{Heads: heads}); len(shards(effs)) != 0 {
			t.Fatalf("%s starts %v while it drains", id, shards(effs))
		}
	}
	slices.Sort(all)
	if len(slices.Compact(slices.Clone(all))) != 8 || len(all) != 8 {
		t.Fatalf("two instances run %v", all)
	}
}

// A member whose row stands unchanged is dropped by this process's own clock,
// whatever expiry its holder wrote.
func TestSilentMemberIsDropped(t *testing.T) {
	s, now := newState(), start()
	row := memberRow(t, "b", 1, now.Add(time.Hour)) // its clock is ahead
	for range 5 {
		s, _ = control.Reduce(s, control.MembersRead{Rows: []platform.Row{row}, At: now})
		now = now.Add(time.Second)
	}
	if len(s.View.Members) != 1 {
		t.Fatalf("members %v within the lease", s.View.Members)
	}
	s, _ = control.Reduce(s, control.MembersRead{Rows: []platform.Row{row}, At: now.Add(5 * time.Second)})
	if len(s.View.Members) != 0 {
		t.Fatalf("members %v after the lease", s.View.Members)
	}
}
