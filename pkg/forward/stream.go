package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Event is one whole event of an upstream's stream.
type Event struct {
	ID  int
	Raw []byte // as sent, with the blank line that ends it
}

// EventStream is a stream of events as an upstream makes it. Next returns
// io.EOF after its last event.
type EventStream interface {
	Next() (Event, error)
	Close()
}

// StreamResponse is an upstream's answer to a request for a stream: the stream, or a
// whole answer if Events is nil.
type StreamResponse struct {
	Response
	Events EventStream
}

// Opener asks an upstream for a stream that goes on after an event (0 to
// begin). Its errors are those of Transport.
type Opener interface {
	Open(ctx context.Context, to upstream.Entry, r Request, after int) (StreamResponse, *upstream.Load, error)
}

// Sink takes the answer to a caller as it comes.
type Sink interface {
	Begin(a Response)       // status and header, of the first upstream
	Event(raw []byte) error // one event, to be sent at once
	Respond(a Response)     // instead of both: an answer that is no stream
}

// ErrStreamInterrupted is returned by Stream when a stream that had begun cannot go on:
// the caller must not take what it has for the whole.
var ErrStreamInterrupted = errors.New("forward: the stream broke off")

// errCallerLeft ends an attempt whose events the caller takes no more.
var errCallerLeft = errors.New("forward: the caller has left")

// firstEventWait is how long a stream that may be asked for again is waited for
// at one upstream, at the least.
const firstEventWait = 2 * time.Second

// Stream forwards a request for a stream of events by route rt. Events pass on
// as they come. When the stream breaks off, it goes on at another upstream if
// its route allows that; else Stream returns ErrBroken. A request that got
// nothing ends in a *verdict.Error.
func (f *Forwarder) Stream(ctx context.Context, rt routetable.Route, r Request, prompt string, sink Sink) error {
	if rt.Resumable {
		rt.Kind = routetable.Idempotent // it may be asked for again
	}
	plan := NewPlan(rt, time.Now(), r.Deadline)
	r.Deadline = plan.Deadline
	ctx, cancel := context.WithDeadline(ctx, plan.Deadline)
	defer cancel()
	pool := rt.PickPool(rand.Float64())
	s := &streaming{f: f, plan: plan, route: rt, pool: pool, request: r, sink: sink}
	for {
		now := time.Now()
		if err := f.cfg.Guard.Check(r.content(), now); err != nil {
			return s.end(now, err)
		}
		t, ok := f.cfg.Registry.Acquire(upstream.Requirements{Pool: pool, Now: now, Exclude: plan.Tried(), Model: r.Model, Affinity: prompt})
		if !ok && plan.MayWait(now) && clock.Sleep(ctx, waitStep) {
			continue
		}
		if !ok {
			return s.end(now, errNoRoom)
		}
		status, err := s.attempt(ctx, t)
		if err == nil && s.complete {
			f.returns.Served(pool, time.Now())
			return nil
		}
		done, err := plan.EndAttempt(t.ID, status, err, time.Now())
		if done {
			return s.end(time.Now(), err)
		}
	}
}

// streaming is one request for a stream under way.
type streaming struct {
	f        *Forwarder
	plan     *Plan
	route    routetable.Route
	pool     string
	request  Request
	sink     Sink
	begun    bool // the caller has the header
	counted  bool // an upstream has begun to work on it, and that was told
	last     int  // last event that the caller has
	complete bool // the caller has all
}

// end ends a request that no upstream serves any more.
func (s *streaming) end(now time.Time, err error) error {
	if s.begun {
		return errors.Join(ErrStreamInterrupted, err)
	}
	return s.f.end(s.plan, s.pool, now, err)
}

// attempt asks one upstream, and passes on what it gives.
func (s *streaming) attempt(ctx context.Context, t *upstream.Reservation) (int, error) {
	guarded, err := s.f.cfg.Guard.Begin(ctx, s.request.content(), t.Entry)
	if err != nil {
		t.Release()
		return 0, err
	}
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	heard := func(time.Duration) {}
	if s.route.Resumable {
		silence := time.AfterFunc(max(firstEventWait, patience*s.route.LatencyObjective), cancel)
		defer silence.Stop()
		heard = func(d time.Duration) { silence.Reset(d) }
	}
	status, err := s.run(ctx, actx, t, time.Now(), heard)
	o := outcome(actx, status, err)
	if errors.Is(err, errCallerLeft) {
		o = quarantine.Abandoned
	}
	guarded.Done(ctx, o)
	return status, err
}

func (s *streaming) run(ctx, actx context.Context, t *upstream.Reservation, begun time.Time, heard func(time.Duration)) (int, error) {
	o, load, err := s.f.cfg.Opener.Open(actx, t.Entry, s.request, s.last)
	events := 0
	var firstAt time.Time // when the upstream's work was first seen
	switch {
	case err != nil:
	case o.Events == nil:
		firstAt = begun
		if !s.begun && (o.Status < http.StatusInternalServerError || !s.plan.MayRetry()) {
			s.sink.Respond(o.Response)
			s.complete = true
		}
	default:
		if !s.begun {
			s.sink.Begin(o.Response)
			s.begun = true
		}
		events, err = s.pass(o.Events, func(d time.Duration) {
			if firstAt.IsZero() {
				firstAt = time.Now()
			}
			heard(d)
		})
		o.Events.Close()
	}
	rep := report(ctx, actx, err, load)
	if events > 0 {
		rep.TimePerUnit = time.Since(begun) / time.Duration(events)
	}
	rep.Failed = rep.Failed || err == nil && o.Status >= http.StatusInternalServerError
	t.Done(rep)
	seen := Attempt{Request: s.request.ID, Content: s.request.content(), Route: s.route.Name, Customer: s.request.Customer, Upstream: t.ID, Number: len(s.plan.Tried()) + 1, Status: o.Status, Took: time.Since(begun), Err: err}
	if !s.counted && !firstAt.IsZero() {
		s.counted, seen.BegunAt = true, firstAt
	}
	s.f.cfg.OnAttempt(seen)
	return o.Status, err
}

// pass passes events on to the caller and returns how many.
func (s *streaming) pass(events EventStream, heard func(time.Duration)) (int, error) {
	for n := 0; ; n++ {
		e, err := events.Next()
		if err == io.EOF {
			s.complete = true
			return n, nil
		}
		if err != nil {
			return n, err
		}
		heard(firstEventWait)
		if err := s.sink.Event(e.Raw); err != nil {
			return n, fmt.Errorf("%w: %w", errCallerLeft, err)
		}
		s.last = e.ID
	}
}
