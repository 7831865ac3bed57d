package upstream_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// newContended returns a registry of n engines of a contended pool, of which those with
// an index in paces have been observed to take that many times 10 ms for a unit.
func newContended(n int, paces map[int]float64) *upstream.Registry {
	r := upstream.NewRegistry("z")
	r.SetContended(true)
	r.Set(entries(n))
	for range 40 {
		var all []*upstream.Reservation
		for range n * 8 {
			rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true})
			all = append(all, rsv)
		}
		for _, rsv := range all {
			i := 0
			fmt.Sscanf(rsv.ID, "i%d", &i)
			unit := 10.0
			if p, ok := paces[i]; ok {
				unit *= p
			}
			rsv.Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: time.Duration(unit * float64(time.Millisecond))})
		}
	}
	return r
}

// Guards against slots that stay idle because their engine is slow, and against long
// texts at slow engines: of texts that are started longest first, the first go to the
// fast engine and the others fill all slots of the slow ones.
func TestContendedPoolUsesAllSlots(t *testing.T) {
	r := newContended(3, map[int]float64{1: 0.4})
	count := map[string]int{}
	for i := range 24 {
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true, Work: 3 / float64(i+1), Units: 20, Affinity: fmt.Sprint(i)})
		if !ok {
			t.Fatalf("no slot for text %d of 24, want all of 3 engines with 8 slots used", i)
		}
		if count[rsv.ID]++; i < 6 && rsv.ID != "i1" {
			t.Errorf("text %d, one of the longest, went to %s, want the fast engine", i, rsv.ID)
		}
	}
	if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true}); ok {
		t.Errorf("a 25th text was started with 24 slots: %v", count)
	}
}

// Guards against a herd: 100 instances with the same report 200 ms old, by which one
// upstream is 10 % faster than nine others, must not all choose the same one. Each could
// get 10; twice that still fits into the slots of an upstream and its queue.
func TestNoHerd(t *testing.T) {
	count := map[string]int{}
	for sender := range 100 {
		r := upstream.NewRegistry("z")
		r.SetContended(true)
		r.Set(entries(10))
		var all []*upstream.Reservation
		for range 10 {
			rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime()})
			all = append(all, rsv)
		}
		for _, rsv := range all {
			load := &upstream.Load{Slots: 8, Running: 1, Pace: 1}
			if rsv.ID == "i3" {
				load.Pace = 0.9
			}
			rsv.Done(upstream.AttemptResult{At: baseTime(), Load: load, TimePerUnit: 80 * time.Millisecond})
		}
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime().Add(200 * time.Millisecond), Affinity: fmt.Sprint("sender ", sender)})
		if !ok {
			t.Fatal("Acquire found no usable upstream")
		}
		count[rsv.ID]++
	}
	for id, n := range count {
		if n > 20 {
			t.Errorf("%d of 100 senders chose %s, want at most 20: %v", n, id, count)
		}
	}
}

// Guards against estimates of a process that has ended: an engine that restarts under the
// same ID is not taken for slow, also once it has been observed again.
func TestRestartForgetsPace(t *testing.T) {
	r := newContended(2, map[int]float64{0: 3})
	next := func() string {
		rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true, Units: 20, Affinity: "i"})
		defer rsv.Release()
		return rsv.ID
	}
	if next() != "i1" {
		t.Fatal("the slow engine was chosen, want the other")
	}
	es := entries(2)
	es[0].Born = 2
	r.Set(es)
	for _, when := range []string{"after its restart", "and one observation"} {
		if got := next(); got != "i0" {
			t.Errorf("%s chosen %s of i0, want i0, which ranks first for the affinity", got, when)
		}
		acquireAt(r, "i0").Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: 10 * time.Millisecond})
	}
}

