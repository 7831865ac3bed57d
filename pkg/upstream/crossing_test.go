package upstream_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/pace"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// crossing is the time for a request to another data centre and back that the tests expect.
const crossing = 900 * time.Microsecond

// newTwoDataCentres returns a registry of a contended pool with i0 in its data centre and i1
// in another, of which the times per request are observed and no load but the one given.
func newTwoDataCentres(times [2]time.Duration, n int, loads [2]int) (*upstream.Registry, []pace.Estimate) {
	r, es, tracker := upstream.NewRegistry("z"), entries(2), pace.New(pace.Config{})
	es[1].DataCentre = ""
	r.SetContended(true)
	r.Set(es)
	for i, id := range []string{"i0", "i1"} {
		for k := range n {
			at := baseTime().Add(time.Duration(k-n) * time.Millisecond)
			acquireAt(r, id).Done(upstream.AttemptResult{At: at, TimePerUnit: times[i]})
			tracker.Observe(id, times[i], at)
		}
		acquireAt(r, id).Done(upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Slots: 8, Running: loads[i]}})
	}
	return r, tracker.Estimates([]string{"i0", "i1"}, baseTime())
}

// choose returns the ID of the upstream that is chosen for a request.
func choose(r *upstream.Registry, req upstream.Requirements) string {
	req.Pool, req.Now = "p", baseTime()
	rsv, _ := r.Acquire(req)
	defer rsv.Release()
	return rsv.ID
}

// Guards against traffic to another data centre, which may be an unknown one, that gains less
// than crossing costs or than the estimates may be wrong, and against a caller that waits for
// slow local upstreams: a plain call goes there if, and only if, it is expected to complete
// sooner by more than both, a copy if by more than the former. The choice is the same each time.
func TestPlainCallCrossesForGain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times [2]time.Duration
		for i := range times {
			times[i] = time.Duration(rapid.IntRange(2_000, 20_000).Draw(t, "µs")) * time.Microsecond
		}
		isCopy := rapid.Bool().Draw(t, "copy")
		r, estimates := newTwoDataCentres(times, rapid.IntRange(5, 60).Draw(t, "observations"), [2]int{})
		gain, penalty := 1.0625*float64(estimates[0].Unit-estimates[1].Unit), float64(crossing) // with a request, 1 of 8 slots is taken
		if !isCopy {
			penalty += estimates[1].Error * float64(estimates[1].Unit)
		}
		want := "i0"
		if gain > penalty {
			want = "i1"
		}
		for range 3 {
			got := choose(r, upstream.Requirements{Affinity: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "affinity"), Copy: isCopy})
			if got != want && math.Abs(gain-penalty) > float64(time.Microsecond) {
				t.Fatalf("%s chosen, want %s: sooner by %v in the other data centre, penalty %v", got, want, time.Duration(gain), time.Duration(penalty))
			}
		}
	})
}

// Guards against oscillation between data centres: as the load of the local upstream rises,
// plain calls go to the other data centre from one load on and no longer return, and never
// while its load is no lower.
func TestPlainCallsCrossFromOneLoadOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remote, n := rapid.IntRange(0, 24).Draw(t, "remote load"), rapid.IntRange(0, 60).Draw(t, "observations")
		crossed := false
		for local := 0; local < 40; local += 3 {
			r, _ := newTwoDataCentres([2]time.Duration{80 * time.Millisecond, 80 * time.Millisecond}, n, [2]int{local, remote})
			crosses := choose(r, upstream.Requirements{}) == "i1"
			if crosses && local <= remote || crossed && !crosses {
				t.Fatalf("load %d, %d in the other data centre: crosses %v, at the load before %v", local, remote, crosses, crossed)
			}
			crossed = crosses
		}
		if !crossed {
			t.Fatalf("a load of 39 requests at 8 slots did not make a call cross to a load of %d", remote)
		}
	})
}

// Guards against calls to another data centre only because its upstreams have sent no
// report: one is not preferred while the call leaves a local slot free. It is where the call would wait for a local slot.
func TestUnknownLoadIsNoReasonToCross(t *testing.T) {
	for _, c := range []struct {
		local int
		want  string
	}{{0, "i0"}, {4, "i0"}, {6, "i0"}, {8, "i1"}, {16, "i1"}} {
		r, es := upstream.NewRegistry("z"), entries(2)
		es[1].DataCentre = "far"
		r.SetContended(true)
		r.Set(es)
		acquireAt(r, "i0").Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: 80 * time.Millisecond, Load: &upstream.Load{Slots: 8, Running: c.local}})
		if got := choose(r, upstream.Requirements{}); got != c.want {
			t.Errorf("%s chosen at a load of %d of 8 slots, want %s", got, c.local, c.want)
		}
	}
}

// BenchmarkAcquireAcrossDataCentres measures choosing one of 50 services of a contended pool, a
// third of them in the data centre of the instance.
func BenchmarkAcquireAcrossDataCentres(b *testing.B) {
	r, es := newContended(50, map[int]float64{3: 1.7, 5: 0.7}), entries(50)
	for i := range es {
		es[i].DataCentre = []string{"z", "y", "x"}[i%3]
	}
	r.Set(es)
	b.ReportAllocs()
	for b.Loop() {
		rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Affinity: "prompt", Now: baseTime()})
		rsv.Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: 10 * time.Millisecond})
	}
}

// Guards against a change for requests that name a model, whose time is known by the token
// only, and for pools that are not contended: a remote upstream counts as 0.1 of its slots
// busier.
func TestCrossingOfOtherRequests(t *testing.T) {
	for _, c := range []struct {
		contended bool
		model     string
		local     int
		want      string
	}{{true, "m", 0, "i0"}, {true, "m", 3, "i1"}, {false, "", 0, "i0"}, {false, "", 1, "i1"}, {false, "m", 1, "i1"}} {
		r, _ := newTwoDataCentres([2]time.Duration{time.Millisecond, time.Millisecond}, 60, [2]int{c.local, 0})
		r.SetContended(c.contended)
		if got := choose(r, upstream.Requirements{Model: c.model}); got != c.want {
			t.Errorf("%+v: %s chosen", c, got)
		}
	}
}
