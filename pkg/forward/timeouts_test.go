package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// timeOutTogether sends requests that all hang until their deadline, a second later, and
// meanwhile calls during every 10 ms. It returns how many calls were served and refused in
// the 300 ms after that.
func (s *site) timeOutTogether(t *testing.T, during func()) (served, refused int) {
	rt := queueRoute
	s.nextOf = map[string][]answer{"hangs": make([]answer, 12)}
	for i := range s.nextOf["hangs"] {
		s.nextOf["hangs"][i].hang = true
	}
	var group errgroup.Group
	deadline := time.Now().Add(time.Second)
	for range 12 {
		group.Go(func() error {
			_, _ = s.Do(t.Context(), rt, forward.Request{ID: "hangs", Deadline: deadline})
			return nil
		})
	}
	synctest.Wait()
	for time.Now().Before(deadline) {
		during()
		time.Sleep(10 * time.Millisecond)
	}
	_ = group.Wait()
	for start := time.Now(); time.Since(start) < 300*time.Millisecond; {
		_, err := s.Do(t.Context(), rt, forward.Request{ID: "after"})
		switch {
		case err != nil:
			refused++
		case time.Since(start) < 300*time.Millisecond:
			served++
		}
	}
	return served, refused
}

// Guards against an upstream that is ejected because requests that were sent together reach
// their deadlines together, although it has answered every request that was sent since. It
// must still be ejected if it has answered none.
func TestTimedOutTogether(t *testing.T) {
	for _, contended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(contended, "a")
			served, refused := s.timeOutTogether(t, func() {
				if _, err := s.Do(t.Context(), queueRoute, forward.Request{ID: "ordinary"}); err != nil {
					t.Fatal(err)
				}
			})
			if served == 0 || refused > 0 {
				t.Errorf("contended %v: %d requests served and %d refused after the deadline, want all served", contended, served, refused)
			}
			if served, refused := newSite(contended, "a").timeOutTogether(t, func() {}); served > 0 || refused == 0 {
				t.Errorf("contended %v: %d requests served and %d refused by an upstream that has answered none before, want all refused", contended, served, refused)
			}
		})
	}
}

// Guards against an upstream that is not ejected because callers disconnect, or cannot have
// its response read, between the requests that it does not answer.
func TestCancelledBetweenFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(false, "a")
		s.next = []answer{{hang: true}, {hang: true}, {after: usualTime, err: forward.ErrUnread}, {hang: true}}
		_, _ = s.Do(t.Context(), queueRoute, forward.Request{ID: "x"})
		ctx, cancel := context.WithTimeout(t.Context(), usualTime)
		defer cancel()
		gone, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(usualTime, disconnect)
		_, _ = s.Do(gone, queueRoute, forward.Request{ID: "x"})
		<-ctx.Done()
		_, _ = s.Do(t.Context(), queueRoute, forward.Request{ID: "x"})
		_, _ = s.Do(t.Context(), queueRoute, forward.Request{ID: "x"})
		if _, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now()}); ok || len(s.sent) != 4 {
			t.Errorf("the upstream is usable after two requests without an answer; %d sent", len(s.sent))
		}
	})
}

// lateTransport returns from each request a time after its deadline.
type lateTransport struct{ late time.Duration }

func (l lateTransport) Send(ctx context.Context, _ upstream.Entry, _ forward.Request) (forward.Response, *upstream.Load, error) {
	<-ctx.Done()
	time.Sleep(l.late)
	return forward.Response{}, nil, ctx.Err()
}

// Guards against an upstream that is ejected because this instance did not run when its
// responses came, and against one that is not ejected although the instance ran in time.
func TestAttemptThatEndsLate(t *testing.T) {
	for late, usable := range map[time.Duration]bool{100 * time.Millisecond: false, 600 * time.Millisecond: true} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(false, "a")
			f := forward.New(forward.Config{Transport: lateTransport{late}, Registry: s.registry})
			for range 2 {
				_, _ = f.Do(t.Context(), queueRoute, forward.Request{ID: "x"})
			}
			if _, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now()}); ok != usable {
				t.Errorf("two attempts of 2 s that end %v late: upstream usable = %v, want %v", late, ok, usable)
			}
		})
	}
}

