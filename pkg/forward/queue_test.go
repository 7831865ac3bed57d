package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// queueRoute is a route whose requests wait for at most waitLimit.
var queueRoute = routetable.Route{Name: "q", Kind: routetable.NonIdempotent, MaxAttempts: 1, LatencyObjective: 2 * waitLimit, Timeout: 2 * time.Second, Priority: 2,
	Shares: []routetable.Share{{Pool: "pool", Weight: 1}}}

const waitLimit = 200 * time.Millisecond

// pause has all upstreams refuse a request, so that they are not used for d.
func (s *site) pause(d time.Duration) {
	for {
		rsv, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now()})
		if !ok {
			return
		}
		rsv.Done(upstream.AttemptResult{At: time.Now(), Busy: true, BusyUntil: time.Now().Add(d)})
	}
}

// roomFor returns how many waiting requests find room at once.
func (s *site) roomFor() int {
	n := 0
	for ; ; n++ {
		rsv, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now(), MaxLoad: forward.WaiterMaxLoad})
		if !ok {
			return n
		}
		defer rsv.Release()
	}
}

// call forwards a request and returns how long that took.
func (s *site) call(ctx context.Context, r forward.Request) (time.Duration, error) {
	start := time.Now()
	_, err := s.Do(ctx, queueRoute, r)
	return time.Since(start), err
}

func isRefusal(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Verdict == verdict.NotRun && e.Status == http.StatusServiceUnavailable && e.RetryAt.After(time.Now())
}

// Guards against a waiter that is not woken when an upstream's pause ends, at once and not
// at the next poll, and against one that waits past its limit.
func TestWaitsForEndOfPause(t *testing.T) {
	for _, test := range []struct {
		pause, want time.Duration
		served      bool
	}{{37 * time.Millisecond, 37*time.Millisecond + usualTime, true}, {waitLimit - 1, waitLimit - 1 + usualTime, true}, {time.Hour, waitLimit, false}} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(true, "a", "b")
			s.pause(test.pause)
			took, err := s.call(t.Context(), forward.Request{ID: "x"})
			if took != test.want || (err == nil) != test.served || err != nil && !isRefusal(err) {
				t.Errorf("pause of %v: got %v after %v, want success %v after %v", test.pause, err, took, test.served, test.want)
			}
		})
	}
}

// sink is the Sink of a caller that discards the response.
type sink struct{}

func (sink) Begin(forward.Response)   {}
func (sink) Event([]byte) error       { return nil }
func (sink) Respond(forward.Response) {}

// Guards against requests for streams that poll in contended pools.
func TestStreamsWaitInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a")
		s.pause(37 * time.Millisecond)
		start := time.Now()
		err := s.Stream(t.Context(), queueRoute, forward.Request{ID: "x", Model: "m"}, "", sink{})
		if took, want := time.Since(start), 37*time.Millisecond+usualTime; err != nil || took != want || s.counted("waitqueue.joined") != 1 {
			t.Errorf("got %v after %v with %d in queues, want success after %v with 1", err, took, s.counted("waitqueue.joined"), want)
		}
		s.pause(time.Hour)
		if err := s.Stream(t.Context(), queueRoute, forward.Request{ID: "y", Model: "m"}, "", sink{}); !isRefusal(err) {
			t.Errorf("without room: got %v, want a refusal", err)
		}
	})
}

// Guards against a stream that waits for memory at the head of the queue and keeps those
// from an engine that fit there.
func TestStreamWithoutMemoryDoesNotKeepOthersWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a")
		s.registry.SetMemory(map[string]int{"pool": 62_540})
		ctx, end := context.WithCancel(t.Context())
		stream := func(tokens int) error {
			return s.Stream(ctx, queueRoute, forward.Request{ID: fmt.Sprint(tokens), Model: "m", Tokens: upstream.TokenUse{Prompt: tokens}}, "", sink{})
		}
		var g errgroup.Group
		s.next = []answer{{hang: true}}
		g.Go(func() error { _ = stream(40_000); return nil })
		synctest.Wait()
		for range 2 {
			g.Go(func() error {
				if err := stream(25_000); !isRefusal(err) {
					t.Errorf("stream without memory: got %v, want a refusal", err)
				}
				return nil
			})
		}
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		if err, took := stream(100), time.Since(start); err != nil || took != usualTime {
			t.Errorf("stream that fits: got %v after %v, want success after %v", err, took, usualTime)
		}
		time.Sleep(waitLimit)
		end()
		_ = g.Wait()
	})
}

