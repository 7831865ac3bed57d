package upstream_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Slots that no request gets make a step that is short of engines look as if it fitted:
// engines of other models, draining ones, those that have failed or hold weights far too
// old must not count. An engine that is about to load the version, or has just refused a
// request because it is full, must, or the order changes with every refusal.
func TestSlotsOfUsableEngines(t *testing.T) {
	r := upstream.NewRegistry("z")
	engine := func(id string, version uint64, draining bool) upstream.Entry {
		return upstream.Entry{ID: id, Pool: "p", Address: "10.0.0.1:1", Slots: 6, Draining: draining, Versions: map[string]uint64{"m": version}}
	}
	r.Set([]upstream.Entry{engine("current", 9, false), engine("loading", 8, false), engine("old", 3, false), engine("draining", 9, true), engine("unassigned", 9, false)})
	req := upstream.Requirements{Pool: "p", Model: "m", MinVersion: 9, Now: baseTime()}
	if got := r.Slots(req); got != 18 {
		t.Errorf("Slots() = %d without an assignment, want 18", got)
	}
	r.SetAssignments(map[string][]string{"m": {"current", "loading", "old", "draining", "gone"}})
	if got := r.Slots(req); got != 12 {
		t.Errorf("Slots() = %d with an assignment, want 12", got)
	}
	rsv, ok := r.Acquire(req)
	if !ok {
		t.Fatal("Acquire found no usable upstream")
	}
	rsv.Done(upstream.AttemptResult{At: baseTime(), Busy: true, BusyUntil: baseTime().Add(100 * time.Millisecond)})
	if got := r.Slots(req); got != 12 {
		t.Errorf("Slots() = %d after a refusal, want 12", got)
	}
	req.Now = baseTime().Add(time.Second)
	if rsv, ok = r.Acquire(req); !ok {
		t.Fatal("Acquire found no usable upstream")
	}
	rsv.Done(upstream.AttemptResult{At: req.Now, Unreachable: true})
	if got := r.Slots(req); got != 6 {
		t.Errorf("Slots() = %d after an engine became unreachable, want 6", got)
	}
}

// Guards against an entry of another writer that names more slots than the engines of its pool
// have: it would get nearly all requests, and change how many may wait.
func TestSlotsAreLimited(t *testing.T) {
	for _, contended := range []bool{false, true} {
		r := upstream.NewRegistry("z")
		r.SetContended(contended)
		es := entries(3)
		es[1].Slots = 1 << 16
		r.Set(es)
		r.SetSlotLimits(map[string]int{"p": 8})
		count := map[string]int{}
		for range 24 {
			if rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true}); ok {
				count[rsv.ID]++
			}
		}
		if count["i0"] != 8 || count["i1"] != 8 || count["i2"] != 8 {
			t.Errorf("contended = %v: requests by upstream %v, want 8 each", contended, count)
		}
		if _, slots := r.NonDraining("p"); slots != 24 {
			t.Errorf("contended = %v: %d slots in all, want 24", contended, slots)
		}
		if slots := r.Slots(upstream.Requirements{Pool: "p", Now: baseTime()}); slots != 24 {
			t.Errorf("contended = %v: %d usable slots, want 24", contended, slots)
		}
		r.SetSlotLimits(map[string]int{"p": 0})
		if _, slots := r.NonDraining("p"); slots != 16+1<<16 {
			t.Errorf("contended = %v: %d slots without a limit, want those of the entries", contended, slots)
		}
	}
}
