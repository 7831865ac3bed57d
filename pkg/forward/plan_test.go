package forward_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

func TestMain(m *testing.M) {
	metrics.NewMeter() // starts the library's goroutine, which must not be part of a synctest bubble
	rapidseed.Main(m, 500)
}

// Whatever the results of its attempts, a non-idempotent request may run at most once, no
// request may run at more upstreams than its route allows, also with copies, no attempt's
// deadline is later than the caller's, and the request ends.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		rt := routetable.Route{Kind: rapid.SampledFrom([]routetable.Kind{routetable.Idempotent, routetable.NonIdempotent}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), Timeout: time.Duration(rapid.IntRange(0, 3000).Draw(t, "timeout_ms")) * time.Millisecond,
			LatencyObjective: time.Duration(rapid.IntRange(0, 500).Draw(t, "objective_ms")) * time.Millisecond}
		deadline := now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "deadline_ms")) * time.Millisecond)
		p := forward.NewPlan(rt, now, deadline)
		if p.Deadline.After(deadline) {
			t.Fatal("plan's deadline is after the caller's deadline")
		}
		mayHaveRun := 0
		for i := 0; ; i++ {
			if i > 20 {
				t.Fatal("request not finished after 20 attempts")
			}
			if p.MayCopy() && (rt.Kind != routetable.Idempotent || mayHaveRun+2 > rt.MaxAttempts) {
				t.Fatalf("a copy is allowed after %d attempts that may have run, of %d", mayHaveRun, rt.MaxAttempts)
			}
			if c := p.CopyDeadline(now); c.After(p.Deadline) {
				t.Fatal("deadline of a copy is after the plan's deadline")
			}
			until := p.AttemptDeadline(now)
			if until.After(p.Deadline) || !until.After(now) && now.Before(p.Deadline) {
				t.Fatalf("attempt at %[2]v has deadline %[1]v; want after the start and at most %[3]v", until, now, p.Deadline)
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
				t.Fatal("EndAttempt after a response below 500: got done = false, want true")
			}
		}
		if mayHaveRun > rt.MaxAttempts || rt.Kind != routetable.Idempotent && mayHaveRun > 1 {
			t.Fatalf("request may have run %d times; the route allows %d attempts", mayHaveRun, rt.MaxAttempts)
		}
	})
}

// An upstream accepts connections and stops responding. An idempotent request is retried
// elsewhere while there is time, and the last attempt gets all of the remaining time.
func TestUnresponsiveUpstreamIsAbandoned(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	rt := routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 2, LatencyObjective: 150 * time.Millisecond}
	p := forward.NewPlan(rt, now, now.Add(2*time.Second))
	if d := p.AttemptDeadline(now).Sub(now); d != 450*time.Millisecond {
		t.Fatalf("timeout of the first attempt: got %v, want 450ms (three objectives)", d)
	}
	now = now.Add(450 * time.Millisecond)
	if done, _ := p.EndAttempt("dark", 0, errors.New("no answer"), now); done {
		t.Fatal("EndAttempt after a timeout: got done = true, want a retry")
	}
	if p.AttemptDeadline(now) != p.Deadline {
		t.Fatal("deadline of the last attempt is not the plan's deadline")
	}
}

// Guards against a request that is given up before it is sent and is tried at other
// upstreams, or counts as refused by the upstream that it was meant for.
func TestWithdrawnRequest(t *testing.T) {
	now := time.Now()
	plan := forward.NewPlan(routetable.Route{Kind: routetable.Idempotent, MaxAttempts: 3}, now, time.Time{})
	if done, err := plan.EndAttempt("i", 0, forward.ErrWithdrawn, now); !done || !errors.Is(err, forward.ErrNotRun) || plan.MayHaveRun() {
		t.Errorf("EndAttempt: got %v, %v, may have run %v", done, err, plan.MayHaveRun())
	}
	var res upstream.AttemptResult
	if !forward.RecordRefusal(&res, forward.ErrWithdrawn, time.Second) || res.Busy {
		t.Errorf("RecordRefusal: got %+v, want an upstream that is not busy", res)
	}
}
