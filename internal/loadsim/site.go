package loadsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/hedge"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/waitqueue"
)

const (
	// linkDelay is the one-way network delay between an instance and an upstream of the same
	// data centre.
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
	// urgentPriority and otherPriority are the priorities of urgent requests and of others.
	urgentPriority = 0
	otherPriority  = 2
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
	crossings crossings
}

// instance is a simulated instance.
type instance struct {
	registry *upstream.Registry
	retries  forward.RetryScheduler
	hedge    *hedge.Policy
	queue    *waitqueue.Queue[int]
	wakeups  int // scheduled ones
	name     string

	dataCentre int
}

// newSite returns a site at its start, without events.
func newSite(load Load, p Policy) *site {
	s := &site{load: load, policy: p, start: time.Unix(1_800_000_000, 0), rand: newRand(load.Seed), upstreams: map[string]*server{}}
	s.machines = machines{Machines: load.Machines, seed: load.Seed, start: s.start}
	var entries []upstream.Entry
	for i := range load.Upstreams {
		id := upstreamID(i)
		entries = append(entries, upstream.Entry{ID: id, Pool: pool, Address: id, Slots: load.Slots})
		s.setDataCentre(&entries[i], i)
		s.upstreams[id] = &server{site: s, id: id, hasOutage: i < load.OutageUpstreams, slow: i >= load.Upstreams-load.SlowUpstreams,
			failing: i < load.FailingUpstreams, arrivedAt: s.start, dataCentre: load.DataCentres.of(i, load.Upstreams)}
	}
	for i := range load.Instances {
		dataCentre := load.DataCentres.of(i, load.Instances)
		in := &instance{registry: upstream.NewRegistry(s.dataCentreName(dataCentre)), dataCentre: dataCentre, hedge: hedge.New(hedge.Config{Objective: load.LatencyObjective}), name: fmt.Sprintf("n%d", i)}
		in.registry.SetContended(p.Contended)
		in.registry.Set(entries)
		in.queue = waitqueue.New[int](waitqueue.Config{Limit: forward.QueueLimit(load.Upstreams * load.Slots), CustomerShare: 0.5})
		in.registry.OnRelease(func(string) { in.queue.Wake() })
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

// longestGap returns the longest time for which a failing upstream got no request.
func (s *site) longestGap() time.Duration {
	gap := time.Duration(0)
	for _, u := range s.upstreams {
		if u.failing {
			gap = max(gap, u.longestGap, s.start.Add(s.load.Duration).Sub(u.arrivedAt))
		}
	}
	return gap
}

// arrive starts a caller in a data centre at now and schedules the arrival of the next one there.
func (s *site) arrive(dataCentre int, now time.Time) {
	after := now.Sub(s.start)
	if after >= s.load.Duration {
		return
	}
	c := &caller{site: s, dataCentre: dataCentre, customer: s.customer(), priority: otherPriority, startedAt: now, deadline: now.Add(s.load.Timeout)}
	s.meter.offer(after, c.customer)
	if s.load.UrgentShare > 0 && s.rand.Float64() < s.load.UrgentShare {
		c.priority = urgentPriority
		s.meter.urgent++
	}
	c.try(now)
	gap := s.rand.ExpFloat64() / (s.load.rate(after) * s.load.DataCentres.demand(dataCentre, after))
	s.schedule(now.Add(time.Duration(gap*float64(time.Second))), func(now time.Time) { s.arrive(dataCentre, now) })
}

// customer draws the customer of a request.
func (s *site) customer() int {
	if s.load.Customers < 2 {
		return 0
	}
	heavy := max(s.load.HeavyFactor, 1)
	return int(max(0, s.rand.Float64()*(heavy+float64(s.load.Customers-1))-heavy+1))
}

// caller is one request of a caller with all its attempts.
type caller struct {
	site       *site
	customer   int
	startedAt  time.Time
	deadline   time.Time
	attempts   int
	dataCentre int
	priority   int
	sent       bool // to an upstream
}

// try sends the request to a random instance of the caller's data centre.
func (c *caller) try(now time.Time) {
	c.attempts++
	in := c.site.instanceIn(c.dataCentre)
	r := &request{caller: c, instance: in, startedAt: now, plan: forward.NewPlan(c.site.load.route(), now, c.deadline)}
	if c.site.policy.Hedge {
		r.copyDelay, r.mayHedge = in.hedge.Begin(now)
	}
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
	mayHedge  bool
	copyDelay time.Duration
	running   []*attempt
	ticket    *waitqueue.Ticket[int] // nil if it does not wait in the queue
}

// attempt is one sending of a request to an upstream.
type attempt struct {
	rsv       *upstream.Reservation
	job       *job
	startedAt time.Time
	number    int
	finished  bool
}

// requirements returns what a request requires of its upstream at now.
func (r *request) requirements(now time.Time) upstream.Requirements {
	return upstream.Requirements{Pool: pool, Now: now, Affinity: r.instance.name}
}

// next sends the request to an upstream, has it wait, or rejects it.
func (r *request) next(now time.Time) {
	s := r.caller.site
	if s.policy.Queue {
		r.nextInQueue(now)
		return
	}
	rsv, wait := r.plan.Next(r.instance.registry, r.requirements(now))
	if rsv == nil && wait == 0 && s.policy.WaitForSlot && now.Add(slotPollInterval).Before(r.plan.Deadline) {
		wait = slotPollInterval
	}
	switch {
	case rsv != nil:
		r.begin(now, rsv)
	case wait > 0:
		s.schedule(now.Add(wait), r.next)
	default:
		r.reject(now)
	}
}

// nextInQueue sends the request to an upstream, has it wait in the queue, or rejects it.
func (r *request) nextInQueue(now time.Time) {
	s, q, limit := r.caller.site, r.instance.queue, r.plan.WaitDeadline()
	if q.Len() == 0 || !now.Before(limit) {
		if rsv, ok := r.acquire(r.requirements(now)); ok {
			r.begin(now, rsv)
			return
		}
	}
	if !now.Before(limit) {
		r.reject(now)
		return
	}
	t, err := q.Join(waitqueue.Waiter[int]{Priority: r.caller.priority, Customer: r.caller.customer, Deadline: limit, Notify: func(sig waitqueue.Signal) {
		s.schedule(s.now, func(now time.Time) { r.signal(now, sig) })
	}}, now)
	if err != nil {
		r.reject(now)
		return
	}
	r.ticket = t
	q.Wake()
	s.schedule(limit, func(now time.Time) {
		if r.ticket == t {
			r.ticket = nil
			t.Leave()
			r.reject(now)
		}
	})
}

// signal handles a signal of the queue.
func (r *request) signal(now time.Time, sig waitqueue.Signal) {
	t, in := r.ticket, r.instance
	if t == nil {
		return
	}
	if sig == waitqueue.Displaced {
		r.ticket = nil
		r.reject(now)
		return
	}
	req := r.requirements(now)
	req.MaxLoad = forward.WaiterMaxLoad
	if rsv, ok := r.acquire(req); ok {
		r.ticket = nil
		t.Take(now)
		r.begin(now, rsv)
		return
	}
	in.wakeups++
	wakeup := in.wakeups
	r.caller.site.schedule(forward.RoomAt(in.registry, pool, now), func(time.Time) {
		if wakeup == in.wakeups {
			in.queue.Wake()
		}
	})
	t.NoRoom()
}

// reject rejects the request; its caller retries as the policy says.
func (r *request) reject(now time.Time) {
	s := r.caller.site
	if len(r.plan.Tried()) == 0 {
		s.meter.waits = append(s.meter.waits, now.Sub(r.startedAt))
	}
	r.caller.retry(now, s.policy.RetryAt(&r.instance.retries, now, r.plan.Deadline, s.rand.Float64()))
}

// begin sends the request to the reserved upstream and, if it takes longer than usual, a
// copy to another one.
func (r *request) begin(now time.Time, rsv *upstream.Reservation) {
	first := &attempt{rsv: rsv, startedAt: now, number: 1}
	r.send(now, first, r.plan.AttemptDeadline(now))
	if !r.mayHedge || !r.plan.MayCopy() {
		return
	}
	s := r.caller.site
	s.schedule(now.Add(r.copyDelay), func(now time.Time) {
		if first.finished || !now.Before(r.plan.Deadline) || !r.instance.hedge.Copy() {
			return
		}
		req := r.requirements(now)
		req.Exclude, req.NeedFreeSlot, req.MaxLoad, req.Copy = append(slices.Clone(r.plan.Tried()), rsv.ID), true, forward.CopyMaxLoad, true
		other, ok := r.acquireCopy(req)
		if !ok {
			r.instance.hedge.Refund()
			return
		}
		s.meter.copies++
		r.send(now, &attempt{rsv: other, startedAt: now, number: 2}, r.plan.CopyDeadline(now))
	})
}

// send sends the request to the upstream of t.
func (r *request) send(now time.Time, t *attempt, until time.Time) {
	s := r.caller.site
	s.meter.attempts++
	if c := r.caller; !c.sent {
		c.sent = true
		s.meter.firstSends = append(s.meter.firstSends, now.Sub(c.startedAt))
	}
	r.running = append(r.running, t)
	server := s.upstreams[t.rsv.ID]
	delay := s.delay(r.instance, server)
	s.crossings.add(r.instance.dataCentre, now.Sub(s.start), r.instance.dataCentre != server.dataCentre)
	if server.unreachable(now) {
		s.schedule(now.Add(2*delay), func(now time.Time) { r.ended(now, t, nil, forward.ErrUnreachable) })
		return
	}
	t.job = &job{until: until}
	t.job.answer = func(now time.Time, load upstream.Load, ran bool) {
		s.schedule(now.Add(delay), func(now time.Time) {
			if ran {
				r.ended(now, t, &load, nil)
				return
			}
			r.ended(now, t, &load, forward.ErrNotRun)
		})
	}
	server.coming++
	s.schedule(now.Add(delay), func(now time.Time) {
		server.coming--
		server.accept(now, t.job)
	})
	s.schedule(until, func(now time.Time) { r.ended(now, t, nil, errTimeout) })
}

// ended handles the end of an attempt: the request is done, its other attempt continues,
// or its next attempt is decided.
func (r *request) ended(now time.Time, t *attempt, load *upstream.Load, err error) {
	if t.finished {
		return
	}
	s := r.caller.site
	t.finished = true
	r.running = slices.DeleteFunc(r.running, func(o *attempt) bool { return o == t })
	if s.load.ReportDelay > 0 && load != nil {
		report := load
		load = nil
		s.schedule(now.Add(s.load.ReportDelay), func(now time.Time) { t.rsv.Observe(upstream.AttemptResult{At: now, Load: report}) })
	}
	rep, status := upstream.AttemptResult{At: now, Load: load}, 0
	if err != nil {
		rep.Failed = !forward.RecordRefusal(&rep, err, forward.BusyBackoff)
	} else {
		rep.TimePerUnit, status = now.Sub(t.startedAt), http.StatusOK
		if t.job.failed {
			rep.Failed, status = true, http.StatusBadGateway
			rep.Cancelled = s.policy.NoFailureRates // only the estimate of failure rates regards it
			s.meter.failed++
		}
	}
	if err == nil && !rep.Failed || err == errTimeout {
		r.instance.hedge.Observe(now.Sub(t.startedAt), now)
	}
	t.rsv.Done(rep)
	done, err := r.plan.EndAttempt(t.rsv.ID, status, err, now)
	switch {
	case done && err == nil && !rep.Failed:
		for _, o := range r.running {
			r.supersede(now, o, t)
		}
		r.instance.retries.Served(pool, now)
		s.meter.answer(s.load, now.Sub(s.start), now.Sub(r.caller.startedAt), r.caller.startedAt.Sub(s.start), r.caller.customer)
		if r.caller.priority == urgentPriority {
			s.meter.answeredUrgent++
		}
	case len(r.running) > 0:
	case done && err != nil && err != errTimeout:
		r.reject(now)
	case done:
		r.caller.retry(now, now.Add(retryBackoff))
	default:
		r.next(now)
	}
}

// supersede cancels an attempt because another copy has been answered.
func (r *request) supersede(now time.Time, t, answered *attempt) {
	s := r.caller.site
	t.finished = true
	took := now.Sub(t.startedAt)
	r.instance.hedge.Observe(took, now)
	rep := upstream.AttemptResult{At: now, Superseded: true}
	if t.number < answered.number {
		rep.TimePerUnit = took
	}
	t.rsv.Done(rep)
	if t.job != nil {
		server := s.upstreams[t.rsv.ID]
		s.schedule(now.Add(s.delay(r.instance, server)), func(now time.Time) { server.cancel(now, t.job) })
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
