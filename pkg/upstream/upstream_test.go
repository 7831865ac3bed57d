package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

func entries(n int) []upstream.Entry {
	var out []upstream.Entry
	for i := range n {
		out = append(out, upstream.Entry{ID: fmt.Sprintf("i%d", i), Born: 1, Pool: "p", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: "z", Slots: 8,
			Versions: map[string]uint64{"m": 1}})
	}
	return out
}

func baseTime() time.Time { return time.Unix(1_800_000_000, 0) }

// A batch whose items all start at once spreads evenly: no upstream gets more requests
// than it has slots, and the rest must wait.
func TestBatchSpreadsEvenly(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(entries(9))
	count := map[string]int{}
	for i := range 100 {
		res, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true, Affinity: fmt.Sprintf("prompt-%d", i/4)})
		if !ok {
			break
		}
		count[res.ID]++
	}
	total := 0
	for id, n := range count {
		total += n
		if n > 8 {
			t.Errorf("%s got %d requests, want at most its 8 slots", id, n)
		}
	}
	if total != 72 {
		t.Fatalf("%d requests sent, want 72: %v", total, count)
	}
}

// Of nine upstreams one takes five times as long as the others: it must get a small
// share of the requests, and of a batch only what it serves in the usual time.
func TestSlowUpstreamGetsLess(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(entries(9))
	now := baseTime()
	slow, slowID := 0, ""
	for i := range 900 {
		now = now.Add(time.Millisecond)
		affinity := "own" // happens to rank the slow upstream first
		if i%8 == 0 {
			affinity = fmt.Sprint(i) // sometimes another upstream is tried
		}
		res, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, Affinity: affinity})
		if !ok {
			t.Fatal("Acquire found no usable upstream")
		}
		unitTime := time.Millisecond
		if slowID == "" {
			slowID = res.ID
		}
		if res.ID == slowID {
			unitTime *= 5
			if i > 90 { // the slowness is known by then
				slow++
			}
		}
		res.Done(upstream.AttemptResult{At: now, TimePerUnit: unitTime})
	}
	if slow > 30 {
		t.Errorf("%d of 810 requests sent to the slow upstream, want at most 30", slow)
	}
	n := 0
	for range 72 {
		if res, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true}); ok && res.ID == slowID {
			n++
		}
	}
	if n > 2 {
		t.Errorf("%d items of a batch sent to the slow upstream, want at most 2 of its 8 slots", n)
	}
}

// A faster upstream is available to a stream at a slow one only if another has a free
// slot.
func TestFasterAvailable(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(entries(3))
	now := baseTime()
	var slow *upstream.Reservation
	for range 24 {
		res, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: now})
		unitTime := time.Millisecond
		if res.ID == "i0" {
			slow, unitTime = res, 4*time.Millisecond
		}
		res.Observe(upstream.AttemptResult{At: now, TimePerUnit: unitTime})
	}
	if slow.FasterAvailable(upstream.Requirements{Pool: "p", Now: now}, 2) {
		t.Fatal("FasterAvailable = true though all slots are taken, want false")
	}
	r.Set(append(entries(3), upstream.Entry{ID: "i9", Pool: "p", Address: "10.0.0.9:1", DataCentre: "z", Slots: 8}))
	if !slow.FasterAvailable(upstream.Requirements{Pool: "p", Now: now}, 2) {
		t.Fatal("FasterAvailable = false though an upstream is idle, want true")
	}
}

