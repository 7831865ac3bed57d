package loadsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// linkDelay is the way from an instance to an upstream, or back.
	linkDelay = 500 * time.Microsecond
	// attemptCost is what an attempt costs an upstream beside its work, also one
	// that it turns away: a new connection.
	attemptCost = time.Millisecond
	// retryPause is a caller's own pause before it tries again after an error.
	retryPause = 50 * time.Millisecond
	// holdStep is how often a request that is held looks for room.
	holdStep = 15 * time.Millisecond
)

// site is callers, instances and upstreams in simulated time.
type site struct {
	timeline
	load      Load
	policy    Policy
	start     time.Time
	rand      *rand.Rand
	instances []*instance
	upstreams map[string]*server
	meter     meter
}

// instance is one instance of the system.
type instance struct {
	registry *upstream.Registry
	returns  forward.RetryScheduler
	name     string
}

func newSite(load Load, p Policy) *site {
	s := &site{load: load, policy: p, start: time.Unix(1_800_000_000, 0), rand: newRand(load.Seed), upstreams: map[string]*server{}}
	var entries []upstream.Entry
	for i := range load.Upstreams {
		id := fmt.Sprintf("i-%02d", i)
		entries = append(entries, upstream.Entry{ID: id, Pool: pool, Address: id, Slots: load.Slots})
		s.upstreams[id] = &server{site: s, lost: i < load.OutageUpstreams, slow: i >= load.Upstreams-load.SlowUpstreams}
	}
	for i := range load.Instances {
		in := &instance{registry: upstream.NewRegistry(""), name: fmt.Sprintf("n%d", i)}
		in.registry.Set(entries)
		s.instances = append(s.instances, in)
	}
	return s
}

// arrive has a caller begin at now, and the next one after it.
func (s *site) arrive(now time.Time) {
	after := now.Sub(s.start)
	if after >= s.load.Duration {
		return
	}
	c := &caller{site: s, begun: now, deadline: now.Add(s.load.Timeout)}
	s.meter.offer(after)
	c.try(now)
	gap := s.rand.ExpFloat64() / s.load.rate(after)
	s.at(now.Add(time.Duration(gap*float64(time.Second))), s.arrive)
}

// caller is one request of a caller, over all its attempts.
type caller struct {
	site     *site
	begun    time.Time
	deadline time.Time
	attempts int
}

// try sends the request to an instance.
func (c *caller) try(now time.Time) {
	c.attempts++
	in := c.site.instances[c.site.rand.IntN(len(c.site.instances))]
	r := &request{caller: c, instance: in, begun: now, plan: forward.NewPlan(c.site.load.route(), now, c.deadline)}
	r.next(now)
}

// again has the caller come back at a time, if it has attempts and time left.
// Callers wait for a third of the time that they have left at the most.
func (c *caller) again(now, at time.Time) {
	at = earlier(at, now.Add(c.deadline.Sub(now)/3))
	if c.attempts >= c.site.load.MaxAttempts || !at.Before(c.deadline) {
		return
	}
	c.site.at(at, c.try)
}

// request is one attempt of a caller at an instance.
type request struct {
	caller   *caller
	instance *instance
	begun    time.Time
	plan     *forward.Plan
}

// next decides what happens to the request at now.
func (r *request) next(now time.Time) {
	s := r.caller.site
	t, wait := r.plan.Next(r.instance.registry, upstream.Requirements{Pool: pool, Now: now, Affinity: r.instance.name})
	if t == nil && wait == 0 && s.policy.WaitForSlot && now.Add(holdStep).Before(r.plan.Deadline) {
		wait = holdStep
	}
	switch {
	case t != nil:
		r.send(now, t)
	case wait > 0:
		s.at(now.Add(wait), r.next)
	default:
		r.reject(now)
	}
}

// reject turns the request away.
func (r *request) reject(now time.Time) {
	s := r.caller.site
	if len(r.plan.Tried()) == 0 {
		s.meter.held = append(s.meter.held, now.Sub(r.begun))
	}
	r.caller.again(now, s.policy.RetryAt(&r.instance.returns, now, r.plan.Deadline, s.rand.Float64()))
}

// send sends the request to the ticket's upstream.
func (r *request) send(now time.Time, t *upstream.Reservation) {
	s := r.caller.site
	s.meter.attempts++
	until := r.plan.AttemptDeadline(now)
	begun, over := now, false // over once the attempt has ended
	end := func(now time.Time, load *upstream.Load, err error) {
		if over {
			return
		}
		over = true
		r.ended(now, t, upstream.AttemptResult{At: now, Load: load, TimePerUnit: now.Sub(begun)}, err)
	}
	if s.upstreams[t.ID].away(now) {
		s.at(now.Add(2*linkDelay), func(now time.Time) { end(now, nil, forward.ErrUnreachable) })
		return
	}
	j := &job{until: until}
	j.answer = func(now time.Time, load upstream.Load, ran bool) {
		s.at(now.Add(linkDelay), func(now time.Time) {
			if ran {
				end(now, &load, nil)
				return
			}
			end(now, &load, forward.ErrNotRun)
		})
	}
	s.at(now.Add(linkDelay), func(now time.Time) { s.upstreams[t.ID].take(now, j) })
	s.at(until, func(now time.Time) { end(now, nil, errTimeout) })
}

// ended takes the outcome of an attempt.
func (r *request) ended(now time.Time, t *upstream.Reservation, rep upstream.AttemptResult, err error) {
	s := r.caller.site
	if err != nil {
		rep.TimePerUnit = 0
		rep.Failed = !forward.RecordRefusal(&rep, err, forward.BusyBackoff)
	}
	t.Done(rep)
	status := 0
	if err == nil {
		status = http.StatusOK
	}
	done, err := r.plan.EndAttempt(t.ID, status, err, now)
	switch {
	case done && err == nil:
		r.instance.returns.Served(pool, now)
		s.meter.answer(s.load, now.Sub(s.start), now.Sub(r.caller.begun), r.caller.begun.Sub(s.start))
	case done && err != errTimeout:
		r.reject(now)
	case done:
		r.caller.again(now, now.Add(retryPause))
	default:
		r.next(now)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
