package upstream_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against texts that wait for an engine that gets no more requests, and against texts that
// start again although an engine can continue them as soon as it has a free slot.
func TestSuitableSoon(t *testing.T) {
	req := upstream.Requirements{Pool: "p", Now: baseTime(), Model: "m", MinVersion: 1, MaxVersion: 1, NeedFreeSlot: true}
	acquire := func(t *testing.T, r *upstream.Registry) *upstream.Reservation {
		rsv, ok := r.Acquire(req)
		if !ok {
			t.Fatal("Acquire found no usable upstream")
		}
		return rsv
	}
	for _, c := range []struct {
		what  string
		setUp func(t *testing.T, r *upstream.Registry, e upstream.Entry)
		want  bool
	}{
		{"full", func(t *testing.T, r *upstream.Registry, e upstream.Entry) {
			for range e.Slots {
				acquire(t, r)
			}
		}, true},
		{"busy", func(t *testing.T, r *upstream.Registry, _ upstream.Entry) {
			acquire(t, r).Done(upstream.AttemptResult{At: baseTime(), Busy: true, BusyUntil: baseTime().Add(time.Second)})
		}, true},
		{"draining", func(_ *testing.T, r *upstream.Registry, e upstream.Entry) {
			e.Draining = true
			r.Set([]upstream.Entry{e})
		}, false},
		{"ejected", func(t *testing.T, r *upstream.Registry, _ upstream.Entry) {
			acquire(t, r).Done(upstream.AttemptResult{At: baseTime(), Failed: true, Unreachable: true})
		}, false},
		{"address used by another", func(t *testing.T, r *upstream.Registry, _ upstream.Entry) {
			acquire(t, r).Done(upstream.AttemptResult{At: baseTime(), AddressReused: true})
		}, false},
		{"loading the next version", func(t *testing.T, r *upstream.Registry, _ upstream.Entry) {
			r.SetContended(true)
			acquire(t, r).Done(upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Slots: 8}, Busy: true, Loading: true})
		}, false},
		{"another version", func(_ *testing.T, r *upstream.Registry, e upstream.Entry) {
			e.Versions = map[string]uint64{"m": 2}
			r.Set([]upstream.Entry{e})
		}, false},
		{"gone", func(_ *testing.T, r *upstream.Registry, _ upstream.Entry) { r.Set(nil) }, false},
	} {
		r := upstream.NewRegistry("z")
		e := entries(1)[0]
		r.Set([]upstream.Entry{e})
		c.setUp(t, r, e)
		if _, ok := r.Acquire(req); ok {
			t.Errorf("%s: Acquire found a usable upstream, want none", c.what)
		}
		if got := r.SuitableSoon(req); got != c.want {
			t.Errorf("%s: SuitableSoon = %v, want %v", c.what, got, c.want)
		}
	}
}
