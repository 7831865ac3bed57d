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
	// defaultWait bounds a request for which neither its caller nor its route
	// sets a time.
	defaultWait = 10 * time.Second
	// answerMargin is how long before the end of the caller's time the answer
	// leaves, so that it arrives in time; at most a quarter of that time.
	answerMargin = 20 * time.Millisecond
	// BusyBackoff is how long an upstream that had no room is left alone: a few
	// of its requests end in that time.
	BusyBackoff = 60 * time.Millisecond
	// waitStep is how often a request that waits for room looks for it.
	waitStep = 15 * time.Millisecond
	// returnAfter is when a caller may come back at the soonest that no upstream
	// could serve: upstreams that had no room have some then, and entries that
	// were missing are read again.
	returnAfter = 300 * time.Millisecond
	// patience is how many objectives an attempt may take before a request
	// that may be repeated is tried elsewhere; at its objective an answer is
	// late but an upstream that is only busy still gives it.
	patience = 3
	// minPatience bounds the patience for routes with short objectives or none.
	minPatience = 300 * time.Millisecond
	// extraRefusals is how many upstreams beyond the route's attempts may
	// say that they did not run a request: such an attempt cost them nothing.
	extraRefusals = 3
)

// Plan decides how often and for how long a request is tried. It answers an
// upstream that has gone dark, whose requests would otherwise wait for their
// deadline, without sending a request to more upstreams than its route allows.
type Plan struct {
	Deadline time.Time // the caller has its answer by then
	begun    time.Time
	route    routetable.Route
	tried    []string // upstreams, in order
	ran      int      // attempts that may have run
	refused  int      // attempts that did not run
}

// NewPlan returns the plan of a request of route rt that came at now; deadline
// is its caller's, or zero.
func NewPlan(rt routetable.Route, now, deadline time.Time) *Plan {
	by := now.Add(defaultWait)
	if rt.Timeout > 0 {
		by = now.Add(rt.Timeout)
	}
	if !deadline.IsZero() && deadline.Before(by) {
		by = deadline
	}
	margin := min(answerMargin, max(by.Sub(now), 0)/4)
	return &Plan{Deadline: by.Add(-margin), begun: now, route: rt}
}

// MayWait reports whether a request for which no upstream has room at now waits
// a little rather than be turned away: those that refused others are left alone
// for BusyPause only. None waits longer than a quarter of its objective, as its
// caller could be served elsewhere.
func (p *Plan) MayWait(now time.Time) bool {
	limit := BusyBackoff + waitStep
	if p.route.LatencyObjective > 0 {
		limit = min(limit, p.route.LatencyObjective/4)
	}
	after := now.Add(waitStep)
	return after.Sub(p.begun) <= limit && after.Before(p.Deadline)
}

// Next returns a ticket of the upstream that the request is sent to next, or how
// long it waits before it asks again; neither if it is to be turned away.
func (p *Plan) Next(r *upstream.Registry, w upstream.Requirements) (*upstream.Reservation, time.Duration) {
	w.Exclude = p.tried
	if t, ok := r.Acquire(w); ok {
		return t, 0
	}
	if len(p.tried) > 0 && p.MayRetry() {
		// Each upstream has been tried: one that had no room may have some now.
		if t, ok := r.Acquire(upstream.Requirements{Pool: w.Pool, Now: w.Now}); ok {
			return t, 0
		}
	}
	if p.MayWait(w.Now) {
		return nil, waitStep
	}
	return nil, 0
}

// Tried returns the upstreams that the request was sent to.
func (p *Plan) Tried() []string { return p.tried }

// MayHaveRun reports whether an attempt that has ended may have run.
func (p *Plan) MayHaveRun() bool { return p.ran > 0 }

// MayRetry reports whether the request may be sent once more, now that
// attempts have ended as they did.
func (p *Plan) MayRetry() bool {
	if p.ran > 0 && p.route.Kind != routetable.Idempotent {
		return false
	}
	return p.ran < p.route.MaxAttempts && p.refused < p.route.MaxAttempts+extraRefusals
}

// AttemptDeadline returns when an attempt begun at now is given up. The last one
// has all the time that is left.
func (p *Plan) AttemptDeadline(now time.Time) time.Time {
	if p.route.Kind != routetable.Idempotent || p.ran+1 >= p.route.MaxAttempts {
		return p.Deadline
	}
	left := p.Deadline.Sub(now)
	limit := max(patience*p.route.LatencyObjective, minPatience)
	return now.Add(min(limit, left/2))
}

// EndAttempt tells how an attempt ended, and reports whether the request is done:
// with the answer of that attempt if the error is nil.
func (p *Plan) EndAttempt(upstreamID string, status int, err error, now time.Time) (bool, error) {
	if errors.Is(err, quarantine.ErrQuarantined) {
		return true, err // it was not sent
	}
	if !slices.Contains(p.tried, upstreamID) {
		p.tried = append(p.tried, upstreamID)
	}
	if err == nil {
		p.ran++
		again := status >= http.StatusInternalServerError && p.MayRetry() && now.Before(p.Deadline)
		return !again, nil
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
