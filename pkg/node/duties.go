package node

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// CloudProvider takes the calls that one instance at a time makes for the whole site. Each
// bears the holder's name and a fencing token, that of the lease as it was last
// renewed, so that a call that is carried out late, after newer ones, is refused
// where tokens are checked. Its errors are ErrFenced, ErrNoEngines, or others, after
// which the call may have been carried out or may be later.
type CloudProvider interface {
	ReportUsage(ctx context.Context, h LeaseHolder, r usage.Report) error
	OrderEngines(ctx context.Context, h LeaseHolder, o scaling.Order) error
}

// LeaseHolder is the instance that makes a call, and its fencing token.
type LeaseHolder struct {
	Name    string
	Fencing uint64
}

// Errors of a Cloud's calls that were not carried out and will not be.
var (
	ErrFenced    = errors.New("node: another holder has a higher fencing token")
	ErrNoEngines = errors.New("node: there are no such engines now")
)

const (
	// dutyPeriod is how often the holder looks whether a call is due.
	dutyPeriod = 250 * time.Millisecond
	// dutyCall bounds a call: a cloud that is fifty times slower than usual
	// answers in 0.5 s.
	dutyCall = 1500 * time.Millisecond
)

// duties makes the calls to the cloud while this instance holds the lease of orders.
// One lease serves all duties: a second one would cost as many calls of the store again.
type duties struct {
	node    *Node
	ledger  usage.Ledger
	billing usage.Reporter
	since   time.Time // when the lease was taken under which work is done; zero for none
	plans   map[string]*scaling.Planner
	wake    clock.Wakeup // the lease was taken, or lost
}

func newDuties(n *Node) *duties {
	return &duties{node: n, ledger: usage.Ledger{Store: n.cfg.Store}, billing: usage.Reporter{Schedule: n.cfg.Calendar},
		plans: map[string]*scaling.Planner{}, wake: clock.NewWakeup()}
}

// dutyIdle is how often an instance that holds nothing looks whether it does; it is
// woken when that changes.
const dutyIdle = time.Minute

// keep does what is due until ctx ends.
func (d *duties) keep(ctx context.Context) error {
	if d.node.cfg.CloudProvider == nil {
		return nil
	}
	for ctx.Err() == nil {
		wait := dutyIdle
		if since := d.node.orders.heldSince(); !since.IsZero() {
			wait = dutyPeriod
			d.work(ctx, since)
		}
		d.wake.Wait(ctx, wait)
	}
	return nil
}

// work does what is due of a holder since a time. Another may have held the lease
// until then: holders must not take turns within the lease time.
func (d *duties) work(ctx context.Context, since time.Time) {
	now := time.Now()
	if now.Sub(since) < d.node.cfg.MinHolderInterval || d.node.draining.Load() {
		return
	}
	if !d.since.Equal(since) && !d.begin(ctx, since, now) {
		return
	}
	d.bill(ctx)
	d.scale(ctx)
}

// begin takes up what holders before have left, as the holder since a time.
func (d *duties) begin(ctx context.Context, since, now time.Time) bool {
	n := d.node
	lctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	left, err := d.ledger.Reports(lctx)
	if err != nil {
		n.cfg.Logger.Warn("reports of use not read", "err", err)
		return false
	}
	d.billing.Restore(left, n.begunAt, now)
	d.plans = map[string]*scaling.Planner{}
	d.since = since
	n.cfg.Logger.Info("duties taken up", "fencing", n.orders.current().Fencing, "reports", len(left))
	return true
}

// bill closes the windows whose time has come, and sends what is fixed.
func (d *duties) bill(ctx context.Context) {
	if d.billing.Schedule.Length <= 0 {
		return
	}
	for ctx.Err() == nil {
		w, due := d.billing.ToClose(d.node.reachedSince(), time.Now())
		if !due || !d.close(ctx, w) {
			break
		}
	}
	for ctx.Err() == nil {
		r, due := d.billing.ToSend(time.Now())
		if !due || !d.send(ctx, r) {
			break
		}
	}
}

// close adds up a window's counts and fixes its report.
func (d *duties) close(ctx context.Context, w usage.Window) bool {
	n := d.node
	cctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	sum, err := d.ledger.Sum(cctx, w)
	if err == nil {
		var r usage.Report
		r, err = d.ledger.Finalize(cctx, usage.Report{Window: w, Counts: sum.Counts, FinalizedAt: time.Now().UTC().Round(0), FinalizedBy: n.start, Tallies: len(sum.Rows)})
		if err == nil {
			d.billing.Finalized(r)
			n.cfg.Logger.Info("use added up", "window", w, "ended", d.billing.Schedule.End(w), "customers", len(r.Counts), "tallies", r.Tallies, "fixed_by", r.FinalizedBy)
			old := d.billing.ToDelete()
			n.group.Go(func() error {
				d.sweep(ctx, sum, old)
				return nil
			})
			return true
		}
	}
	n.observer.count("duties.not_closed")
	n.cfg.Logger.Warn("use not added up", "window", w, "err", err)
	return false
}