// Guards against a connection that is not made in time, which may be due to this instance,
// and is taken for one that the upstream refused.
func TestConnectionTimeout(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	for _, test := range []struct {
		err  error
		want bool
	}{{fmt.Errorf("%w: %w", forward.ErrUnreachable, timeout), true}, {forward.ErrUnreachable, false}} {
		var rep upstream.AttemptResult
		if !forward.RecordRefusal(&rep, test.err, time.Second) || !rep.Unreachable || rep.TimedOut != test.want {
			t.Errorf("%v: got %+v, want it unreachable and timed out = %v", test.err, rep, test.want)
		}
	}
}

// steadyStream sends an event every 10 ms until its request ends.
type steadyStream struct {
	ctx  context.Context
	last int
}

func (s *steadyStream) Next() (forward.Event, error) {
	select {
	case <-time.After(10 * time.Millisecond):
	case <-s.ctx.Done():
		return forward.Event{}, s.ctx.Err()
	}
	if s.last == 20 {
		return forward.Event{}, io.EOF
	}
	s.last++
	return forward.Event{ID: s.last, Raw: []byte("x")}, nil
}

func (s *steadyStream) Close() {}

// streamSite is a site whose upstreams answer with steady streams.
type streamSite struct {
	*site
	opened int
}

func (s *streamSite) Open(ctx context.Context, _ upstream.Entry, _ forward.Request, after int) (forward.StreamResponse, *upstream.Load, error) {
	s.opened++
	return forward.StreamResponse{Response: forward.Response{Status: http.StatusOK}, Events: &steadyStream{ctx, after}}, nil, nil
}

// slowSink is a caller that takes a time to read each event. Its connection accepts nothing
// for at most the timeout.
type slowSink struct {
	each, timeout time.Duration
	events        int
}

func (s *slowSink) Begin(forward.Response)   {}
func (s *slowSink) Respond(forward.Response) {}
func (s *slowSink) Event([]byte) error {
	time.Sleep(min(s.each, s.timeout))
	if s.each > s.timeout {
		return os.ErrDeadlineExceeded
	}
	s.events++
	return nil
}

// Guards against streams that count as failures of their upstream, or are requested from
// another one, because the caller does not read: the deadline passes, or the time for the
// next event, while an event is written.
func TestStreamToSlowCaller(t *testing.T) {
	for name, test := range map[string]struct {
		resumable bool
		each      time.Duration
		want      int // events
	}{
		"disconnected after its deadline":            {false, time.Minute, 0},
		"reads the event after its deadline":         {false, 3 * time.Second, 1},
		"resumable, reads each event slowly":         {true, 2500 * time.Millisecond, 20},
		"resumable, disconnected after its deadline": {true, time.Minute, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &streamSite{site: newSite(false, "a")}
				f := forward.New(forward.Config{Transport: s, Opener: s, Registry: s.registry})
				rt := routetable.Route{Name: "s", Kind: routetable.Streaming, Resumable: test.resumable, MaxAttempts: 4, LatencyObjective: 200 * time.Millisecond, Timeout: 2 * time.Second,
					Shares: []routetable.Share{{Pool: "pool", Weight: 1}}}
				if test.want > 1 {
					rt.Timeout = 2 * time.Minute
				}
				for range 3 {
					sink := &slowSink{each: test.each, timeout: 10 * time.Second}
					err := f.Stream(t.Context(), rt, forward.Request{ID: "x"}, "", sink)
					if (err == nil) != (test.want > 1) || err != nil && !errors.Is(err, forward.ErrStreamInterrupted) || sink.events != test.want {
						t.Errorf("got %d events, %v, want %d", sink.events, err, test.want)
					}
				}
				if s.opened != 3 {
					t.Errorf("%d attempts of 3 streams, want one each", s.opened)
				}
				if _, ok := s.registry.Acquire(upstream.Requirements{Pool: "pool", Now: time.Now()}); !ok {
					t.Error("the upstream is ejected")
				}
			})
		})
	}
}
