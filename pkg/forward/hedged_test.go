package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

const (
	usualTime   = 10 * time.Millisecond
	copyDelay   = 25 * time.Millisecond // a quarter of the objective of hedgedRoute
	slotsOfEach = 4
)

var hedgedRoute = routetable.Route{Name: "r", Kind: routetable.Idempotent, MaxAttempts: 2, LatencyObjective: 4 * copyDelay, Timeout: time.Second,
	Shares: []routetable.Share{{Pool: "pool", Weight: 1}}}

var errReset = errors.New("connection reset")

// answer is what a fake upstream does with the request sent to it: after the time, it
// answers with the status or ends with the error. It hangs if hang is set.
type answer struct {
	after  time.Duration
	status int
	err    error
	hang   bool
}

// site is a Forwarder with fake upstreams. Requests get the answers of next in the order
// in which they are sent, and usualTime and 200 if there is none. Requests that are sent at
// the same moment reach the upstreams in any order: nextOf gives answers by request.
type site struct {
	*forward.Forwarder
	registry *upstream.Registry
	metrics  metrics.Registry

	mu        sync.Mutex
	next      []answer
	nextOf    map[string][]answer // by request ID, before next
	sent      []forward.Request
	hanging   string // ID of an upstream that never answers
	cancelled int
	attempts  []forward.Attempt
}

func newSite(contended bool, ids ...string) *site {
	s := &site{registry: upstream.NewRegistry(""), metrics: metrics.NewRegistry()}
	s.registry.SetContended(contended)
	var entries []upstream.Entry
	for _, id := range ids {
		entries = append(entries, upstream.Entry{ID: id, Pool: "pool", Address: id, Slots: slotsOfEach})
	}
	s.registry.Set(entries)
	s.Forwarder = forward.New(forward.Config{Transport: s, Opener: s, Registry: s.registry, Metrics: s.metrics, OnAttempt: func(a forward.Attempt) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.attempts = append(s.attempts, a)
	}})
	return s
}

func (s *site) Send(ctx context.Context, to upstream.Entry, r forward.Request) (forward.Response, *upstream.Load, error) {
	s.mu.Lock()
	a := answer{after: usualTime, status: http.StatusOK}
	if next := s.nextOf[r.ID]; len(next) > 0 {
		a, s.nextOf[r.ID] = next[0], next[1:]
	} else if len(s.next) > 0 {
		a, s.next = s.next[0], s.next[1:]
	}
	s.sent = append(s.sent, r)
	s.mu.Unlock()
	if a.hang || to.ID == s.hanging {
		a.after = time.Hour
	}
	select {
	case <-time.After(a.after):
	case <-ctx.Done():
		s.mu.Lock()
		s.cancelled++
		s.mu.Unlock()
		return forward.Response{}, nil, ctx.Err()
	}
	if a.err != nil {
		return forward.Response{}, nil, a.err
	}
	return forward.Response{Status: a.status}, nil, nil
}

func (s *site) Open(ctx context.Context, to upstream.Entry, r forward.Request, _ int) (forward.StreamResponse, *upstream.Load, error) {
	resp, load, err := s.Send(ctx, to, r)
	return forward.StreamResponse{Response: resp}, load, err
}

// learn forwards calls of the usual time until copies may be sent, then forgets them and
// sets the next answers.
func (s *site) learn(t *testing.T, next ...answer) {
	t.Helper()
	for range 30 {
		if _, err := s.Do(t.Context(), hedgedRoute, forward.Request{ID: "usual"}); err != nil {
			t.Fatal(err)
		}
	}
	s.sent, s.attempts, s.next = nil, nil, next
}

func (s *site) counted(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.metrics).Count()
}

func (s *site) gauge(name string) int64 { return metrics.GetOrRegisterGauge(name, s.metrics).Value() }

// freeSlots returns how many requests the upstreams take now. It has each of them answer
// a request first, as one that has refused the last request takes a single one.
func (s *site) freeSlots() int {
	var answered []string
	for range s.registry.Entries("pool") {
		if rsv, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now(), Exclude: answered}); ok {
			rsv.Done(upstream.AttemptResult{At: time.Now()})
			answered = append(answered, rsv.ID)
		}
	}
	var taken []*upstream.Reservation
	for {
		rsv, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now(), NeedFreeSlot: true})
		if !ok {
			break
		}
		taken = append(taken, rsv)
	}
	for _, rsv := range taken {
		rsv.Release()
	}
	return len(taken)
}

// started returns how many attempts have a start time, each of which is billed.
func (s *site) started() int {
	n := 0
	for _, a := range s.attempts {
		if !a.StartedAt.IsZero() {
			n++
		}
	}
	return n
}

