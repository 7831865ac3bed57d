package forward_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
)

// Whatever was served and rejected, a caller comes back within a third of its
// time, and not sooner than after the least pause, unless that is longer.
func TestReturnsLeaveTimeForAnAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r forward.RetryScheduler
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(0, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause_ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "served") {
				r.Served("p", now)
				continue
			}
			left := time.Duration(rapid.IntRange(-10, 10_000).Draw(t, "left_ms")) * time.Millisecond
			at := r.Reject("p", now, now.Add(left), rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			third := max(left, 0) / 3
			if d := at.Sub(now); d > third || d < min(third, 300*time.Millisecond) {
				t.Fatalf("comes back after %v with %v left", d, left)
			}
		}
	})
}

// The more requests a pool turns away for each that it serves, the longer its
// callers' returns are spread; one rejection among many answers spreads little,
// and another pool's rejections not at all.
func TestReturnsSpreadWithTheBacklog(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	latest := func(served, rejected int, other string) time.Duration {
		var r forward.RetryScheduler
		for range served {
			r.Served("p", now)
		}
		for range rejected {
			r.Reject(other, now, now.Add(time.Minute), 0)
		}
		return r.Reject("p", now, now.Add(time.Minute), 1).Sub(now)
	}
	few, many, elsewhere := latest(50, 1, "p"), latest(50, 300, "p"), latest(50, 300, "q")
	if few > 400*time.Millisecond || elsewhere != latest(50, 0, "p") {
		t.Errorf("returns spread to %v after one rejection, %v after those of another pool", few, elsewhere)
	}
	if many < 5*time.Second {
		t.Errorf("returns spread to %v when six are rejected for each that is served", many)
	}
}
