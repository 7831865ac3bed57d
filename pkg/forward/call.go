package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/hedge"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// call is the state of a request for a complete response.
type call struct {
	f        *Forwarder
	plan     *Plan
	route    routetable.Route
	pool     string
	affinity string
	request  Request

	hedge     *hedge.Policy // of the route; nil if the pool is not contended
	mayHedge  bool
	copyDelay time.Duration // time after the start of an attempt at which a copy is sent
}

// start decides whether copies of the call may be sent. They are sent only where the pool
// is contended: elsewhere they would cost upstreams time and gain little.
func (c *call) start(now time.Time) {
	if !c.f.cfg.Registry.Contended(c.pool) {
		return
	}
	c.hedge = c.f.hedges.Of(c.route.Name, hedge.Config{Objective: c.route.LatencyObjective})
	if c.route.Kind == routetable.Idempotent {
		c.copyDelay, c.mayHedge = c.hedge.Begin(now)
	}
}

// reserve returns a reservation for the next attempt, for which the request may wait.
func (c *call) reserve(ctx context.Context) (*upstream.Reservation, error) {
	req := upstream.Requirements{Pool: c.pool, Affinity: c.affinity, Once: c.route.Kind != routetable.Idempotent}
	if c.hedge != nil {
		return c.f.reserve(ctx, wait{pool: c.pool, plan: c.plan, priority: c.request.Priority.Or(c.route.Priority), customer: c.request.Customer,
			work: c.hedge.Mean().Seconds(), report: c.request.Report, acquire: func(now time.Time, maxLoad float64) (*upstream.Reservation, bool) {
				req.Now, req.MaxLoad = now, maxLoad
				return c.plan.Acquire(c.f.cfg.Registry, req)
			}})
	}
	for {
		req.Now = time.Now()
		rsv, wait := c.plan.Next(c.f.cfg.Registry, req)
		if rsv != nil {
			return rsv, nil
		}
		if wait == 0 || !clock.Sleep(ctx, wait) {
			return nil, waitEnded(ctx)
		}
		c.request.Report.waitedSince(req.Now)
		if err := c.f.checkQuarantine(c.request, time.Now()); err != nil {
			return nil, err
		}
	}
}

// attempt is one sending of the request to an upstream.
type attempt struct {
	rsv       *upstream.Reservation
	guarded   *quarantine.Attempt
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	number    int
	isCopy    bool
	took      time.Duration // once it has ended
}

// result is what an attempt's upstream sent.
type result struct {
	attempt *attempt
	resp    Response
	load    *upstream.Load
	err     error
}

// begin prepares attempt number n, with the deadline that deadlineAt returns for its start.
func (c *call) begin(ctx context.Context, rsv *upstream.Reservation, n int, deadlineAt func(time.Time) time.Time) (*attempt, error) {
	guarded, err := c.f.beginGuarded(ctx, c.request, rsv.Entry)
	if err != nil {
		rsv.Release()
		return nil, err
	}
	t := &attempt{rsv: rsv, guarded: guarded, startedAt: time.Now(), number: n}
	t.ctx, t.cancel = context.WithDeadline(ctx, deadlineAt(t.startedAt))
	return t, nil
}

// send sends the request and waits for the response.
func (c *call) send(t *attempt) result {
	resp, load, err := c.f.cfg.Transport.Send(t.ctx, t.rsv.Entry, c.request)
	return result{t, resp, load, err}
}

// end records how an attempt ended. It reports whether the request is finished.
func (c *call) end(ctx context.Context, res result) (bool, error) {
	t, err := res.attempt, res.err
	defer t.cancel()
	rep := resultOf(ctx, t.ctx, t.startedAt, err, res.load)
	took := rep.At.Sub(t.startedAt)
	t.took = took
	c.request.Report.ended(t.rsv.ID, t.number, took)
	if err == nil {
		rep.TimePerUnit = took
		c.f.lastLatency.Store(int64(took))
		rep.Failed = res.resp.Status >= http.StatusInternalServerError
	}
	if c.hedge != nil && !rep.Cancelled && (err == nil && !rep.Failed || errors.Is(t.ctx.Err(), context.DeadlineExceeded)) {
		c.hedge.Observe(took, rep.At)
	}
	endReservation(t.rsv, rep, err)
	c.report(t, res.resp.Status, took, err)
	t.guarded.Done(ctx, outcomeOf(t.ctx, res.resp.Status, err))
	return c.plan.EndAttempt(t.rsv.ID, res.resp.Status, err, time.Now())
}

