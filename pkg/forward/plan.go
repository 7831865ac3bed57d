package forward

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// defaultTimeout is the timeout of a request for which neither the caller nor the route
	// sets one.
	defaultTimeout = 10 * time.Second
	// deadlineMargin is how long before the caller's deadline the response is sent, so that
	// it arrives in time. It is at most a quarter of the caller's timeout.
	deadlineMargin = 20 * time.Millisecond
	// BusyBackoff is how long an upstream without capacity is not used. Within that time a
	// few of its requests end.
	BusyBackoff = 60 * time.Millisecond
	// pollInterval is the interval at which a waiting request looks for a free upstream.
	pollInterval = 15 * time.Millisecond
	// minRetryDelay is the minimum Retry-After delay of a request that no upstream could
	// run. By then busy upstreams have capacity again, and missing upstream entries have
	// been read again.
	minRetryDelay = 300 * time.Millisecond
	// attemptObjectives is the timeout of an attempt that may be retried elsewhere, in
	// latency objectives of the route. After one objective the response is late, but an
	// upstream that is only busy still sends it.
	attemptObjectives = 3
	// minAttemptTimeout is the minimum timeout of an attempt, for routes with a short
	// latency objective or none.
	minAttemptTimeout = 300 * time.Millisecond
	// maxExtraRefusals is how many upstreams beyond the route's MaxAttempts may refuse a
	// request. Refused attempts cost the upstreams nothing.
	maxExtraRefusals = 3
	// CopyMaxLoad is the load per slot of an upstream at which no copy is sent to it: the
	// copy would wait for a slot.
	CopyMaxLoad = 1.0
	// WaiterMaxLoad is the load per slot of an upstream at which it has no room for a request
	// that waits. With a few requests more than slots, a slot is used again as soon as its
	// request ends; with many, upstreams refuse them or serve them in no order.
	WaiterMaxLoad = 4.0 / 3
)

// Plan decides how often and for how long a request is attempted. It moves requests away
// from an unresponsive upstream, where they would otherwise wait until their deadline,
// without sending a request to more upstreams than its route allows.
type Plan struct {
	Deadline time.Time // when the response must be sent to the caller
	// MaxRuns is the number of attempts that may run the request, hedged copies included.
	MaxRuns int

	startedAt time.Time
	route     routetable.Route
	tried     []string // IDs of the upstreams tried, in order
	ran       int      // number of attempts that may have run
	refused   int      // number of attempts that did not run
}

// NewPlan returns the plan of a request of route rt received at now. deadline is the
// caller's deadline, or zero.
func NewPlan(rt routetable.Route, now, deadline time.Time) *Plan {
	by := now.Add(defaultTimeout)
	if rt.Timeout > 0 {
		by = now.Add(rt.Timeout)
	}
	if !deadline.IsZero() && deadline.Before(by) {
		by = deadline
	}
	margin := min(deadlineMargin, max(by.Sub(now), 0)/4)
	return &Plan{Deadline: by.Add(-margin), MaxRuns: rt.MaxAttempts, startedAt: now, route: rt}
}

// MayWait reports whether a request for which no upstream has capacity at now waits instead
// of being rejected. Busy upstreams are only avoided for BusyBackoff, so capacity may soon
// be found. No request waits longer than a quarter of its latency objective, because the
// caller could be served elsewhere.
func (p *Plan) MayWait(now time.Time) bool {
	limit := BusyBackoff + pollInterval
	if p.route.LatencyObjective > 0 {
		limit = min(limit, p.route.LatencyObjective/4)
	}
	after := now.Add(pollInterval)
	return after.Sub(p.startedAt) <= limit && after.Before(p.Deadline)
}

// WaitDeadline returns when a request in a contended pool stops waiting for capacity: after
// half of the latency objective of its route, so that the other half is left to serve it.
func (p *Plan) WaitDeadline() time.Time {
	limit := BusyBackoff + pollInterval
	if p.route.LatencyObjective > 0 {
		limit = p.route.LatencyObjective / 2
	}
	if at := p.startedAt.Add(limit); at.Before(p.Deadline) {
		return at
	}
	return p.Deadline
}

