// Package forward sends callers' requests to upstreams. It selects the upstream, retries
// where the route allows it, and reports whether a request without a response may have run.
package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/hedge"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Request is a request as its caller sent it.
type Request struct {
	ID     string
	Method string
	URI    string // path and query, unchanged
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting. It is zero if the caller set no deadline.
	Deadline time.Time
	// Model is the requested model. It is empty if the request names none.
	Model string
	// Customer is the customer whose API key the caller sent. It is empty for a request
	// that needs no key.
	Customer string
	// Priority is the priority at the upstream, if the request has its own. 0 is the most
	// urgent.
	Priority option.Of[int]
	// MaxRuns is the number of upstreams that may run an idempotent request, if it is more
	// than the route's MaxAttempts. The difference may be used for hedged copies only.
	MaxRuns int
	// Repeatable means that an upstream may run the request more than once. Do sets it for
	// idempotent routes; it has no effect on streams.
	Repeatable bool
	// Report is filled in by Do and Stream. It may be nil.
	Report *Report
	// Tokens is what the request takes up of an engine's memory, and LengthHint the
	// caller's estimate of the tokens of its text. They are 0 if unknown.
	Tokens     upstream.TokenUse
	LengthHint int
	// Exempt means that the request is known not to crash upstreams by itself, so that it is
	// not held back after crashes. It has no effect on streams.
	Exempt bool
}

// content returns what identifies r across repetitions, for its fingerprint in the
// quarantine.
func (r Request) content() quarantine.Content {
	return quarantine.Content{Method: r.Method, Host: r.Host, URI: r.URI, Model: r.Model, Body: r.Body}
}

// Response is a complete response of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Proof  string // the upstream's proof that it served the request
}

// Errors of one attempt. After any other error the request may have run.
var (
	// ErrNotRun means that the request did not run because the upstream had no capacity or
	// refused the connection.
	ErrNotRun = errors.New("forward: not run")
	// ErrMisdirected wraps ErrNotRun. It means that another upstream now listens at the
	// address.
	ErrMisdirected = fmt.Errorf("%w: another upstream listens at the address", ErrNotRun)
	// ErrUnreachable wraps ErrNotRun. It means that the upstream refused the connection.
	ErrUnreachable = fmt.Errorf("%w: upstream refused the connection", ErrNotRun)
	// ErrWithdrawn wraps ErrNotRun. It means that the request was given up before it was
	// sent, which says nothing about the upstream. It is not tried elsewhere, and gets no
	// time to retry. The context of a request that is given up is cancelled with it as cause.
	ErrWithdrawn = fmt.Errorf("%w: given up before it was sent", ErrNotRun)
	// ErrUnread means that an attempt failed after its response had to wait for room in the
	// instance's memory. It says nothing about the upstream.
	ErrUnread = errors.New("forward: no room for the response")
	// ErrSuperseded means that the attempt was cancelled because another copy of the
	// request had been answered.
	ErrSuperseded = errors.New("forward: superseded by the answer to another copy")
)

// exploreThreshold is the fraction of the route's latency objective above which a response
// is slow enough for the next request to use its own affinity instead of the instance's.
// The instance thereby measures other upstreams and notices that its usual one is slow. As
// long as responses are fast, it opens few connections.
const exploreThreshold = 1.0 / 3

// maxLateness bounds how long after its deadline an attempt may end, as a fraction of its
// time, and still count as a failure of its upstream. With a load average of 38 on 12 cores,
// attempts of 0.98 s ended up to 0.9 s late because the instance had no processor time.
const maxLateness = 1.0 / 4

// Transport sends one request to one upstream and returns the complete response, with the
// upstream's load if it reported one. Responses with an error status are returned as
// responses. An error means that there is no response from the upstream.
type Transport interface {
	Send(ctx context.Context, to upstream.Entry, r Request) (Response, *upstream.Load, error)
}

