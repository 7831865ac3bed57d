package forward_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
)

// The retry delay is at most a third of the time until the caller's deadline, and at least
// minRetryDelay unless that is longer than the third.
func TestRetryDelayLeavesTimeForAttempt(t *testing.T) {
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
				t.Fatalf("retry delay %v with %v until the deadline; want at most a third of it and at least 300ms or that third", d, left)
			}
		}
	})
}

// Retries are spread over a longer time the more requests a pool rejects for each that it
// serves. One rejection among many served requests has little effect, and rejections by
// another pool have none.
func TestRetriesSpreadWithRejections(t *testing.T) {
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
		t.Errorf("latest retry: %v after one rejection, want at most 400ms; %v after rejections by another pool, want no effect", few, elsewhere)
	}
	if many < 5*time.Second {
		t.Errorf("latest retry: %v with six rejections for each request served, want at least 5s", many)
	}
}
