package upstream_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against attempts that say nothing about whether an upstream fails requests and count
// nevertheless, as failures or, as a failure after them shows, as successes. Nor must rates be
// kept where the pool is not contended or of an earlier process.
func TestWhatCountsAsFailed(t *testing.T) {
	for i, result := range []upstream.AttemptResult{{Failed: true}, {Busy: true, Interrupted: true}, {}, // two failures, a success
		{Busy: true}, {VersionRefused: true}, {AddressReused: true}, {Unreachable: true}, {Superseded: true}, {Failed: true, Cancelled: true}} {
		for _, contended := range []bool{true, false} {
			r, es := upstream.NewRegistry("z"), entries(1)
			r.SetContended(contended)
			r.Set(es)
			reservations := []*upstream.Reservation{acquireAt(r, "i0"), acquireAt(r, "i0")}
			for n, result := range []upstream.AttemptResult{result, {Failed: true}} {
				result.At = baseTime()
				reservations[n].Done(result)
				if _, failing := r.FailureChanges(baseTime()); (failing == 1) != (contended && (i < 2 || n == 1 && i > 2)) {
					t.Errorf("contended %v, result %d, then %d failures: %d fail requests", contended, i, n, failing)
				}
			}
			es[0].Born = 2
			r.Set(es)
			if _, failing := r.FailureChanges(baseTime()); failing != 0 {
				t.Errorf("%d fail requests after a restart", failing)
			}
		}
	}
}

// Guards against a choice that depends on failures that all upstreams have alike.
func TestAllFailingAlikeChangesNoChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, failures := rapid.IntRange(2, 6).Draw(t, "engines"), rapid.IntRange(0, 30).Draw(t, "failures")
		paces := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond}), n, n).Draw(t, "paces")
		var registries [2]*upstream.Registry // none fail in the first, all in the second
		for i := range registries {
			r := upstream.NewRegistry("z")
			r.SetContended(true)
			r.Set(entries(n))
			for k, e := range r.Entries("p") {
				for range failures {
					acquireAt(r, e.ID).Done(upstream.AttemptResult{At: baseTime(), Failed: i == 1})
					acquireAt(r, e.ID).Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: paces[k]})
				}
			}
			registries[i] = r
		}
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			req := upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true, Affinity: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "affinity"),
				Work: rapid.Float64Range(0, 3).Draw(t, "work"), Units: rapid.Float64Range(0, 30).Draw(t, "units"), Once: rapid.Bool().Draw(t, "once")}
			want, ok := registries[0].Acquire(req)
			if got, _ := registries[1].Acquire(req); ok != (got != nil) || ok && want.ID != got.ID {
				t.Fatalf("got %+v where all fail alike, want %+v", got, want)
			}
		}
	})
}