// Config configures a Forwarder.
type Config struct {
	Transport Transport
	Opener    Opener // opens streams
	Registry  *upstream.Registry
	// Affinity selects among upstreams with similar load. If it is the instance's own name,
	// the instance uses few connections, and each is reused before its upstream closes it
	// as idle.
	Affinity string
	// Guard keeps requests that crash upstreams away from them. It may be nil.
	Guard *quarantine.Guard
	// OnAttempt is called after each attempt. It may be nil.
	OnAttempt func(Attempt)
	// Metrics holds counters of hedged copies and of waiting requests, and the number of
	// these. The default is a registry of its own.
	Metrics metrics.Registry
}

// Attempt describes an attempt to run a request at an upstream.
type Attempt struct {
	Request  string // request ID
	Content  quarantine.Content
	Route    string
	Customer string
	Upstream string
	Number   int
	Copy     bool // a hedged copy of the attempt before it
	Status   int  // HTTP status; 0 if there was no response
	Took     time.Duration
	Err      error
	// StartedAt is when the upstream started to work on the request, as far as is known. It
	// is zero if the upstream did not, or if an earlier attempt of the request had started.
	StartedAt time.Time
}

// Forwarder forwards requests to upstreams. Use Do for complete responses and Stream for
// streams of events.
type Forwarder struct {
	cfg         Config
	retries     RetryScheduler
	hedges      hedge.Policies
	queues      queues
	waiting     atomic.Int64   // requests in queues
	group       errgroup.Group // runs the attempts of hedged calls, each of which ends by the deadline of its call
	lastLatency atomic.Int64   // time.Duration of the last attempt that got a response
}

// New returns a Forwarder with configuration cfg.
func New(cfg Config) *Forwarder {
	if cfg.OnAttempt == nil {
		cfg.OnAttempt = func(Attempt) {}
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	f := &Forwarder{cfg: cfg}
	cfg.Registry.OnRelease(f.queues.wake)
	_ = metrics.NewRegisteredFunctionalGauge("waitqueue.length", cfg.Metrics, f.waiting.Load) // shows the sum however its changes overlap
	return f
}

func (f *Forwarder) count(name string) { metrics.GetOrRegisterCounter(name, f.cfg.Metrics).Inc(1) }

// Do forwards r according to route rt. It returns the upstream's response, or a
// *verdict.Error that tells whether r may have run.
func (f *Forwarder) Do(ctx context.Context, rt routetable.Route, r Request) (Response, error) {
	start := time.Now()
	plan := NewPlan(rt, start, r.Deadline)
	plan.MaxRuns = max(plan.MaxRuns, r.MaxRuns)
	r.Deadline, r.Repeatable = plan.Deadline, rt.Kind == routetable.Idempotent
	ctx, cancel := context.WithDeadline(ctx, plan.Deadline)
	defer cancel()
	pool := rt.PickPool(rand.Float64())
	affinity := f.cfg.Affinity
	if took := time.Duration(f.lastLatency.Load()); rt.LatencyObjective > 0 && float64(took) > exploreThreshold*float64(rt.LatencyObjective) {
		affinity = r.ID
	}
	c := &call{f: f, plan: plan, route: rt, pool: pool, affinity: affinity, request: r}
	c.start(start)
	for {
		now := time.Now()
		if err := f.checkQuarantine(r, now); err != nil {
			return Response{}, f.finalError(plan, pool, now, err)
		}
		rsv, err := c.reserve(ctx)
		if err != nil {
			return Response{}, f.finalError(plan, pool, time.Now(), err)
		}
		a, done, err := c.run(ctx, rsv)
		switch {
		case done && err == nil:
			f.retries.Served(pool, time.Now())
			return a, nil
		case done:
			return Response{}, f.finalError(plan, pool, time.Now(), err)
		}
	}
}

// checkQuarantine returns an error if r must not run at now because it may crash upstreams.
func (f *Forwarder) checkQuarantine(r Request, now time.Time) error {
	if r.Exempt {
		return nil
	}
	return f.cfg.Guard.Check(r.content(), now)
}

// beginGuarded must be called before r is sent to the upstream to. It returns an error if r
// must not be sent.
func (f *Forwarder) beginGuarded(ctx context.Context, r Request, to upstream.Entry) (*quarantine.Attempt, error) {
	if r.Exempt {
		return f.cfg.Guard.BeginExempt(r.content(), to), nil
	}
	return f.cfg.Guard.Begin(ctx, r.content(), to)
}

var errNoCapacity = fmt.Errorf("%w: no upstream has capacity for the request", ErrNotRun)

// waitEnded returns the error of a request that stops waiting for capacity in ctx: the cause
// with which ctx was cancelled, if it wraps ErrWithdrawn.
func waitEnded(ctx context.Context) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrWithdrawn) {
		return cause
	}
	return errNoCapacity
}