// Guards against a change for pools that are not contended: requests there poll for at
// most 75 ms.
func TestDoesNotQueueWherePoolIsNotContended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(false, "a")
		s.pause(time.Hour)
		if took, err := s.call(t.Context(), forward.Request{ID: "x"}); took != 75*time.Millisecond || !isRefusal(err) || s.counted("waitqueue.joined") != 0 {
			t.Errorf("got %v after %v with %d in the queue, want a refusal after 75ms without", err, took, s.counted("waitqueue.joined"))
		}
	})
}

// Guards against waiters that are served in another order than by priority and then by
// turns of the customers, and against a caller that has left and still takes a turn.
func TestWaitersAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a")
		// Requests without an answer leave room for one more at a time. With room for
		// several, these would be sent at the same moment, in no order.
		hanging, end := context.WithCancel(t.Context())
		var g, others errgroup.Group
		for s.roomFor() > 1 {
			s.next = []answer{{hang: true}}
			others.Go(func() error {
				_, _ = s.call(hanging, forward.Request{ID: "hanging"})
				return nil
			})
			synctest.Wait()
		}
		s.sent = nil
		s.pause(50 * time.Millisecond)
		ctx, leave := context.WithCancel(t.Context())
		for _, r := range []forward.Request{{ID: "a1", Customer: "a"}, {ID: "a2", Customer: "a"}, {ID: "a3", Customer: "a"}, {ID: "left", Customer: "c"}, {ID: "b1", Customer: "b"},
			{ID: "urgent", Customer: "a", Priority: option.Some(0)}} {
			g.Go(func() error {
				c := t.Context()
				if r.ID == "left" {
					c = ctx
				}
				_, err := s.call(c, r)
				if r.ID == "left" && !isRefusal(err) {
					t.Errorf("the caller that left got %v", err)
				}
				return nil
			})
			time.Sleep(time.Millisecond)
		}
		leave()
		_ = g.Wait()
		end()
		_ = others.Wait()
		var order []string
		for _, r := range s.sent {
			order = append(order, r.ID)
		}
		if want := []string{"urgent", "a1", "b1", "a2", "a3"}; !slices.Equal(order, want) {
			t.Errorf("served in the order %v, want %v", order, want)
		}
	})
}

// Guards against a request's end that wakes nobody: an upstream that has refused a request
// takes one at a time until it has answered.
func TestEndOfRequestWakesWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a")
		s.pause(time.Millisecond)
		time.Sleep(time.Millisecond)
		var g errgroup.Group
		for range 3 {
			g.Go(func() error {
				_, err := s.call(t.Context(), forward.Request{ID: "x"})
				return err
			})
		}
		start := time.Now()
		if err, took := g.Wait(), time.Since(start); err != nil || took != 2*usualTime {
			t.Errorf("three requests: got %v after %v, want success after %v", err, took, 2*usualTime)
		}
	})
}

// Guards against a displaced request that waits on, and against one whose caller is told
// that it may have run.
func TestDisplacedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a")
		s.pause(time.Hour)
		var g errgroup.Group
		var refused atomic.Int64
		for i := range forward.QueueLimit(slotsOfEach) {
			g.Go(func() error {
				took, err := s.call(t.Context(), forward.Request{ID: fmt.Sprint(i)})
				if !isRefusal(err) {
					t.Errorf("got %v", err)
				}
				if took == 10*time.Millisecond {
					refused.Add(1)
				}
				return nil
			})
		}
		time.Sleep(10 * time.Millisecond)
		if took, err := s.call(t.Context(), forward.Request{ID: "same"}); took != 0 || !isRefusal(err) {
			t.Errorf("a request for a full queue: got %v after %v, want a refusal at once", err, took)
		}
		_, err := s.call(t.Context(), forward.Request{ID: "urgent", Priority: option.Some(0)})
		_ = g.Wait()
		if refused.Load() != 1 || s.counted("waitqueue.displaced") != 1 || !isRefusal(err) {
			t.Errorf("%d refused when the urgent request arrived, %d displaced; want 1, 1", refused.Load(), s.counted("waitqueue.displaced"))
		}
	})
}

