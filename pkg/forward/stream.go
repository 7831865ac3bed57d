package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/bits"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Event is one complete event of an upstream's stream.
type Event struct {
	ID  int
	Raw []byte // the event as received, including the blank line that ends it
}

// EventStream is the stream of events of an upstream. Next returns io.EOF after the last
// event.
type EventStream interface {
	Next() (Event, error)
	Close()
}

// StreamResponse is an upstream's response to a request for a stream. If Events is nil, the
// response is complete and no stream follows.
type StreamResponse struct {
	Response
	Events EventStream
}

// Opener requests from an upstream the stream of events that follow the event with ID
// after, or all events if after is 0. Its errors are those of Transport.
type Opener interface {
	Open(ctx context.Context, to upstream.Entry, r Request, after int) (StreamResponse, *upstream.Load, error)
}

// Sink writes the response to a caller.
type Sink interface {
	Begin(a Response)       // writes the status and header, from the first upstream
	Event(raw []byte) error // writes and flushes one event
	Respond(a Response)     // writes a response that is not a stream, instead of Begin and Event
}

// ErrStreamInterrupted is returned by Stream if a stream that had started cannot be
// resumed. The caller has received an incomplete response.
var ErrStreamInterrupted = errors.New("forward: stream interrupted")

// errCallerGone ends an attempt if an event cannot be written to the caller.
var errCallerGone = errors.New("forward: caller closed the connection")

// errCallerSlow ends an attempt whose deadline passed while an event was written to the
// caller.
var errCallerSlow = errors.New("forward: the deadline passed while the caller did not read")

// minEventTimeout is the timeout of each event after the first of a stream that can be
// requested again from another upstream, and the minimum timeout of the first event.
const minEventTimeout = 2 * time.Second

// Stream forwards a request for a stream of events according to route rt. It sends events
// to sink as they arrive. If the stream is interrupted, Stream resumes it at another
// upstream if the route allows that, and otherwise returns ErrStreamInterrupted. If nothing
// has been sent to sink, the error is a *verdict.Error; that of a request that is too large
// for the engines wraps upstream.ErrTooLarge and has no time to retry.
func (f *Forwarder) Stream(ctx context.Context, rt routetable.Route, r Request, prompt string, sink Sink) error {
	if rt.Resumable {
		rt.Kind = routetable.Idempotent // the stream can be requested again
	}
	plan := NewPlan(rt, time.Now(), r.Deadline)
	r.Deadline = plan.Deadline
	ctx, cancel := context.WithDeadline(ctx, plan.Deadline)
	defer cancel()
	rt = rt.Without(func(pool string) bool { return f.cfg.Registry.TooLarge(pool, r.Tokens.Total()) })
	if len(rt.Shares) == 0 {
		f.count("memory.too_large")
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, fmt.Errorf("%w: %d tokens", upstream.ErrTooLarge, r.Tokens.Total()))
	}
	pool := rt.PickPool(rand.Float64())
	s := &streamRequest{f: f, plan: plan, route: rt, pool: pool, request: r, sink: sink}
	for {
		now := time.Now()
		if err := f.cfg.Guard.Check(r.content(), now); err != nil {
			return s.finalError(now, err)
		}
		rsv, err := s.reserve(ctx, prompt)
		if err != nil {
			return s.finalError(time.Now(), err)
		}
		status, err := s.attempt(ctx, rsv)
		if err == nil && s.complete {
			f.retries.Served(pool, time.Now())
			return nil
		}
		done, err := plan.EndAttempt(rsv.ID, status, err, time.Now())
		if done {
			return s.finalError(time.Now(), err)
		}
	}
}

// streamRequest is the state of a request for a stream.
type streamRequest struct {
	f             *Forwarder
	plan          *Plan
	route         routetable.Route
	pool          string
	request       Request
	sink          Sink
	headerSent    bool // the header has been sent to the caller
	startReported bool // OnAttempt has been given a StartedAt time
	lastEventID   int  // ID of the last event sent to the caller
	complete      bool // the complete response has been sent to the caller
}

// reserve returns a reservation for the next attempt, for which the request may wait.
func (s *streamRequest) reserve(ctx context.Context, prompt string) (*upstream.Reservation, error) {
	tokens := s.request.Tokens.Expected(s.request.LengthHint)
	acquire := func(now time.Time, maxLoad float64) (*upstream.Reservation, bool) {
		return s.f.cfg.Registry.Acquire(upstream.Requirements{Pool: s.pool, Now: now, Exclude: s.plan.Tried(), Model: s.request.Model, Affinity: prompt, MaxLoad: maxLoad,
			Once: s.route.Kind != routetable.Idempotent, Tokens: tokens})
	}
	// A stream that is resumed does not return to the upstreams that it has tried. At the
	// head of the queue it would keep the others from these.
	if s.f.cfg.Registry.Contended(s.pool) && len(s.plan.Tried()) == 0 {
		key := queueKey{model: s.request.Model}
		if s.f.cfg.Registry.MemoryLimited(s.pool) {
			key.size = bits.Len(uint(tokens))
		}
		return s.f.reserve(ctx, wait{pool: s.pool, key: key, plan: s.plan, priority: s.request.Priority.Or(s.route.Priority),
			customer: s.request.Customer, work: s.route.LatencyObjective.Seconds(), report: s.request.Report, acquire: acquire})
	}
	for {
		now := time.Now()
		if rsv, ok := acquire(now, 0); ok {
			return rsv, nil
		}
		if !s.plan.MayWait(now) || !clock.Sleep(ctx, pollInterval) {
			return nil, waitEnded(ctx)
		}
		s.request.Report.waitedSince(now)
		if err := s.f.cfg.Guard.Check(s.request.content(), time.Now()); err != nil {
			return nil, err
		}
	}
}

