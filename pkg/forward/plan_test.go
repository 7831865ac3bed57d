package forward_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 500) }

// Whatever attempts give, a non-idempotent request may run once at most, no
// request is sent to more upstreams that may run it than its route allows, no
// attempt outlives the caller's time, and the request ends.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		rt := routetable.Route{Kind: rapid.SampledFrom([]routetable.Kind{routetable.Idempotent, routetable.NonIdempotent}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Timeout: time.Duration(rapid.IntRange(0, 3000).Draw(t, "timeout_ms")) * time.Millisecond,
			LatencyObjective: time.Duration(rapid.IntRange(0, 500).Draw(t, "objective_ms")) * time.Millisecond}
		deadline := now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "deadline_ms")) * time.Millisecond)
		p := forward.NewPlan(rt, now, deadline)
		if p.Deadline.After(deadline) {
			t.Fatal("answers after the deadline")
		}
		mayHaveRun := 0
		for i := 0; ; i++ {
			if i > 20 {
				t.Fatal("does not end")
			}
			until := p.AttemptDeadline(now)
			if until.After(p.Deadline) || !until.After(now) && now.Before(p.Deadline) {
				t.Fatalf("attempt until %v at %v, answer by %v", until, now, p.Deadline)
			}
			err := rapid.SampledFrom([]error{nil, forward.ErrNotRun, forward.ErrMisdirected, forward.ErrUnreachable, errors.New("reset")}).Draw(t, "err")
			status := rapid.SampledFrom([]int{http.StatusOK, http.StatusInternalServerError, http.StatusNotFound}).Draw(t, "status")
			if !errors.Is(err, forward.ErrNotRun) {
				mayHaveRun++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "took_ms")) * time.Millisecond)
			done, _ := p.EndAttempt(fmt.Sprintf("i%d", i), status, err, now)
			if done {
				break
			}
			if err == nil && status < 500 {
				t.Fatal("an answer is not the end")
			}
		}
		if mayHaveRun > rt.MaxAttempts || rt.Kind != routetable.Idempotent && mayHaveRun > 1 {
			t.Fatalf("may have run %d times, route allows %d", mayHaveRun, rt.MaxAttempts)
		}
	})
}

// Replays an upstream that has gone dark: an idempotent request leaves it while
// there is time for another, and the last attempt has all the time that is left.
func TestDarkUpstreamIsLeft(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rt := routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2, LatencyObjective: 150 * time.Millisecond}
	p := forward.NewPlan(rt, now, now.Add(2*time.Second))
	if d := p.AttemptDeadline(now).Sub(now); d != 450*time.Millisecond {
		t.Fatalf("the first attempt has %v, want three objectives", d)
	}
	now = now.Add(450 * time.Millisecond)
	if done, _ := p.EndAttempt("dark", 0, errors.New("no answer"), now); done {
		t.Fatal("not tried again")
	}
	if p.AttemptDeadline(now) != p.Deadline {
		t.Fatal("the last attempt has less than the time left")
	}
}