// An upstream that accepts no connection, or fails twice in a row, is ejected for a
// while. One that only had no free slot gets no requests for a shorter time.
func TestFailuresEject(t *testing.T) {
	for name, c := range map[string]struct {
		rep      upstream.AttemptResult
		n        int
		unusable time.Duration
	}{
		"unreachable": {upstream.AttemptResult{Unreachable: true}, 1, 300 * time.Millisecond},
		"failed once": {upstream.AttemptResult{Failed: true}, 1, 0},
		"failed":      {upstream.AttemptResult{Failed: true}, 2, 300 * time.Millisecond},
		"gone":        {upstream.AttemptResult{AddressReused: true}, 1, time.Hour},
		"busy":        {upstream.AttemptResult{Busy: true, BusyUntil: baseTime().Add(100 * time.Millisecond)}, 1, 90 * time.Millisecond},
	} {
		r := upstream.NewRegistry("z")
		r.Set(entries(1))
		for range c.n {
			res, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()})
			if !ok {
				t.Fatalf("%s: not usable before all failures were reported", name)
			}
			c.rep.At = baseTime()
			res.Done(c.rep)
		}
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime().Add(c.unusable)}); ok != (c.unusable == 0) {
			t.Errorf("%s: usable = %v after %v", name, ok, c.unusable)
		}
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime().Add(3 * time.Second)}); !ok && name != "gone" {
			t.Errorf("%s: not usable after 3 s, want usable", name)
		}
	}
}

// The state of an upstream is discarded when it restarts under the same ID, and kept
// when only its entry changes.
func TestRestartDiscardsState(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(1)
	r.Set(es)
	res, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()})
	res.Done(upstream.AttemptResult{At: baseTime(), Versions: map[string]uint64{"m": 5}})
	r.Set(es)
	if v := r.Entries("p")[0].Versions["m"]; v != 5 {
		t.Fatalf("version %d, want 5, which a response showed", v)
	}
	es[0].Born = 2
	r.Set(es)
	if v := r.Entries("p")[0].Versions["m"]; v != 1 {
		t.Fatalf("version %d of the restarted upstream, want 1, which it registered", v)
	}
}

// Requests go to upstreams whose weights are new enough. Upstreams that are slightly
// too old may be checked, by one request at a time.
func TestVersionRequirement(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(3)
	es[1].Versions = map[string]uint64{"m": 4}
	es[2].Versions = map[string]uint64{"m": 5}
	r.Set(es)
	want := upstream.Requirements{Pool: "p", Now: baseTime(), Model: "m", MinVersion: 5}
	for range 5 {
		if res, ok := r.Acquire(want); !ok || res.ID != "i2" {
			t.Fatal("Acquire did not choose i2, the only upstream that is new enough")
		}
	}
	want.Outdated = true
	if res, ok := r.Acquire(want); !ok || res.ID != "i1" {
		t.Fatal("Acquire with Outdated did not choose i1, which is one version behind")
	}
	if res, ok := r.Acquire(want); ok {
		t.Fatalf("Acquire with Outdated chose %s, want none before recheckInterval has passed", res.ID)
	}
}

// An upstream in the same data centre is preferred while its load is about equal.
func TestLocalUpstreamPreferred(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(2)
	es[0].DataCentre = "far"
	r.Set(es)
	for i := range 20 { // while both are idle
		res, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()})
		if res.ID != "i1" {
			t.Fatalf("request %d: the upstream of the other data centre was chosen, want i1", i)
		}
		res.Release()
	}
	if res, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()}); res.ID != "i1" {
		t.Fatal("the upstream of the other data centre was chosen, want i1")
	}
	remote := 0
	for range 8 {
		if res, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()}); res.ID == "i0" {
			remote++
		}
	}
	if remote < 3 {
		t.Fatalf("%d of 8 more requests sent to the idle upstream of the other data centre, want at least 3", remote)
	}
}

// A pool is contended once one of its upstreams has told the pace of its machine, and
// no other pool is.
func TestPaceMarksPoolContended(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(append(entries(2), upstream.Entry{ID: "j0", Pool: "q", Address: "10.0.1.1:1", DataCentre: "z", Slots: 8}))
	for _, pace := range []float64{0, 1.2} {
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()})
		if !ok {
			t.Fatal("Acquire found no usable upstream")
		}
		rsv.Done(upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Slots: 8, Pace: pace}})
		if got := r.Contended("p"); got != (pace > 0) {
			t.Errorf("pool contended = %v after a load with pace %v, want %v", got, pace, pace > 0)
		}
	}
	if r.Contended("q") {
		t.Error("a pool whose upstreams have told no pace is contended")
	}
	r.SetContended(true)
	if !r.Contended("q") {
		t.Error("pool not contended though all are")
	}
}
