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
	// linkDelay is the one-way network delay between an instance and an upstream.
	linkDelay = 500 * time.Microsecond
	// attemptCost is the time that each attempt costs an upstream besides the
	// request's own, also one that it refuses: that of a new connection.
	attemptCost = time.Millisecond
	// retryBackoff is a caller's backoff after a timeout, for which there is no
	// retry time from the instance.
	retryBackoff = 50 * time.Millisecond
	// slotPollInterval is the period in which a waiting request checks for a free
	// slot.
	slotPollInterval = 15 * time.Millisecond
)

// site simulates callers, instances and upstreams.
type site struct {
	timeline
	load      Load
	policy    Policy
	start     time.Time
	rand      *rand.Rand
	instances []*instance
	upstreams map[string]*server
	machines  machines
	meter     meter
}

// instance is a simulated instance.
type instance struct {
	registry *upstream.Registry
	retries  forward.RetryScheduler
	name     string
}

// newSite returns a site at its start, without events.
func newSite(load Load, p Policy) *site {
	s := &site{load: load, policy: p, start: time.Unix(1_800_000_000, 0), rand: newRand(load.Seed), upstreams: map[string]*server{}}
	s.machines = machines{Machines: load.Machines, seed: load.Seed, start: s.start}
	var entries []upstream.Entry
	for i := range load.Upstreams {
		id := upstreamID(i)
		entries = append(entries, upstream.Entry{ID: id, Pool: pool, Address: id, Slots: load.Slots})
		s.upstreams[id] = &server{site: s, id: id, hasOutage: i < load.OutageUpstreams, slow: i >= load.Upstreams-load.SlowUpstreams}
	}
	for i := range load.Instances {
		in := &instance{registry: upstream.NewRegistry(""), name: fmt.Sprintf("n%d", i)}
		in.registry.SetContended(p.Contended)
		in.registry.Set(entries)
		s.instances = append(s.instances, in)
	}
	return s
}

// busiestShare returns the work of the upstream with the most, relative to the mean.
func (s *site) busiestShare() float64 {
	most, sum := time.Duration(0), time.Duration(0)
	for _, u := range s.upstreams {
		most = max(most, u.work)
		sum += u.work
	}
	return float64(most) * float64(len(s.upstreams)) / float64(max(sum, 1))
}

// arrive starts a caller at now and schedules the arrival of the next one.
func (s *site) arrive(now time.Time) {
	after := now.Sub(s.start)
	if after >= s.load.Duration {
		return
	}
	c := &caller{site: s, startedAt: now, deadline: now.Add(s.load.Timeout)}
	s.meter.offer(after)
	c.try(now)
	gap := s.rand.ExpFloat64() / s.load.rate(after)
	s.schedule(now.Add(time.Duration(gap*float64(time.Second))), s.arrive)
}

// caller is one request of a caller with all its attempts.
type caller struct {
	site      *site
	startedAt time.Time
	deadline  time.Time
	attempts  int
}

// try sends the request to a random instance.
func (c *caller) try(now time.Time) {
	c.attempts++
	in := c.site.instances[c.site.rand.IntN(len(c.site.instances))]
	r := &request{caller: c, instance: in, startedAt: now, plan: forward.NewPlan(c.site.load.route(), now, c.deadline)}
	r.next(now)
}

// retry schedules the caller's next attempt at a time, unless it has no attempts or
// no time left. Callers wait for at most a third of their remaining time.
func (c *caller) retry(now, at time.Time) {
	at = earlier(at, now.Add(c.deadline.Sub(now)/3))
	if c.attempts >= c.site.load.MaxAttempts || !at.Before(c.deadline) {
		return
	}
	c.site.schedule(at, c.try)
}

// request is one attempt of a caller at an instance.
type request struct {
	caller    *caller
	instance  *instance
	startedAt time.Time
	plan      *forward.Plan
}

// next sends the request to an upstream, has it wait, or rejects it.
func (r *request) next(now time.Time) {
	s := r.caller.site
	rsv, wait := r.plan.Next(r.instance.registry, upstream.Requirements{Pool: pool, Now: now, Affinity: r.instance.name})
	if rsv == nil && wait == 0 && s.policy.WaitForSlot && now.Add(slotPollInterval).Before(r.plan.Deadline) {
		wait = slotPollInterval
	}
	switch {
	case rsv != nil:
		r.send(now, rsv)
	case wait > 0:
		s.schedule(now.Add(wait), r.next)
	default:
		r.reject(now)
	}
}

// reject rejects the request; its caller retries as the policy says.
func (r *request) reject(now time.Time) {
	s := r.caller.site
	if len(r.plan.Tried()) == 0 {
		s.meter.waits = append(s.meter.waits, now.Sub(r.startedAt))
	}
	r.caller.retry(now, s.policy.RetryAt(&r.instance.retries, now, r.plan.Deadline, s.rand.Float64()))
}

// send sends the request to the reserved upstream.
func (r *request) send(now time.Time, rsv *upstream.Reservation) {
	s := r.caller.site
	s.meter.attempts++
	until := r.plan.AttemptDeadline(now)
	startedAt, finished := now, false // finished is set when the attempt has ended
	end := func(now time.Time, load *upstream.Load, err error) {
		if finished {
			return
		}
		finished = true
		if s.load.ReportDelay > 0 && load != nil {
			report := load
			load = nil
			s.schedule(now.Add(s.load.ReportDelay), func(now time.Time) { rsv.Observe(upstream.AttemptResult{At: now, Load: report}) })
		}
		r.ended(now, rsv, upstream.AttemptResult{At: now, Load: load, TimePerUnit: now.Sub(startedAt)}, err)
	}
	if s.upstreams[rsv.ID].unreachable(now) {
		s.schedule(now.Add(2*linkDelay), func(now time.Time) { end(now, nil, forward.ErrUnreachable) })
		return
	}
	j := &job{until: until}
	j.answer = func(now time.Time, load upstream.Load, ran bool) {
		s.schedule(now.Add(linkDelay), func(now time.Time) {
			if ran {
				end(now, &load, nil)
				return
			}
			end(now, &load, forward.ErrNotRun)
		})
	}
	s.schedule(now.Add(linkDelay), func(now time.Time) { s.upstreams[rsv.ID].accept(now, j) })
	s.schedule(until, func(now time.Time) { end(now, nil, errTimeout) })
}

// ended handles the end of an attempt: the request is done, or its next attempt is
// decided.
func (r *request) ended(now time.Time, rsv *upstream.Reservation, rep upstream.AttemptResult, err error) {
	s := r.caller.site
	if err != nil {
		rep.TimePerUnit = 0
		rep.Failed = !forward.RecordRefusal(&rep, err, forward.BusyBackoff)
	}
	rsv.Done(rep)
	status := 0
	if err == nil {
		status = http.StatusOK
	}
	done, err := r.plan.EndAttempt(rsv.ID, status, err, now)
	switch {
	case done && err == nil:
		r.instance.retries.Served(pool, now)
		s.meter.answer(s.load, now.Sub(s.start), now.Sub(r.caller.startedAt), r.caller.startedAt.Sub(s.start))
	case done && err != errTimeout:
		r.reject(now)
	case done:
		r.caller.retry(now, now.Add(retryBackoff))
	default:
		r.next(now)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