// Guards against a call that waits for its timeout because its upstream hangs, and against
// a cancelled copy that keeps its slot, counts as a failure of its upstream or is billed.
func TestFirstUpstreamHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a", "b")
		s.learn(t, answer{hang: true})
		start := time.Now()
		resp, err := s.Do(t.Context(), hedgedRoute, forward.Request{ID: "x"})
		took := time.Since(start)
		synctest.Wait() // for the cancelled attempt
		if err != nil || resp.Status != http.StatusOK || took != copyDelay+usualTime {
			t.Errorf("Do: got status %d, %v after %v; want 200 after %v", resp.Status, err, took, copyDelay+usualTime)
		}
		if len(s.sent) != 2 || s.sent[1].ID != "x" || s.cancelled != 1 || len(s.attempts) != 2 || s.started() != 1 {
			t.Errorf("%d sent, %d cancelled, %d attempts, %d with a start time; want 2, 1, 2, 1", len(s.sent), s.cancelled, len(s.attempts), s.started())
		}
		if !errors.Is(s.attempts[1].Err, forward.ErrSuperseded) || s.attempts[0].Upstream == s.attempts[1].Upstream {
			t.Errorf("attempts %+v; want the second superseded, at another upstream", s.attempts)
		}
		if s.counted("hedge.copies") != 1 || s.counted("hedge.won") != 1 {
			t.Errorf("%d copies, %d won; want 1, 1", s.counted("hedge.copies"), s.counted("hedge.won"))
		}
		_, usable := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now(), Exclude: []string{s.attempts[0].Upstream}})
		if !usable {
			t.Error("the upstream that hung is ejected after one superseded attempt")
		}
	})
}

// Guards against an upstream that hangs for good and stays as attractive as the others,
// because each request to it is superseded before it counts as a failure.
func TestHangingUpstreamBecomesLessAttractive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a", "b", "c")
		s.learn(t)
		s.hanging = s.attemptAt(t)
		sentThere := 0
		for range 50 {
			if s.attemptAt(t) == s.hanging {
				sentThere++
			}
		}
		if sentThere > 3 {
			t.Errorf("%d of 50 requests were sent to the hanging upstream, want at most 3", sentThere)
		}
	})
}

// attemptAt forwards a call and returns the upstream that it was first sent to.
func (s *site) attemptAt(t *testing.T) string {
	t.Helper()
	s.attempts = nil
	if _, err := s.Do(t.Context(), hedgedRoute, forward.Request{ID: "y"}); err != nil {
		t.Fatal(err)
	}
	for _, a := range s.attempts {
		if a.Number == 1 {
			return a.Upstream
		}
	}
	t.Fatal("no attempt was reported")
	return ""
}

// Guards against an outcome other than one for a call both of whose copies fail: a scorer
// call, which has one attempt, reports the response with an error status.
func TestBothCopiesFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a", "b")
		s.learn(t, answer{after: 2 * copyDelay, status: http.StatusInternalServerError}, answer{after: 2 * copyDelay, err: errReset})
		rt := hedgedRoute
		rt.MaxAttempts = 1
		resp, err := s.Do(t.Context(), rt, forward.Request{ID: "x", MaxRuns: 4})
		if err != nil || resp.Status != http.StatusInternalServerError || len(s.sent) != 2 || s.started() != 1 {
			t.Errorf("Do: got status %d, %v, %d sent, %d billed; want 500, 2, 1", resp.Status, err, len(s.sent), s.started())
		}
		s.next = []answer{{after: 2 * copyDelay, err: errReset}, {after: 2 * copyDelay, err: errReset}}
		_, err = s.Do(t.Context(), rt, forward.Request{ID: "x", MaxRuns: 4})
		if verdict.Of(err) != verdict.MayHaveRun || len(s.sent) != 4 {
			t.Errorf("Do: got %v, %d sent; want may_have_run, 4", err, len(s.sent))
		}
	})
}

// Guards against a call that fails because one of its two upstreams is cut off.
func TestUpstreamOfOneCopyIsCut(t *testing.T) {
	for name, next := range map[string][]answer{
		"first":  {{after: copyDelay + usualTime/2, err: errReset}, {after: usualTime, status: http.StatusOK}},
		"copy":   {{after: copyDelay + usualTime, status: http.StatusOK}, {after: usualTime / 2, err: errReset}},
		"copy 5": {{after: copyDelay + usualTime, status: http.StatusOK}, {after: usualTime / 2, status: http.StatusInternalServerError}},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(true, "a", "b")
			s.learn(t, next...)
			resp, err := s.Do(t.Context(), hedgedRoute, forward.Request{ID: "x"})
			if err != nil || resp.Status != http.StatusOK || len(s.sent) != 2 {
				t.Errorf("%s cut: got status %d, %v, %d sent; want 200, 2 sent", name, resp.Status, err, len(s.sent))
			}
		})
	}
}

