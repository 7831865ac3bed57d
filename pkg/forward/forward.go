// Package forward sends callers' requests to upstreams: it chooses the
// upstream, tries again where that is allowed, and tells whether a request
// that got no answer may have run.
package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
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
	URI    string // path and query, as sent
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when its caller stops waiting; zero if the caller did not say.
	Deadline time.Time
	// Model that it asks for; empty for none.
	Model string
	// Customer whose key its caller has; empty for a request that needs no key.
	Customer string
	// Priority at the upstream, if it has one of its own; 0 is the most urgent.
	Priority option.Of[int]
}

// content returns what identifies r however often it comes.
func (r Request) content() quarantine.Content {
	return quarantine.Content{Method: r.Method, Host: r.Host, URI: r.URI, Model: r.Model, Body: r.Body}
}

// Response is the whole answer of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Proof  string // the upstream's proof that it served the request
}

// Errors of one attempt. An error that is neither may have run the request.
var (
	// ErrNotRun means that the request did not run, as the upstream had no
	// room for it or took no connection.
	ErrNotRun = errors.New("forward: not run")
	// ErrMisdirected is an ErrNotRun: another upstream has the address.
	ErrMisdirected = fmt.Errorf("%w: another upstream has the address", ErrNotRun)
	// ErrUnreachable is an ErrNotRun: the upstream took no connection.
	ErrUnreachable = fmt.Errorf("%w: upstream takes no connection", ErrNotRun)
)

// exploreFrom is from which part of its route's objective on an answer is slow
// enough for the next request to prefer an upstream of its own: so an instance
// learns how fast the others are, and that its usual one is slow, and opens few
// connections while it is not.
const exploreFrom = 1.0 / 3

// Transport sends one request to one upstream and returns its whole answer,
// with the load that the upstream told, if any. It also returns answers whose
// status tells a failure; errors mean that there is no answer of the upstream's.
type Transport interface {
	Send(ctx context.Context, to upstream.Entry, r Request) (Response, *upstream.Load, error)
}

// Config configures a Forwarder.
type Config struct {
	Transport Transport
	Opener    Opener // of streams
	Registry  *upstream.Registry
	// Affinity is what requests prefer an upstream by, among those about as
	// loaded. An instance's own name keeps it to few connections, each of which
	// is then used again before its upstream closes it.
	Affinity string
	// Guard keeps requests that crash upstreams from them; nil for none.
	Guard *quarantine.Guard
	// OnAttempt is told of each attempt that has ended; nil for none.
	OnAttempt func(Attempt)
}

// Attempt is one try of a request at an upstream.
type Attempt struct {
	Request  string // its ID
	Content  quarantine.Content
	Route    string
	Customer string
	Upstream string
	Number   int
	Status   int // 0 without an answer
	Took     time.Duration
	Err      error
	// BegunAt is when the upstream began to work on it, as far as is known; zero if
	// it did not, or an earlier attempt of the request had begun.
	BegunAt time.Time
}

// Forwarder forwards requests whose answers are sent whole.
type Forwarder struct {
	cfg      Config
	returns  RetryScheduler
	lastTook atomic.Int64 // of the last attempt that was answered, as a time.Duration
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	if cfg.OnAttempt == nil {
		cfg.OnAttempt = func(Attempt) {}
	}
	return &Forwarder{cfg: cfg}
}

// Do forwards r by route rt and returns the upstream's answer, or a
// *verdict.Error that tells whether r may have run.
func (f *Forwarder) Do(ctx context.Context, rt routetable.Route, r Request) (Response, error) {
	begun := time.Now()
	plan := NewPlan(rt, begun, r.Deadline)
	r.Deadline = plan.Deadline
	ctx, cancel := context.WithDeadline(ctx, plan.Deadline)
	defer cancel()
	pool := rt.PickPool(rand.Float64())
	affinity := f.cfg.Affinity
	if took := time.Duration(f.lastTook.Load()); rt.LatencyObjective > 0 && float64(took) > exploreFrom*float64(rt.LatencyObjective) {
		affinity = r.ID
	}
	for {
		now := time.Now()
		if err := f.cfg.Guard.Check(r.content(), now); err != nil {
			return Response{}, f.end(plan, pool, now, err)
		}
		t, wait := plan.Next(f.cfg.Registry, upstream.Requirements{Pool: pool, Now: now, Affinity: affinity})
		if t == nil && wait > 0 && clock.Sleep(ctx, wait) {
			continue
		}
		if t == nil {
			return Response{}, f.end(plan, pool, now, errNoRoom)
		}
		a, err := f.attempt(ctx, plan, t, rt, r)
		done, err := plan.EndAttempt(t.ID, a.Status, err, time.Now())
		switch {
		case done && err == nil:
			f.returns.Served(pool, time.Now())
			return a, nil
		case done:
			return Response{}, f.end(plan, pool, time.Now(), err)
		}
	}
}

