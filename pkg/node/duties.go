package node

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// CloudProvider is the API of the cloud provider, called by one instance at a time for
// the whole site. Each call carries the holder's name and the fencing token of the
// lease as last renewed, so that a call that is carried out late, after newer ones, is
// refused where tokens are checked. The errors are ErrFenced, ErrNoEngines, or others,
// after which the call may have been carried out, or may be later.
type CloudProvider interface {
	ReportUsage(ctx context.Context, h LeaseHolder, r usage.Report) error
	OrderEngines(ctx context.Context, h LeaseHolder, o scaling.Order) error
}

// LeaseHolder is the instance that makes a call, with its fencing token.
type LeaseHolder struct {
	Name    string
	Fencing uint64
}

// Errors of calls to a CloudProvider that were not carried out and will not be.
var (
	ErrFenced    = errors.New("node: another holder has a higher fencing token")
	ErrNoEngines = errors.New("node: no such engines are available now")
)

const (
	// dutyPeriod is the period at which the holder checks whether a call is due.
	dutyPeriod = 250 * time.Millisecond
	// dutyCallTimeout is the timeout of a call: a provider that is fifty times slower
	// than usual answers in 0.5 s.
	dutyCallTimeout = 1500 * time.Millisecond
)

// duties makes the calls to the cloud provider while this instance holds the orders
// lease. One lease serves all duties, because a second one would cost as many calls of
// the store again.
type duties struct {
	node    *Node
	ledger  usage.Ledger
	billing usage.Reporter
	heldAt  time.Time // when the lease was acquired for which restore succeeded; zero for none
	plans   map[string]*scaling.Planner
	wake    clock.Wakeup // signalled when the lease is acquired or lost
}

func newDuties(n *Node) *duties {
	return &duties{node: n, ledger: usage.Ledger{Store: n.cfg.Store}, billing: usage.Reporter{Schedule: n.cfg.UsageSchedule},
		plans: map[string]*scaling.Planner{}, wake: clock.NewWakeup()}
}

// dutyIdlePeriod is the period at which an instance that does not hold the lease checks
// for it. It is also woken when that changes.
const dutyIdlePeriod = time.Minute

// run does what is due until ctx is done.
func (d *duties) run(ctx context.Context) error {
	if d.node.cfg.CloudProvider == nil {
		return nil
	}
	for ctx.Err() == nil {
		wait := dutyIdlePeriod
		if since := d.node.orders.heldSince(); !since.IsZero() {
			wait = dutyPeriod
			d.makeDueCalls(ctx, since)
		}
		d.wake.Wait(ctx, wait)
	}
	return nil
}

// makeDueCalls makes the calls that are due, for a holder that acquired the lease at
// since. It waits for MinHolderInterval first, because another instance may have held
// the lease until then, and holders must not alternate within that time.
func (d *duties) makeDueCalls(ctx context.Context, since time.Time) {
	now := time.Now()
	if now.Sub(since) < d.node.cfg.MinHolderInterval || d.node.draining.Load() {
		return
	}
	if !d.heldAt.Equal(since) && !d.restore(ctx, since, now) {
		return
	}
	d.reportUsage(ctx)
	d.scale(ctx)
}

// restore loads what earlier holders stored, for a lease acquired at since, and reports
// whether it succeeded.
func (d *duties) restore(ctx context.Context, since, now time.Time) bool {
	n := d.node
	lctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := d.ledger.Reports(lctx)
	if err != nil {
		n.cfg.Logger.Warn("stored usage reports not read; retrying before any call to the cloud provider", "err", err)
		return false
	}
	d.billing.Restore(stored, n.startedAt, now)
	d.plans = map[string]*scaling.Planner{}
	d.heldAt = since
	n.cfg.Logger.Info("duties of the lease holder started", "fencing", n.orders.current().Fencing, "reports", len(stored))
	return true
}

// reportUsage finalizes the reports of the usage windows that are due, and sends the
// reports that are.
func (d *duties) reportUsage(ctx context.Context) {
	if d.billing.Schedule.Length <= 0 {
		return
	}
	for ctx.Err() == nil {
		w, due := d.billing.ToClose(d.node.reachableSince(), time.Now())
		if !due || !d.closeWindow(ctx, w) {
			break
		}
	}
	for ctx.Err() == nil {
		r, due := d.billing.ToSend(time.Now())
		if !due || !d.sendReport(ctx, r) {
			break
		}
	}
}

// closeWindow sums a window's counts and finalizes its report. It reports whether it
// succeeded.
func (d *duties) closeWindow(ctx context.Context, w usage.Window) bool {
	n := d.node
	cctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	since := d.heldAt
	sum, err := d.ledger.Sum(cctx, w)
	if err == nil && !n.orders.heldSince().Equal(since) {
		err = errLeaseEnded // lost while the tallies were read
	}
	if err == nil {
		var r usage.Report
		r, err = d.ledger.Finalize(cctx, usage.Report{Window: w, Counts: sum.Counts, FinalizedAt: time.Now().UTC().Round(0), FinalizedBy: n.startID, Tallies: len(sum.Rows)})
		if err == nil {
			d.billing.Finalized(r)
			n.cfg.Logger.Info("usage report finalized", "window", w, "ended", d.billing.Schedule.End(w), "customers", len(r.Counts), "tallies", r.Tallies, "fixed_by", r.FinalizedBy)
			old := d.billing.ToDelete()
			n.group.Go(func() error {
				if n.orders.heldSince().Equal(since) {
					d.deleteOld(ctx, sum, old)
				}
				return nil
			})
			return true
		}
	}
	n.observer.count("duties.not_closed")
	n.cfg.Logger.Warn("usage report not finalized; retrying", "window", w, "err", err)
	return false
}