// sweep deletes what is not needed any more. What fails stays, and harms nothing.
func (d *duties) sweep(ctx context.Context, sum usage.Sum, old []usage.Report) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	if err := errors.Join(d.ledger.DeleteTallies(ctx, sum.Rows), d.ledger.DeleteReports(ctx, old)); err != nil {
		d.node.cfg.Logger.Debug("counts of use not swept", "err", err)
	}
}

// send sends a report, and reports whether it was accepted.
func (d *duties) send(ctx context.Context, r usage.Report) bool {
	n := d.node
	err := d.call(ctx, func(ctx context.Context, h LeaseHolder) error { return n.cfg.CloudProvider.ReportUsage(ctx, h, r) })
	now := time.Now()
	d.billing.SendEnded(r, err == nil, now)
	late := now.After(d.billing.Schedule.Due(r.Window))
	if err != nil {
		n.observer.count("duties.usage.not_sent")
		n.cfg.Logger.Warn("use not reported", "window", r.Window, "late", late, "err", err)
		return false
	}
	n.observer.count("duties.usage.sent")
	if late {
		n.observer.count("duties.usage.late")
	}
	n.cfg.Logger.Info("use reported", "window", r.Window, "customers", len(r.Counts), "late", late)
	n.group.Go(func() error {
		sctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		if err := d.ledger.MarkSent(sctx, r, now.UTC().Round(0)); err != nil {
			n.cfg.Logger.Debug("report not marked as sent", "window", r.Window, "err", err)
		}
		return nil
	})
	return true
}

// call makes a call to the cloud under the lease as it is held now. If it was lost and
// taken again since work began, another may have acted meanwhile, and nothing is sent. A
// refusal for another's fencing token ends the holding.
func (d *duties) call(ctx context.Context, f func(context.Context, LeaseHolder) error) error {
	n := d.node
	held := n.orders.current()
	if held.Fencing == 0 || !n.orders.heldSince().Equal(d.since) || !time.Now().Before(orderUntil(held).Add(-orderMargin)) {
		return errTooLate
	}
	cctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	begun := time.Now()
	err := f(cctx, LeaseHolder{Name: n.cfg.Name, Fencing: held.Fencing})
	n.observer.time("duties.calls", time.Since(begun))
	if errors.Is(err, ErrFenced) {
		n.cfg.Logger.Warn("duties lost to another holder", "fencing", held.Fencing)
		n.orders.lose(held.Fencing)
	}
	return err
}

// scale orders engines.
func (d *duties) scale(ctx context.Context) {
	n := d.node
	t := n.table.Load()
	if t == nil {
		return
	}
	items := n.openItems.Load()
	for _, pool := range t.Pools {
		if pool.Scaling.Max <= 0 || items == nil {
			continue
		}
		plan := d.plans[pool.Name]
		if plan == nil {
			plan = &scaling.Planner{}
			d.plans[pool.Name] = plan
		}
		s := scaling.PoolState{At: time.Now(), Engines: map[scaling.Placement]int{}, Items: (*items)[pool.Name]}
		for _, e := range n.registry.Entries(pool.Name) {
			if !e.Draining {
				s.Engines[scaling.Placement{DataCentre: e.DataCentre, Spot: e.Spot}]++
			}
		}
		terms := scaling.Limits{Scaling: pool.Scaling, Slots: pool.Slots}
		for _, o := range plan.Decide(pool.Name, terms, s) {
			d.order(ctx, plan, o, s.Engines[o.Placement])
		}
	}
}

// order gives one order for engines of a place where there are some.
func (d *duties) order(ctx context.Context, plan *scaling.Planner, o scaling.Order, there int) {
	n := d.node
	err := d.call(ctx, func(ctx context.Context, h LeaseHolder) error { return n.cfg.CloudProvider.OrderEngines(ctx, h, o) })
	outcome := scaling.Unknown
	switch {
	case err == nil:
		outcome = scaling.Accepted
	case errors.Is(err, ErrNoEngines):
		outcome = scaling.NoCapacity
	}
	plan.RecordOutcome(o, outcome, there, time.Now())
	n.observer.count("duties.engines.ordered")
	n.cfg.Logger.Info("engines ordered", "pool", o.Pool, "data_centre", o.DataCentre, "spot", o.Spot, "engines", o.Engines, "err", err)
}