// Guards against a length of the queues that stays wrong: requests that leave at the same
// moment wrote it to the gauge in another order than they had counted, so that it could
// show one that was no longer there.
func TestQueueLengthAfterAllLeave(t *testing.T) {
	for round := range 2000 {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(true, "a", "b")
			s.pause(time.Hour)
			ctx, leave := context.WithCancel(t.Context())
			var g errgroup.Group
			for i := range forward.QueueLimit(2 * slotsOfEach) {
				g.Go(func() error {
					_, err := s.call(ctx, forward.Request{ID: fmt.Sprint(i)})
					if !isRefusal(err) {
						t.Errorf("got %v, want a refusal", err)
					}
					return nil
				})
			}
			synctest.Wait()
			if s.gauge("waitqueue.length") == 0 {
				t.Errorf("round %d: got no waiting requests, want some", round)
			}
			leave()
			_ = g.Wait()
			if n := s.gauge("waitqueue.length"); n != 0 {
				t.Errorf("round %d: %d requests in the queue after all have left", round, n)
			}
		})
	}
}

// Guards, for any times of arrival, answers and refusals, against a request that is
// neither answered nor refused in time, one that runs twice, and a queue that does not
// become empty.
func TestQueuedCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type arrival struct {
			gap, leaves time.Duration
			answer      answer
		}
		var arrivals []arrival
		for range rapid.IntRange(1, 40).Draw(rt, "arrivals") {
			a := arrival{gap: time.Duration(rapid.IntRange(0, 20).Draw(rt, "gap_ms")) * time.Millisecond, leaves: time.Hour,
				answer: answer{after: time.Duration(rapid.IntRange(1, 100).Draw(rt, "after_ms")) * time.Millisecond, status: 200,
					err: rapid.SampledFrom([]error{nil, forward.ErrNotRun, forward.ErrUnreachable}).Draw(rt, "err")}}
			if rapid.IntRange(0, 5).Draw(rt, "leaves") == 0 {
				a.leaves = time.Duration(rapid.IntRange(1, 100).Draw(rt, "leaves_ms")) * time.Millisecond
			}
			arrivals = append(arrivals, a)
		}
		var failure string
		synctest.Test(t, func(t *testing.T) {
			s := newSite(true, "a", "b")
			var g errgroup.Group
			for _, a := range arrivals {
				s.next = append(s.next, a.answer)
			}
			tooks := make([]time.Duration, len(arrivals))
			for i, a := range arrivals {
				g.Go(func() error {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					defer time.AfterFunc(a.leaves, cancel).Stop()
					took, err := s.call(ctx, forward.Request{ID: fmt.Sprint(i), Customer: fmt.Sprint(i % 3)})
					tooks[i] = took
					if took > waitLimit+time.Second || err != nil && !isRefusal(err) && a.leaves == time.Hour {
						return fmt.Errorf("request %d: %v after %v", i, err, took)
					}
					return nil
				})
				time.Sleep(a.gap)
			}
			if err := g.Wait(); err != nil {
				failure = err.Error()
			}
			ran, sent := map[string]int{}, map[string]bool{}
			for _, a := range s.attempts {
				sent[a.Request] = true
				if !errors.Is(a.Err, forward.ErrNotRun) {
					ran[a.Request]++
				}
				if ran[a.Request] > 1 {
					failure = "request " + a.Request + " ran twice"
				}
			}
			for i, took := range tooks {
				if !sent[fmt.Sprint(i)] && took > waitLimit {
					failure = fmt.Sprintf("request %d was refused without an attempt after %v", i, took)
				}
			}
			if n := s.gauge("waitqueue.length"); n != 0 {
				failure = fmt.Sprintf("%d requests in the queue after all have ended", n)
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// A request that finds no room counts as one that did not run. Operators saw it among
// the requests whose upstream gave no answer, which may have run.
func TestNoRoomIsNotRun(t *testing.T) {
	f := forward.New(forward.Config{Registry: upstream.NewRegistry("")})
	route := queueRoute
	route.LatencyObjective = time.Millisecond
	if _, err := f.Do(t.Context(), route, forward.Request{ID: "r"}); !errors.Is(err, forward.ErrNotRun) || !isRefusal(err) {
		t.Errorf("error %v, want a refusal that wraps ErrNotRun", err)
	}
}

// Guards against an upstream whose failure rate a caller changes by leaving: with a success
// besides it, a failure would not make it a failing one.
func TestCallerThatLeavesShowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a")
		s.next = []answer{{hang: true}, {status: http.StatusInternalServerError}}
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(usualTime, leave)
		for i, c := range []context.Context{ctx, t.Context()} {
			_, _ = s.call(c, forward.Request{ID: "x"})
			if _, failing := s.registry.FailureChanges(time.Now()); failing != i {
				t.Errorf("%d upstreams failing after request %d, want %d", failing, i, i)
			}
		}
	})
}

