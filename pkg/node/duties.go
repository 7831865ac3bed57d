package node

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// Cloud takes the calls that one instance at a time makes for the whole site. Each
// bears the holder's name and a fencing token, that of the lease as it was last
// renewed, so that a call that is carried out late, after newer ones, is refused
// where tokens are checked. Its errors are ErrFenced, ErrNoEngines, or others, after
// which the call may have been carried out or may be later.
type Cloud interface {
	ReportUsage(ctx context.Context, h Holder, r usage.Report) error
	OrderEngines(ctx context.Context, h Holder, o scaling.Order) error
}

// Holder is the instance that makes a call, and its fencing token.
type Holder struct {
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
	billing usage.Billing
	since   time.Time // when the lease was taken under which work is done; zero for none
	plans   map[string]*scaling.Plan
	wake    clock.Wakeup // the lease was taken, or lost
}

func newDuties(n *Node) *duties {
	return &duties{node: n, ledger: usage.Ledger{Store: n.cfg.Store}, billing: usage.Billing{Calendar: n.cfg.Calendar},
		plans: map[string]*scaling.Plan{}, wake: clock.NewWakeup()}
}

// dutyIdle is how often an instance that holds nothing looks whether it does; it is
// woken when that changes.
const dutyIdle = time.Minute

// keep does what is due until ctx ends.
func (d *duties) keep(ctx context.Context) error {
	if d.node.cfg.Cloud == nil {
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
	if now.Sub(since) < d.node.cfg.LeaseTime || d.node.draining.Load() {
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
	d.billing.Begin(left, n.begunAt, now)
	d.plans = map[string]*scaling.Plan{}
	d.since = since
	n.cfg.Logger.Info("duties taken up", "fencing", n.orders.current().Fencing, "reports", len(left))
	return true
}

// bill closes the windows whose time has come, and sends what is fixed.
func (d *duties) bill(ctx context.Context) {
	if d.billing.Calendar.Length <= 0 {
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
		r, err = d.ledger.Fix(cctx, usage.Report{Window: w, Counts: sum.Counts, FixedAt: time.Now().UTC().Round(0), FixedBy: n.start, Tallies: len(sum.Rows)})
		if err == nil {
			d.billing.Fixed(r)
			n.cfg.Logger.Info("use added up", "window", w, "ended", d.billing.Calendar.Ends(w), "customers", len(r.Counts), "tallies", r.Tallies, "fixed_by", r.FixedBy)
			old := d.billing.ToSweep()
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
	if err := errors.Join(d.ledger.Sweep(ctx, sum.Rows), d.ledger.SweepReports(ctx, old)); err != nil {
		d.node.cfg.Logger.Debug("counts of use not swept", "err", err)
	}
}

// send sends a report, and reports whether it was accepted.
func (d *duties) send(ctx context.Context, r usage.Report) bool {
	n := d.node
	err := d.call(ctx, func(ctx context.Context, h Holder) error { return n.cfg.Cloud.ReportUsage(ctx, h, r) })
	now := time.Now()
	d.billing.Sent(r, err == nil, now)
	late := now.After(d.billing.Calendar.Due(r.Window))
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
		if err := d.ledger.Sent(sctx, r, now.UTC().Round(0)); err != nil {
			n.cfg.Logger.Debug("report not marked as sent", "window", r.Window, "err", err)
		}
		return nil
	})
	return true
}

// call makes a call to the cloud under the lease as it is held now. If it was lost and
// taken again since work began, another may have acted meanwhile, and nothing is sent. A
// refusal for another's fencing token ends the holding.
func (d *duties) call(ctx context.Context, f func(context.Context, Holder) error) error {
	n := d.node
	held := n.orders.current()
	if held.Fencing == 0 || !n.orders.heldSince().Equal(d.since) || !time.Now().Before(orderUntil(held).Add(-orderMargin)) {
		return errTooLate
	}
	cctx, cancel := context.WithTimeout(ctx, dutyCall)
	defer cancel()
	begun := time.Now()
	err := f(cctx, Holder{Name: n.cfg.Name, Fencing: held.Fencing})
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
			plan = &scaling.Plan{}
			d.plans[pool.Name] = plan
		}
		s := scaling.Seen{At: time.Now(), Engines: map[scaling.Place]int{}, Items: (*items)[pool.Name]}
		for _, e := range n.registry.Entries(pool.Name) {
			if !e.Draining {
				s.Engines[scaling.Place{DataCentre: e.DataCentre, Spot: e.Spot}]++
			}
		}
		terms := scaling.Terms{Scaling: pool.Scaling, Slots: pool.Slots}
		for _, o := range plan.Decide(pool.Name, terms, s) {
			d.order(ctx, plan, o, s.Engines[o.Place])
		}
	}
}

// order gives one order for engines of a place where there are some.
func (d *duties) order(ctx context.Context, plan *scaling.Plan, o scaling.Order, there int) {
	n := d.node
	err := d.call(ctx, func(ctx context.Context, h Holder) error { return n.cfg.Cloud.OrderEngines(ctx, h, o) })
	outcome := scaling.Unknown
	switch {
	case err == nil:
		outcome = scaling.Accepted
	case errors.Is(err, ErrNoEngines):
		outcome = scaling.None
	}
	plan.Ordered(o, outcome, there, time.Now())
	n.observer.count("duties.engines.ordered")
	n.cfg.Logger.Info("engines ordered", "pool", o.Pool, "data_centre", o.DataCentre, "spot", o.Spot, "engines", o.Engines, "err", err)
}