// finalError returns the error of a request that cannot be completed.
func (s *streamRequest) finalError(now time.Time, err error) error {
	if s.headerSent {
		return errors.Join(ErrStreamInterrupted, err)
	}
	return s.f.finalError(s.plan, s.pool, now, err)
}

// attempt sends the request to one upstream and relays the response.
func (s *streamRequest) attempt(ctx context.Context, rsv *upstream.Reservation) (int, error) {
	guarded, err := s.f.cfg.Guard.Begin(ctx, s.request.content(), rsv.Entry)
	if err != nil {
		rsv.Release()
		return 0, err
	}
	actx, cancel := context.WithCancel(ctx)
	defer cancel()
	var timeout *time.Timer // of the next event; nil for none
	if s.route.Resumable {
		timeout = time.AfterFunc(max(minEventTimeout, attemptObjectives*s.route.LatencyObjective), cancel)
		defer timeout.Stop()
	}
	status, err := s.openAndRelay(ctx, actx, rsv, time.Now(), timeout)
	o := outcomeOf(actx, status, err)
	if errors.Is(err, errCallerGone) {
		o = quarantine.Abandoned
	}
	guarded.Done(ctx, o)
	return status, err
}

func (s *streamRequest) openAndRelay(ctx, actx context.Context, rsv *upstream.Reservation, startedAt time.Time, timeout *time.Timer) (int, error) {
	resp, load, err := s.f.cfg.Opener.Open(actx, rsv.Entry, s.request, s.lastEventID)
	headerAt := time.Now()
	events := 0
	var firstAt time.Time // when the upstream was first known to work on the request
	switch {
	case err != nil:
	case resp.Events == nil:
		firstAt = startedAt
		if !s.headerSent && (resp.Status < http.StatusInternalServerError || !s.plan.MayRetry()) {
			s.sink.Respond(resp.Response)
			s.complete = true
		}
	default:
		if !s.headerSent {
			s.sink.Begin(resp.Response)
			s.headerSent = true
		}
		events, err = s.relay(actx, resp.Events, timeout, func() { firstAt = time.Now() })
		resp.Events.Close()
	}
	rep := resultOf(ctx, actx, startedAt, err, load)
	rep.LoadAt = headerAt
	if events > 0 {
		rep.TimePerUnit = time.Since(startedAt) / time.Duration(events)
	}
	rep.Failed = rep.Failed || err == nil && resp.Status >= http.StatusInternalServerError
	endReservation(rsv, rep, err)
	seen := Attempt{Request: s.request.ID, Content: s.request.content(), Route: s.route.Name, Customer: s.request.Customer, Upstream: rsv.ID, Number: len(s.plan.Tried()) + 1, Status: resp.Status, Took: time.Since(startedAt), Err: err}
	if !s.startReported && !firstAt.IsZero() {
		s.startReported, seen.StartedAt = true, firstAt
	}
	s.request.Report.ended(seen.Upstream, seen.Number, seen.Took)
	s.f.cfg.OnAttempt(seen)
	return resp.Status, err
}

// relay sends events to the caller and returns how many it sent. It calls onFirst when the
// first one has arrived. The timeout, which may be nil, does not run while an event is
// written to the caller, as the upstream is not waited for.
func (s *streamRequest) relay(actx context.Context, events EventStream, timeout *time.Timer, onFirst func()) (int, error) {
	for n := 0; ; n++ {
		e, err := events.Next()
		if err == io.EOF {
			s.complete = true
			return n, nil
		}
		if err != nil {
			return n, err
		}
		if n == 0 {
			onFirst()
		}
		late := actx.Err() != nil
		if timeout != nil && !timeout.Stop() {
			late = true // the timeout has fired, though the context may not be cancelled yet
		}
		if err := s.sink.Event(e.Raw); err != nil {
			return n, fmt.Errorf("%w: %w", errCallerGone, err)
		}
		s.lastEventID = e.ID
		if !late && errors.Is(actx.Err(), context.DeadlineExceeded) {
			return n + 1, errCallerSlow
		}
		if timeout != nil {
			timeout.Reset(minEventTimeout)
		}
	}
}
