package upstream_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against an upstream that fails again and again and counts as healthy because an
// attempt between the failures was superseded.
func TestSupersededAttemptIsNoSuccess(t *testing.T) {
	r, now := upstream.NewRegistry("z"), baseTime()
	r.Set(entries(1))
	for i, result := range []upstream.AttemptResult{{Failed: true}, {Superseded: true}, {Failed: true}} {
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now})
		if !ok {
			t.Fatalf("not usable before result %d", i)
		}
		result.At = now
		rsv.Done(result)
	}
	if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now}); ok {
		t.Error("usable after two failures with a superseded attempt between them")
	}
}

// Guards against a waiting request that is sent to an upstream that others have filled, and
// against one that is not woken when a request ends or the first pause is over.
func TestRoomForWaitingRequests(t *testing.T) {
	r, now := upstream.NewRegistry("z"), baseTime()
	r.Set(entries(3))
	var released []string
	r.OnRelease(func(pool string) { released = append(released, pool) })
	acquire := func(maxLoad float64) *upstream.Reservation {
		rsv, _ := r.Acquire(upstream.Requirements{Pool: "p", Now: now, MaxLoad: maxLoad})
		return rsv
	}
	full := acquire(1)
	full.Done(upstream.AttemptResult{At: now, Load: &upstream.Load{Running: 8, Queued: 1, Slots: 8}})
	for i := range 2 {
		rsv := acquire(1)
		if rsv == nil || rsv.ID == full.ID {
			t.Fatalf("got %v, want an upstream that is not full", rsv)
		}
		rsv.Done(upstream.AttemptResult{At: now, Busy: true, BusyUntil: now.Add(time.Duration(i+1) * time.Millisecond)})
	}
	if acquire(1) != nil {
		t.Error("the full upstream has room for a waiting request")
	}
	if at, ok := r.BusyUntil("p", now); !ok || !at.Equal(now.Add(time.Millisecond)) {
		t.Errorf("BusyUntil: got %v, %v; want the end of the first pause", at, ok)
	}
	acquire(0).Release()
	if len(released) != 4 || released[0] != "p" {
		t.Errorf("told of releases %v, want 4 in the pool", released)
	}
}
