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

func start() time.Time { return time.Unix(1_800_000_000, 0) }

// Replays a batch whose items all start at once: it spreads evenly, no upstream
// has more than its slots, and the rest waits.
func TestBatchSpreadsEvenly(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(entries(9))
	count := map[string]int{}
	for i := range 100 {
		tk, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: start(), NeedFreeSlot: true, Affinity: fmt.Sprintf("prompt-%d", i/4)})
		if !ok {
			break
		}
		count[tk.ID]++
	}
	total := 0
	for id, n := range count {
		total += n
		if n > 8 {
			t.Errorf("%s has %d of 8 slots taken", id, n)
		}
	}
	if total != 72 {
		t.Fatalf("%d of 72 slots taken: %v", total, count)
	}
}

// Replays a load on nine upstreams of which one takes five times as long: it is
// given a small part of the work, and a batch leaves it what it serves in time.
func TestSlowUpstreamGetsLess(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(entries(9))
	now := start()
	slow, slowID := 0, ""
	for i := range 900 {
		now = now.Add(time.Millisecond)
		affinity := "own" // the slow one's, as it happens
		if i%8 == 0 {
			affinity = fmt.Sprint(i) // now and then another is tried
		}
		tk, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, Affinity: affinity})
		if !ok {
			t.Fatal("no upstream")
		}
		pace := time.Millisecond
		if slowID == "" {
			slowID = tk.ID
		}
		if tk.ID == slowID {
			pace *= 5
			if i > 90 { // by then it is known
				slow++
			}
		}
		tk.Done(upstream.AttemptResult{At: now, TimePerUnit: pace})
	}
	if slow > 30 {
		t.Errorf("%d of 810 requests went to the slow one", slow)
	}
	n := 0
	for range 72 {
		if tk, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true}); ok && tk.ID == slowID {
			n++
		}
	}
	if n > 2 {
		t.Errorf("%d of a batch's items went to the slow one's 8 slots", n)
	}
}

// A stream at a slow upstream is better off elsewhere only if another has room.
func TestBetter(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.Set(entries(3))
	now := start()
	var slow *upstream.Reservation
	for range 24 {
		tk, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: now})
		pace := time.Millisecond
		if tk.ID == "i0" {
			slow, pace = tk, 4*time.Millisecond
		}
		tk.Observe(upstream.AttemptResult{At: now, TimePerUnit: pace})
	}
	if slow.FasterAvailable(upstream.Requirements{Pool: "p", Now: now}, 2) {
		t.Fatal("better elsewhere, though all slots are taken")
	}
	r.Set(append(entries(3), upstream.Entry{ID: "i9", Pool: "p", Address: "10.0.0.9:1", DataCentre: "z", Slots: 8}))
	if !slow.FasterAvailable(upstream.Requirements{Pool: "p", Now: now}, 2) {
		t.Fatal("not better elsewhere, though an idle upstream is there")
	}
}

// An upstream that takes no connection, or fails twice in a row, is left alone
// for a while; one that only had no room is left alone shortly.
func TestFailuresEject(t *testing.T) {
	for name, c := range map[string]struct {
		rep  upstream.AttemptResult
		n    int
		away time.Duration
	}{
		"unreachable": {upstream.AttemptResult{Unreachable: true}, 1, 300 * time.Millisecond},
		"failed once": {upstream.AttemptResult{Failed: true}, 1, 0},
		"failed":      {upstream.AttemptResult{Failed: true}, 2, 300 * time.Millisecond},
		"gone":        {upstream.AttemptResult{AddressReused: true}, 1, time.Hour},
		"busy":        {upstream.AttemptResult{Busy: true, BusyUntil: start().Add(100 * time.Millisecond)}, 1, 90 * time.Millisecond},
	} {
		r := upstream.NewRegistry("z")
		r.Set(entries(1))
		for range c.n {
			tk, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: start()})
			if !ok {
				t.Fatalf("%s: ejected too soon", name)
			}
			c.rep.At = start()
			tk.Done(c.rep)
		}
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: start().Add(c.away)}); ok != (c.away == 0) {
			t.Errorf("%s: usable %v after %v", name, ok, c.away)
		}
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: start().Add(3 * time.Second)}); !ok && name != "gone" {
			t.Errorf("%s: not usable after 3 s", name)
		}
	}
}

// What is known of an upstream is forgotten when it starts again under its ID,
// and kept when only its entry changes.
func TestStartedAgain(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(1)
	r.Set(es)
	tk, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: start()})
	tk.Done(upstream.AttemptResult{At: start(), Versions: map[string]uint64{"m": 5}})
	r.Set(es)
	if v := r.Entries("p")[0].Versions["m"]; v != 5 {
		t.Fatalf("version %d, want 5 as its answers showed", v)
	}
	es[0].Born = 2
	r.Set(es)
	if v := r.Entries("p")[0].Versions["m"]; v != 1 {
		t.Fatalf("version %d of the new start, want 1 as it tells", v)
	}
}

// Requests go to upstreams whose weights are new enough; a little too old ones
// can be asked, one request at a time.
func TestVersions(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(3)
	es[1].Versions = map[string]uint64{"m": 4}
	es[2].Versions = map[string]uint64{"m": 5}
	r.Set(es)
	want := upstream.Requirements{Pool: "p", Now: start(), Model: "m", MinVersion: 5}
	for range 5 {
		if tk, ok := r.Acquire(want); !ok || tk.ID != "i2" {
			t.Fatal("not the one that is new enough")
		}
	}
	want.Outdated = true
	if tk, ok := r.Acquire(want); !ok || tk.ID != "i1" {
		t.Fatal("the one a version behind is not asked")
	}
	if tk, ok := r.Acquire(want); ok {
		t.Fatalf("%s is asked at once again", tk.ID)
	}
}

// The nearer upstream is preferred while it is about as loaded.
func TestNearIsPreferred(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(2)
	es[0].DataCentre = "far"
	r.Set(es)
	for range 1 {
		if tk, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: start()}); tk.ID != "i1" {
			t.Fatal("the far one is chosen")
		}
	}
	far := 0
	for range 8 {
		if tk, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: start()}); tk.ID == "i0" {
			far++
		}
	}
	if far < 3 {
		t.Fatalf("%d of 8 requests more went to the far one: it is idle", far)
	}
}