var errNoRoom = errors.New("no upstream can take the request")

// attempt tries r once at the ticket's upstream.
func (f *Forwarder) attempt(ctx context.Context, plan *Plan, t *upstream.Reservation, rt routetable.Route, r Request) (Response, error) {
	run, err := f.cfg.Guard.Begin(ctx, r.content(), t.Entry)
	if err != nil {
		t.Release()
		return Response{}, err
	}
	begun := time.Now()
	actx, cancel := context.WithDeadline(ctx, plan.AttemptDeadline(begun))
	defer cancel()
	a, load, err := f.cfg.Transport.Send(actx, t.Entry, r)
	rep := report(ctx, actx, err, load)
	if err == nil {
		rep.TimePerUnit = rep.At.Sub(begun)
		f.lastTook.Store(int64(rep.TimePerUnit))
		rep.Failed = a.Status >= http.StatusInternalServerError
	}
	t.Done(rep)
	seen := Attempt{Request: r.ID, Content: r.content(), Route: rt.Name, Customer: r.Customer, Upstream: t.ID, Number: len(plan.Tried()) + 1, Status: a.Status, Took: rep.At.Sub(begun), Err: err}
	if !errors.Is(err, ErrNotRun) && !plan.MayHaveRun() {
		seen.BegunAt = begun
	}
	f.cfg.OnAttempt(seen)
	run.Done(ctx, outcome(actx, a.Status, err))
	return a, err
}

// outcome returns how an attempt ended whose context was ctx.
func outcome(ctx context.Context, status int, err error) quarantine.Outcome {
	switch {
	case err == nil && status < http.StatusInternalServerError:
		return quarantine.Answered
	case err == nil:
		return quarantine.Failed
	case errors.Is(err, ErrUnreachable):
		return quarantine.Unreachable
	case errors.Is(err, ErrNotRun):
		return quarantine.NotRun
	case ctx.Err() != nil:
		return quarantine.Abandoned
	}
	return quarantine.ConnectionLost
}

// report returns what an attempt's error says of its upstream, where ctx is the
// request's and actx the attempt's.
func report(ctx, actx context.Context, err error, load *upstream.Load) upstream.AttemptResult {
	rep := upstream.AttemptResult{At: time.Now(), Load: load}
	switch {
	case err == nil:
	case RecordRefusal(&rep, err, BusyBackoff):
	case ctx.Err() != nil && actx.Err() != context.DeadlineExceeded:
		// The caller left: that says nothing of the upstream.
	default:
		rep.Failed = true
	}
	return rep
}

// RecordRefusal reports whether err tells that the upstream did not take an attempt,
// and writes to rep why. An upstream that had no room is left alone for pause.
func RecordRefusal(rep *upstream.AttemptResult, err error, pause time.Duration) bool {
	switch {
	case errors.Is(err, ErrMisdirected):
		rep.AddressReused = true
	case errors.Is(err, ErrUnreachable):
		rep.Unreachable = true
	case errors.Is(err, ErrNotRun):
		rep.Busy, rep.BusyUntil = true, rep.At.Add(pause)
	default:
		return false
	}
	return true
}

// end returns the error of a request that gets no answer of an upstream of pool.
func (f *Forwarder) end(p *Plan, pool string, now time.Time, cause error) error {
	switch {
	case p.ran > 0 && !now.Before(p.Deadline):
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, cause)
	case p.ran > 0:
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, cause)
	}
	var refused *quarantine.RefusedError
	if errors.As(cause, &refused) {
		return verdict.Refuse(http.StatusServiceUnavailable, refused.Until, cause)
	}
	return verdict.Refuse(http.StatusServiceUnavailable, f.returns.Reject(pool, now, p.Deadline, rand.Float64()), cause)
}