// Guards against copies that go on at upstreams after the caller has disconnected.
func TestCallerOfHedgedCallIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(true, "a", "b")
		s.learn(t, answer{hang: true}, answer{hang: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(2*copyDelay, cancel)
		start := time.Now()
		if _, err := s.Do(ctx, hedgedRoute, forward.Request{ID: "x"}); err == nil {
			t.Error("Do: got no error")
		}
		if took := time.Since(start); took != 2*copyDelay || s.cancelled != 2 || s.freeSlots() != 2*slotsOfEach {
			t.Errorf("ended after %v with %d of 2 copies cancelled and %d of %d slots free", took, s.cancelled, s.freeSlots(), 2*slotsOfEach)
		}
	})
}

// Guards against a second run of a request that may run once, and against copies where
// the pool is not contended, without another upstream or beyond the route's attempts.
func TestNeverCopied(t *testing.T) {
	for name, test := range map[string]struct {
		contended bool
		ids       []string
		change    func(*routetable.Route)
	}{
		"non-idempotent":    {true, []string{"a", "b"}, func(rt *routetable.Route) { rt.Kind = routetable.NonIdempotent }},
		"single attempt":    {true, []string{"a", "b"}, func(rt *routetable.Route) { rt.MaxAttempts = 1 }},
		"not contended":     {false, []string{"a", "b"}, func(*routetable.Route) {}},
		"only one upstream": {true, []string{"a"}, func(*routetable.Route) {}},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(test.contended, test.ids...)
			rt := hedgedRoute
			test.change(&rt)
			s.learn(t, answer{after: 8 * copyDelay, status: http.StatusOK})
			if _, err := s.Do(t.Context(), rt, forward.Request{ID: "x"}); err != nil || len(s.sent) != 1 {
				t.Errorf("%s: got %v, %d sent; want 1", name, err, len(s.sent))
			}
		})
	}
}

// Guards, for any answers of three upstreams, against more runs than the route allows, an
// attempt that is not reported, a call billed twice, a deadline later than the caller's
// and a slot that is not released.
func TestHedgedCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := hedgedRoute
		route.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "attempts")
		var calls [][]answer
		for range rapid.IntRange(1, 3).Draw(rt, "calls") {
			var next []answer
			for range 8 {
				next = append(next, answer{after: time.Duration(rapid.IntRange(0, 400).Draw(rt, "after_ms")) * time.Millisecond, hang: rapid.IntRange(0, 9).Draw(rt, "hang") == 0,
					status: rapid.SampledFrom([]int{200, 404, 500}).Draw(rt, "status"), err: rapid.SampledFrom([]error{nil, nil, errReset, forward.ErrNotRun}).Draw(rt, "err")})
			}
			calls = append(calls, next)
		}
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = checkCalls(t, route, calls) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// checkCalls forwards a call for each of the lists of answers, and returns what is wrong.
func checkCalls(t *testing.T, rt routetable.Route, calls [][]answer) string {
	s := newSite(true, "a", "b", "c")
	s.learn(t)
	for _, next := range calls {
		s.sent, s.attempts, s.next = nil, nil, next
		deadline := time.Now().Add(800 * time.Millisecond)
		_, err := s.Do(t.Context(), rt, forward.Request{ID: "x", Deadline: deadline})
		if time.Now().After(deadline) {
			return "the call ended after the caller's deadline"
		}
		synctest.Wait()
		ran := 0
		for _, a := range s.attempts {
			if !errors.Is(a.Err, forward.ErrNotRun) {
				ran++
			}
		}
		for _, r := range s.sent {
			if r.ID != "x" || r.Deadline.After(deadline) {
				return fmt.Sprintf("sent with ID %q and a deadline %v after the caller's", r.ID, r.Deadline.Sub(deadline))
			}
		}
		if ran > rt.MaxAttempts || len(s.attempts) != len(s.sent) || s.started() != min(ran, 1) {
			return fmt.Sprintf("%d runs, want at most %d; %d attempts reported of %d; %d billed, want %d", ran, rt.MaxAttempts, len(s.attempts), len(s.sent), s.started(), min(ran, 1))
		}
		if v := verdict.Of(err); ran > 0 && v == verdict.NotRun {
			return fmt.Sprintf("verdict %v after %d runs", v, ran)
		}
		time.Sleep(15 * time.Second) // until slow upstreams count as usual again
		if n := s.freeSlots(); n != 3*slotsOfEach {
			return fmt.Sprintf("%d slots free after the call, want %d", n, 3*slotsOfEach)
		}
	}
	return ""
}
