package hedge_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/hedge"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

// Guards against copies that double the load of a service that is slow as a whole: of any
// sequence of calls of any duration, each of which asks for a copy, at most one in ten
// gets one, besides three that were saved up.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := hedge.New(hedge.Config{}), time.Unix(1_800_000_000, 0)
		copies := 0
		for calls := 1; calls <= rapid.IntRange(1, 300).Draw(t, "calls"); calls++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap_ms")) * time.Millisecond)
			p.Begin(now)
			p.Observe(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "took_ms"))*time.Millisecond, now)
			switch {
			case !p.Copy():
			case rapid.Bool().Draw(t, "refund"):
				p.Refund()
			default:
				copies++
			}
			if copies > calls/10+3 {
				t.Fatalf("%d copies of %d calls, want at most one in ten and 3", copies, calls)
			}
		}
	})
}

// Guards against copies of ordinary calls, and against copies on the ground of a few
// calls or of calls of long ago: 95 of 100 calls take 10 ms and 5 take 80 ms.
func TestDelay(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, test := range []struct{ objective, want time.Duration }{{0, 10 * time.Millisecond}, {20 * time.Millisecond, 10 * time.Millisecond}, {time.Second, 250 * time.Millisecond}} {
		p := hedge.New(hedge.Config{Objective: test.objective})
		for i := range 100 {
			_, ok := p.Begin(now)
			if ok != (i >= 20) {
				t.Fatalf("Begin with %d calls known: got %v, want true from 20 on", i, ok)
			}
			took := 10 * time.Millisecond
			if i%20 == 7 {
				took = 80 * time.Millisecond
			}
			p.Observe(took, now)
		}
		if d, _ := p.Begin(now); d < test.want || d > test.want*102/100 {
			t.Errorf("delay with an objective of %v: got %v, want %v", test.objective, d, test.want)
		}
		if _, ok := p.Begin(now.Add(time.Minute)); ok {
			t.Error("Begin a minute after the last call: got true, want false")
		}
	}
}

// Guards against a delay of a fast route that is used for a slow one.
func TestTimesAreKeptByRoute(t *testing.T) {
	var ps hedge.Policies
	cfg := hedge.Config{Objective: time.Second}
	a, again, b := ps.Of("a", cfg), ps.Of("a", cfg), ps.Of("b", cfg)
	if a != again || a == b {
		t.Error("Of: want one Policy for each route")
	}
}