// deleteOld deletes tallies and reports that are no longer needed. Rows whose deletion
// fails remain, which is harmless.
func (d *duties) deleteOld(ctx context.Context, sum usage.Sum, old []usage.Report) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := errors.Join(d.ledger.DeleteTallies(ctx, sum.Rows), d.ledger.DeleteReports(ctx, old)); err != nil {
		d.node.cfg.Logger.Debug("old usage tallies or reports not deleted; leaving them", "err", err)
	}
}

// sendReport sends a usage report, and returns whether it was accepted.
func (d *duties) sendReport(ctx context.Context, r usage.Report) bool {
	n := d.node
	err := d.call(ctx, func(ctx context.Context, h LeaseHolder) error { return n.cfg.CloudProvider.ReportUsage(ctx, h, r) })
	now := time.Now()
	d.billing.SendEnded(r, err == nil, now)
	late := now.After(d.billing.Schedule.Due(r.Window))
	if err != nil {
		n.observer.count("duties.usage.not_sent")
		n.cfg.Logger.Warn("usage report not sent; retrying unless too old", "window", r.Window, "late", late, "err", err)
		return false
	}
	n.observer.count("duties.usage.sent")
	if late {
		n.observer.count("duties.usage.late")
	}
	n.cfg.Logger.Info("usage report sent", "window", r.Window, "customers", len(r.Counts), "late", late)
	n.group.Go(func() error {
		sctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := d.ledger.MarkSent(sctx, r, now.UTC().Round(0)); err != nil {
			n.cfg.Logger.Debug("marking a usage report as sent failed; it may be sent again", "window", r.Window, "err", err)
		}
		return nil
	})
	return true
}

// call makes a call to the cloud provider under the lease as it is held now. If the
// lease was lost and acquired again since restore, another instance may have acted in
// between, and no call is made. A refusal because of another holder's fencing token
// makes this instance drop the lease.
func (d *duties) call(ctx context.Context, f func(context.Context, LeaseHolder) error) error {
	n := d.node
	held, ok := n.orders.heldUnder(d.heldAt)
	if !ok {
		return errLeaseEnded
	}
	cctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	started := time.Now()
	err := f(cctx, LeaseHolder{Name: n.cfg.Name, Fencing: held.Fencing})
	n.observer.time("duties.calls", time.Since(started))
	if errors.Is(err, ErrFenced) {
		n.cfg.Logger.Warn("cloud provider refused the fencing token; dropping the orders lease", "fencing", held.Fencing)
		n.orders.loseLease(held.Fencing)
	}
	return err
}

// scale orders engines for the pools that need them.
func (d *duties) scale(ctx context.Context) {
	n := d.node
	t := n.table.Load()
	if t == nil {
		return
	}
	open := n.openSubmissions.Load()
	for _, pool := range t.Pools {
		if pool.Scaling.Max <= 0 || open == nil {
			continue
		}
		plan := d.plans[pool.Name]
		if plan == nil {
			plan = &scaling.Planner{}
			d.plans[pool.Name] = plan
		}
		limits := scaling.Limits{Scaling: pool.Scaling, Slots: pool.Slots, Contended: n.cfg.Contended}
		now := time.Now()
		s := scaling.PoolState{At: now, Engines: map[scaling.Placement]int{}, Items: limits.CountItems((*open)[pool.Name], now)}
		for _, e := range n.registry.Entries(pool.Name) {
			if !e.Draining {
				s.Engines[scaling.Placement{DataCentre: e.DataCentre, Spot: e.Spot}]++
			}
		}
		for _, o := range plan.Decide(pool.Name, limits, s) {
			d.orderEngines(ctx, plan, o, s.Engines[o.Placement])
		}
	}
}

// orderEngines sends one order for engines of a placement, which has current engines
// now.
func (d *duties) orderEngines(ctx context.Context, plan *scaling.Planner, o scaling.Order, current int) {
	n := d.node
	err := d.call(ctx, func(ctx context.Context, h LeaseHolder) error { return n.cfg.CloudProvider.OrderEngines(ctx, h, o) })
	outcome := scaling.Unknown
	switch {
	case err == nil:
		outcome = scaling.Accepted
	case errors.Is(err, ErrNoEngines):
		outcome = scaling.NoCapacity
	}
	plan.RecordOutcome(o, outcome, current, time.Now())
	n.observer.count("duties.engines.ordered")
	n.cfg.Logger.Info("engines ordered", "pool", o.Pool, "data_centre", o.DataCentre, "spot", o.Spot, "engines", o.Engines, "running", current, "err", err)
}
