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

var timing = control.Timing{Refresh: time.Second, FullReadInterval: time.Minute, LeaseTTL: 5 * time.Second, ShardTTL: 3 * time.Second,
	Reports: time.Second, ReportBudget: 6, Sweep: 5 * time.Second, SweepGrace: 10 * time.Second, Purge: time.Minute, Steps: 2 * time.Second}

func start() time.Time { return time.Unix(1_800_000_000, 0) }

func newState() control.State { return control.New(control.Member{ID: "a", Address: "a:1"}, timing) }

// entryRow returns the row of a catalogue entry whose owner names the row's version.
func entryRow(t interface{ Fatal(...any) }, version uint64) platform.Row {
	b, err := json.Marshal(catalogue.Entry{Name: "e", Owner: fmt.Sprintf("c%d", version), Class: catalogue.Interactive})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Key: catalogue.EntryPrefix + "e", Version: version, Value: b}
}

// Reads of the catalogue may return in any order, also after failed ones. An entry in
// the View must never revert to an older version.
func TestCatalogueKeepsNewestVersion(t *testing.T) {
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
				t.Fatalf("entry's owner = %s after version %d was read, want that of the newest version", got, highest)
			}
		}
	})
}

// A task in progress must not be started a second time, however long it takes.
func TestTaskUnderWayIsNotStartedAgain(t *testing.T) {
	s, now := newState(), start()
	started := map[string]int{}
	for range 100 {
		var effs []control.Effect
		s, effs = control.Reduce(s, control.Tick{At: now})
		for _, e := range effs {
			switch e.(type) {
			case control.ReadCatalogue, control.ReadMembers, control.Heartbeat, control.ReadSteps, control.ReadInstances:
				started[fmt.Sprintf("%T", e)]++
			}
		}
		now = now.Add(time.Second)
	}
	if len(started) != 5 {
		t.Fatalf("started %v, want 5 kinds of tasks", started)
	}
	for kind, n := range started {
		if n != 1 {
			t.Errorf("%s started %d times without ending, want once", kind, n)
		}
	}
}

// memberRow returns the row of a member with a live lease.
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

// Each shard of an open step runs on exactly one of the instances that agree on the
// membership, is started once, and is not started at an instance that drains.
func TestEachShardRunsOnOneInstance(t *testing.T) {
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
		own := shards(effs)
		all = append(all, own...)
		if s, effs = control.Reduce(s, control.StepsRead{Heads: heads}); len(shards(effs)) != 0 {
			t.Fatalf("%s started %v again, want none", id, shards(effs))
		}
		s, _ = control.Reduce(s, control.DrainStarted{})
		for _, shard := range own {
			var k int
			if _, err := fmt.Sscanf(shard, "c/e/s/%d", &k); err != nil {
				t.Fatal(err)
			}
			s, _ = control.Reduce(s, control.ShardEnded{ID: control.ShardID{Step: "c/e/s", Shard: k}})
		}
		if _, effs = control.Reduce(s, control.StepsRead{Heads: heads}); len(shards(effs)) != 0 {
			t.Fatalf("%s started %v while draining, want none", id, shards(effs))
		}
	}
	slices.Sort(all)
	if len(slices.Compact(slices.Clone(all))) != 8 || len(all) != 8 {
		t.Fatalf("two instances run %v, want each of 8 shards once", all)
	}
}

// A member whose row does not change is dropped by the local clock, whatever expiry the
// row contains: the clock of its instance may be ahead.
func TestMemberWithUnchangedRowIsDropped(t *testing.T) {
	s, now := newState(), start()
	row := memberRow(t, "b", 1, now.Add(time.Hour)) // the clock of b is an hour ahead
	for range 5 {
		s, _ = control.Reduce(s, control.MembersRead{Rows: []platform.Row{row}, At: now})
		now = now.Add(time.Second)
	}
	if len(s.View.Members) != 1 {
		t.Fatalf("members = %v within the lease, want one", s.View.Members)
	}
	s, _ = control.Reduce(s, control.MembersRead{Rows: []platform.Row{row}, At: now.Add(5 * time.Second)})
	if len(s.View.Members) != 0 {
		t.Fatalf("members = %v after the lease, want none", s.View.Members)
	}
}