// Guards against moves that gain little or go to an engine without a free slot, that has just
// refused a request or that fails one in two.
func TestAcquireSooner(t *testing.T) {
	for _, c := range []struct {
		name      string
		pace      float64 // of the other engine
		units     float64 // left
		taken     int     // slots of the other engine
		refused   bool    // the other engine refused a request
		contended bool
		want      bool
	}{
		{"much faster", 0.4, 200, 0, false, true, true},
		{"a fifth faster", 0.8, 1000, 0, false, true, false},
		{"less than 300 ms to gain", 0.4, 30, 0, false, true, false},
		{"no free slot", 0.4, 200, 8, false, true, false},
		{"refused", 0.4, 200, 0, true, true, false},
		{"not contended", 0.4, 200, 0, false, false, false},
		{"fails requests", 0.4, 200, 0, false, true, false},
	} {
		r := newContended(2, map[int]float64{1: c.pace})
		here := acquireAt(r, "i0")
		for range c.taken {
			acquireAt(r, "i1")
		}
		for i := range 300 {
			at := baseTime().Add(time.Duration(i) * 100 * time.Millisecond)
			acquireAt(r, "i1").Done(upstream.AttemptResult{At: at, Failed: c.name == "fails requests" && i%2 == 0})
		}
		if c.refused {
			acquireAt(r, "i1").Done(upstream.AttemptResult{At: baseTime(), Busy: true, BusyUntil: baseTime()})
		}
		r.SetContended(c.contended)
		rsv, ok := here.AcquireSooner(upstream.Requirements{Pool: "p", Now: baseTime(), Units: c.units}, 50*time.Millisecond)
		if ok != c.want || ok && rsv.ID != "i1" {
			t.Errorf("%s: moves = %v, want %v", c.name, ok, c.want)
		}
	}
}

// Guards against a report that is taken for a new one at the end of the stream in whose
// header it came.
func TestReportOfStreamHeader(t *testing.T) {
	r := newContended(2, nil)
	rsv := acquireAt(r, "i0")
	result := upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Slots: 8, Pace: 5}}
	rsv.Observe(result)
	result.At, result.LoadAt = baseTime().Add(2*time.Second), baseTime()
	rsv.Done(result)
	if n := r.PaceReports(); n != 1 {
		t.Errorf("%d reports, want the one in the header", n)
	}
	if rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: result.At, Affinity: "i"}); rsv.ID != "i0" {
		t.Errorf("%s chosen 2 s after a slow pace of i0, want i0, which ranks first for the affinity", rsv.ID)
	}
}

// acquireAt reserves a slot of the upstream with the ID.
func acquireAt(r *upstream.Registry, id string) *upstream.Reservation {
	var others []string
	for _, e := range r.Entries("p") {
		if e.ID != id {
			others = append(others, e.ID)
		}
	}
	rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), Exclude: others})
	return rsv
}

// Guards against a rush: of 40 texts that look for a faster engine at the same time, only
// as many move to the one with free slots as it has.
func TestMovesTakeFreeSlotsOnly(t *testing.T) {
	r := newContended(6, map[int]float64{0: 0.4})
	var texts []*upstream.Reservation
	for _, id := range []string{"i1", "i2", "i3", "i4", "i5"} {
		for range 8 {
			texts = append(texts, acquireAt(r, id))
		}
	}
	moved := make([]bool, len(texts))
	var wg sync.WaitGroup
	for i, rsv := range texts {
		wg.Go(func() {
			_, moved[i] = rsv.AcquireSooner(upstream.Requirements{Pool: "p", Now: baseTime(), Units: 200}, 50*time.Millisecond)
		})
	}
	wg.Wait()
	n := 0
	for _, m := range moved {
		if m {
			n++
		}
	}
	if n != 8 {
		t.Errorf("%d texts moved, want 8, the slots of the fast engine", n)
	}
}

// Guards against a move of a text that may have a single weight version to an engine that
// holds another.
func TestMaxVersion(t *testing.T) {
	r := upstream.NewRegistry("z")
	es := entries(2)
	es[1].Versions = map[string]uint64{"m": 2}
	r.Set(es)
	for range 4 {
		if rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), Model: "m", MinVersion: 1, MaxVersion: 1}); !ok || rsv.ID != "i0" {
			t.Fatal("Acquire did not choose i0, the only engine with version 1")
		}
	}
}

// BenchmarkAcquireOfFifty measures choosing one of 50 engines whose times per unit are
// known, in a pool that is contended or not.
func BenchmarkAcquireOfFifty(b *testing.B) {
	for _, contended := range []bool{false, true} {
		b.Run(fmt.Sprint("contended=", contended), func(b *testing.B) {
			r := newContended(50, map[int]float64{3: 1.7, 5: 0.7})
			r.SetContended(contended)
			b.ReportAllocs()
			for b.Loop() {
				rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Affinity: "prompt", Now: baseTime()})
				rsv.Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: 10 * time.Millisecond})
			}
		})
	}
}