// Guards against a request that waits on although a failing upstream has room, and against
// one that may run only once and is sent to it as if it could be repeated.
func TestFailingUpstreamIsUsed(t *testing.T) {
	for _, c := range []struct {
		kind  routetable.Kind
		pause time.Duration // of the failing upstream "a"; the other is then paused for an hour
		want  string
	}{{routetable.Idempotent, 0, "a"}, {routetable.NonIdempotent, 0, "b"}, {routetable.NonIdempotent, 37 * time.Millisecond, "a"}} {
		synctest.Test(t, func(t *testing.T) {
			s, start, rt := newSite(true, "a", "b"), time.Now(), queueRoute
			rt.Kind = c.kind
			reserve := func(exclude string) *upstream.Reservation {
				rsv, _ := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: start, Exclude: []string{exclude}})
				return rsv
			}
			for i := range 60 {
				reserve("b").Done(upstream.AttemptResult{At: start, Failed: i%5 == 0})
			}
			for range slotsOfEach - 1 {
				reserve("a")
			}
			if c.pause > 0 {
				reserve("b").Done(upstream.AttemptResult{At: start, Busy: true, BusyUntil: start.Add(c.pause)})
				reserve("a").Done(upstream.AttemptResult{At: start, Busy: true, BusyUntil: start.Add(time.Hour)})
			}
			_, err := s.Do(t.Context(), rt, forward.Request{ID: "x"})
			if took := time.Since(start); err != nil || s.attempts[0].Upstream != c.want || took != c.pause+usualTime {
				t.Errorf("%+v: got %v after %v, attempts %+v", c, err, took, s.attempts)
			}
		})
	}
}

// Guards against a request that is given up before it is sent and counts as one that its
// upstream has served: one that fails again and again would not be ejected.
func TestWithdrawnRequestIsNoSuccess(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.NonIdempotent, routetable.Streaming} {
		synctest.Test(t, func(t *testing.T) {
			s, rt := newSite(true, "a"), queueRoute
			rt.Kind = kind
			for i, err := range []error{errReset, forward.ErrWithdrawn, errReset} {
				s.next = []answer{{err: err}}
				if kind == routetable.Streaming {
					_ = s.Stream(t.Context(), rt, forward.Request{ID: "x"}, "", sink{})
				} else {
					_, _ = s.Do(t.Context(), rt, forward.Request{ID: "x"})
				}
				if len(s.attempts) != i+1 {
					t.Fatalf("%v: %d attempts after request %d", kind, len(s.attempts), i)
				}
			}
			if _, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now()}); ok {
				t.Errorf("%v: usable after two failures with a withdrawn request between them", kind)
			}
		})
	}
}

// Guards against a request that is displaced from the instance's memory while it waits, and
// counts as one for which the upstreams had no room: the reason of its rejection would be
// wrong, and requests that are rejected for lack of room would be told to retry later.
func TestWithdrawnWhileItWaits(t *testing.T) {
	errDisplaced := errors.New("displaced")
	for _, contended := range []bool{true, false} {
		for _, kind := range []routetable.Kind{routetable.NonIdempotent, routetable.Streaming} {
			synctest.Test(t, func(t *testing.T) {
				s, rt := newSite(contended, "a"), queueRoute
				rt.Kind = kind
				s.pause(time.Second)
				ctx, cancel := context.WithCancelCause(t.Context())
				defer cancel(nil)
				time.AfterFunc(usualTime, func() { cancel(fmt.Errorf("%w: %w", forward.ErrWithdrawn, errDisplaced)) })
				var err error
				if kind == routetable.Streaming {
					err = s.Stream(ctx, rt, forward.Request{ID: "x"}, "", sink{})
				} else {
					_, err = s.Do(ctx, rt, forward.Request{ID: "x"})
				}
				var ve *verdict.Error
				if !errors.As(err, &ve) || ve.Verdict != verdict.NotRun || !ve.RetryAt.IsZero() || !errors.Is(err, errDisplaced) || !errors.Is(err, forward.ErrWithdrawn) {
					t.Errorf("contended %v, kind %v: got %v, want one that has not run, with its cause and without a time to retry", contended, kind, err)
				}
			})
		}
	}
}