// supersede cancels an attempt because another copy has been answered. Its upstream is
// known to take at least as long as the attempt has, which matters if the answered copy
// was sent later.
func (c *call) supersede(ctx context.Context, t, answered *attempt) {
	t.cancel()
	now := time.Now()
	took := now.Sub(t.startedAt)
	c.hedge.Observe(took, now)
	rep := upstream.AttemptResult{At: now, Superseded: true}
	if t.number < answered.number {
		rep.TimePerUnit = took
	}
	t.rsv.Done(rep)
	c.report(t, 0, took, ErrSuperseded)
	c.request.Report.superseded(t.rsv.ID)
	t.guarded.Done(ctx, quarantine.Abandoned)
}

// report calls OnAttempt. Only the first attempt that may have run the request has a start
// time.
func (c *call) report(t *attempt, status int, took time.Duration, err error) {
	seen := Attempt{Request: c.request.ID, Content: c.request.content(), Route: c.route.Name, Customer: c.request.Customer, Upstream: t.rsv.ID,
		Number: t.number, Copy: t.isCopy, Status: status, Took: took, Err: err}
	if !errors.Is(err, ErrNotRun) && !c.plan.MayHaveRun() {
		seen.StartedAt = t.startedAt
	}
	c.f.cfg.OnAttempt(seen)
}

// run sends the request to the reserved upstream, with a copy to another one if that is
// allowed and the upstream takes longer than usual. It reports whether the request is
// finished; if it is and the error is nil, the response is the result.
func (c *call) run(ctx context.Context, rsv *upstream.Reservation) (Response, bool, error) {
	first, err := c.begin(ctx, rsv, len(c.plan.Tried())+1, c.plan.AttemptDeadline)
	if err != nil {
		done, err := c.plan.EndAttempt(rsv.ID, 0, err, time.Now())
		return Response{}, done, err
	}
	if !c.mayHedge || !c.plan.MayCopy() {
		res := c.send(first)
		done, err := c.end(ctx, res)
		return res.resp, done, err
	}
	return c.race(ctx, first)
}

// race sends the first attempt and, after copyDelay, a copy. The first successful response
// wins and the other attempt is cancelled. If one fails, the other continues.
func (c *call) race(ctx context.Context, first *attempt) (Response, bool, error) {
	results := make(chan result, 2) // has room for both, as a cancelled attempt's result is not read
	launch := func(t *attempt) {
		c.f.group.Go(func() error {
			results <- c.send(t)
			return nil
		})
	}
	launch(first)
	timer := time.NewTimer(c.copyDelay)
	defer timer.Stop()
	running := []*attempt{first}
	var failed *result // response of a failed attempt
	for {
		select {
		case <-timer.C:
			if t := c.copyOf(ctx, first); t != nil {
				launch(t)
				running = append(running, t)
			}
		case res := <-results:
			done, err := c.end(ctx, res)
			running = slices.DeleteFunc(running, func(t *attempt) bool { return t == res.attempt })
			success := res.err == nil && res.resp.Status < http.StatusInternalServerError
			switch {
			case success:
				for _, t := range running {
					c.supersede(ctx, t, res.attempt)
				}
				if res.attempt != first {
					c.f.count("hedge.won")
					c.request.Report.copyAnswered()
				}
				return res.resp, done, err
			case len(running) > 0:
				if res.err == nil {
					failed = &res
				}
			case done && err != nil && failed != nil:
				c.request.Report.ended(failed.attempt.rsv.ID, failed.attempt.number, failed.attempt.took)
				return failed.resp, true, nil // a response says more than no response
			default:
				return res.resp, done, err
			}
		}
	}
}

// copyOf prepares a copy of the attempt in flight at another upstream with a free slot. It
// returns nil if there is none, or if the budget of copies is spent.
func (c *call) copyOf(ctx context.Context, first *attempt) *attempt {
	now := time.Now()
	// A request that may have crashed upstreams runs at one upstream at a time.
	if !now.Before(c.plan.Deadline) || !c.request.Exempt && c.f.cfg.Guard.NeedsTrial(c.request.content(), now) {
		return nil
	}
	if !c.hedge.Copy() {
		c.f.count("hedge.over_budget")
		return nil
	}
	exclude := append(slices.Clone(c.plan.Tried()), first.rsv.ID)
	rsv, ok := c.f.cfg.Registry.Acquire(upstream.Requirements{Pool: c.pool, Now: now, Affinity: c.affinity, Exclude: exclude, NeedFreeSlot: true, MaxLoad: CopyMaxLoad, Copy: true})
	if !ok {
		c.hedge.Refund()
		return nil
	}
	t, err := c.begin(ctx, rsv, first.number+1, c.plan.CopyDeadline)
	if err != nil {
		c.hedge.Refund()
		return nil
	}
	c.f.count("hedge.copies")
	c.request.Report.copied()
	t.isCopy = true
	return t
}