// outcomeOf classifies the end of an attempt from the attempt's context ctx, the response
// status and the error.
func outcomeOf(ctx context.Context, status int, err error) quarantine.Outcome {
	switch {
	case err == nil && status < http.StatusInternalServerError:
		return quarantine.Answered
	case err == nil:
		return quarantine.Failed
	case errors.Is(err, ErrUnreachable):
		return quarantine.Unreachable
	case errors.Is(err, ErrNotRun):
		return quarantine.NotRun
	case ctx.Err() != nil || errors.Is(err, ErrUnread):
		return quarantine.Abandoned
	}
	return quarantine.ConnectionLost
}

// resultOf returns what an attempt's error tells about its upstream. ctx is the request's
// context and actx the attempt's, which started at startedAt.
func resultOf(ctx, actx context.Context, startedAt time.Time, err error, load *upstream.Load) upstream.AttemptResult {
	rep := upstream.AttemptResult{At: time.Now(), Load: load}
	timedOut := actx.Err() == context.DeadlineExceeded
	deadline, _ := actx.Deadline()
	switch {
	case err == nil:
	case RecordRefusal(&rep, err, BusyBackoff):
	case errors.Is(err, ErrUnread), errors.Is(err, errCallerGone), errors.Is(err, errCallerSlow):
		rep.Cancelled = true // the upstream was not waited for
	case ctx.Err() != nil && !timedOut:
		rep.Cancelled = true // by the caller, which tells nothing about the upstream
	case timedOut && float64(rep.At.Sub(deadline)) > maxLateness*float64(deadline.Sub(startedAt)):
		rep.Cancelled = true // the instance had no processor time
	default:
		rep.Failed, rep.TimedOut = true, timedOut
	}
	return rep
}

// endReservation ends rsv with what its attempt, which ended with err, tells about the
// upstream.
func endReservation(rsv *upstream.Reservation, rep upstream.AttemptResult, err error) {
	if errors.Is(err, ErrWithdrawn) {
		rsv.Release()
		return
	}
	rsv.Done(rep)
}

// RecordRefusal reports whether err means that an attempt did not run, and records in rep
// why the upstream refused it, if it did. An upstream without capacity is marked busy for
// the duration pause.
func RecordRefusal(rep *upstream.AttemptResult, err error, pause time.Duration) bool {
	switch {
	case errors.Is(err, ErrWithdrawn):
	case errors.Is(err, ErrMisdirected):
		rep.AddressReused = true
	case errors.Is(err, ErrUnreachable):
		var network net.Error
		rep.Unreachable, rep.TimedOut = true, errors.As(err, &network) && network.Timeout()
	case errors.Is(err, ErrNotRun):
		rep.Busy, rep.BusyUntil = true, rep.At.Add(pause)
	default:
		return false
	}
	return true
}

// finalError returns the error of a request that gets no response from pool because of
// cause. A request that did not run is given a time to retry,
// unless it was withdrawn.
func (f *Forwarder) finalError(p *Plan, pool string, now time.Time, cause error) error {
	switch {
	case p.ran > 0 && !now.Before(p.Deadline):
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, cause)
	case p.ran > 0:
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, cause)
	}
	if errors.Is(cause, ErrWithdrawn) {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, cause)
	}
	var refused *quarantine.RefusedError
	if errors.As(cause, &refused) {
		return verdict.Refuse(http.StatusServiceUnavailable, refused.Until, cause)
	}
	return verdict.Refuse(http.StatusServiceUnavailable, f.retries.Reject(pool, now, p.Deadline, rand.Float64()), cause)
}