// Next reserves the upstream for the next attempt, or returns how long to wait before
// calling Next again. If it returns nil and 0, the request must be rejected.
func (p *Plan) Next(r *upstream.Registry, req upstream.Requirements) (*upstream.Reservation, time.Duration) {
	if rsv, ok := p.Acquire(r, req); ok {
		return rsv, 0
	}
	if p.MayWait(req.Now) {
		return nil, pollInterval
	}
	return nil, 0
}

// Acquire reserves the upstream for the next attempt. It reports false if none is usable
// now.
func (p *Plan) Acquire(r *upstream.Registry, req upstream.Requirements) (*upstream.Reservation, bool) {
	req.Exclude = p.tried
	if rsv, ok := r.Acquire(req); ok {
		return rsv, true
	}
	if len(p.tried) > 0 && p.MayRetry() {
		// Every upstream has been tried. One that was busy may have capacity now.
		return r.Acquire(upstream.Requirements{Pool: req.Pool, Now: req.Now, MaxLoad: req.MaxLoad, Once: req.Once})
	}
	return nil, false
}

// Tried returns the IDs of the upstreams to which the request was sent.
func (p *Plan) Tried() []string { return p.tried }

// MayHaveRun reports whether an attempt that has ended may have run the request.
func (p *Plan) MayHaveRun() bool { return p.ran > 0 }

// MayRetry reports whether the request may be sent again after the attempts so far.
func (p *Plan) MayRetry() bool {
	if p.ran > 0 && p.route.Kind != routetable.Idempotent {
		return false
	}
	return p.ran < p.route.MaxAttempts && p.refused < p.route.MaxAttempts+maxExtraRefusals
}

// MayCopy reports whether a copy of the attempt in flight may be sent. Only an idempotent
// request may run twice.
func (p *Plan) MayCopy() bool {
	return p.route.Kind == routetable.Idempotent && p.ran+2 <= p.MaxRuns
}

// AttemptDeadline returns the deadline of an attempt started at now. The last attempt may
// use all of the remaining time.
func (p *Plan) AttemptDeadline(now time.Time) time.Time { return p.deadlineOf(p.ran+1, now) }

// CopyDeadline returns the deadline of a copy, started at now, of the attempt in flight.
func (p *Plan) CopyDeadline(now time.Time) time.Time { return p.deadlineOf(p.ran+2, now) }

// deadlineOf returns the deadline of attempt number n among those that may run the
// request, started at now.
func (p *Plan) deadlineOf(n int, now time.Time) time.Time {
	if p.route.Kind != routetable.Idempotent || n >= p.route.MaxAttempts {
		return p.Deadline
	}
	left := p.Deadline.Sub(now)
	limit := max(attemptObjectives*p.route.LatencyObjective, minAttemptTimeout)
	return now.Add(min(limit, left/2))
}

// EndAttempt records how an attempt ended and reports whether the request is finished. If
// it is and the returned error is nil, the attempt's response is the result.
func (p *Plan) EndAttempt(upstreamID string, status int, err error, now time.Time) (bool, error) {
	if errors.Is(err, quarantine.ErrQuarantined) || errors.Is(err, ErrWithdrawn) {
		return true, err // the request was not sent
	}
	if !slices.Contains(p.tried, upstreamID) {
		p.tried = append(p.tried, upstreamID)
	}
	if err == nil {
		p.ran++
		retry := status >= http.StatusInternalServerError && p.MayRetry() && now.Before(p.Deadline)
		return !retry, nil
	}
	if errors.Is(err, ErrNotRun) {
		p.refused++
	} else {
		p.ran++
	}
	if !p.MayRetry() || !now.Before(p.Deadline) {
		return true, err
	}
	return false, nil
}
