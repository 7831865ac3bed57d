package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const (
	// LeasesTable is the table of the leases of duties that one instance has.
	LeasesTable = "leases"
	// ordersLease is the lease of the one instance that orders engines.
	ordersLease = LeasesTable + "//orders"
	// orderTime is how long after a renewal of the lease orders are given: it is
	// short, as the next holder waits for its end.
	orderTime = 900 * time.Millisecond
	// takeoverSlack is how much longer the next holder waits, so that a store that
	// is slow for all does not have holders alternate: two calls of 0.25 s and a
	// renewal's pause. Only engines that were ordered lately are waited for as long
	// as holders must not alternate, 3 s: were all, a day on which six holders are
	// lost would be worth 0.65 instead of 0.73 (means of ten plays with equal seeds).
	takeoverSlack = 600 * time.Millisecond
	// orderRenewal is how often the lease is renewed, or asked for: twice in
	// orderTime, since a call may fail.
	orderRenewal = 350 * time.Millisecond
	// leaseCall bounds a renewal, which is two calls: 0.54 s of a store that takes
	// sixty times as long as usual. One of which the answer is lost is followed by the
	// next within orderTime + takeoverSlack, before another takes the lease.
	leaseCall = 700 * time.Millisecond
	// orderCandidates is how many instances ask for the lease.
	orderCandidates = 3
	// orderMargin is how long before the end of its time no order is sent.
	orderMargin = 150 * time.Millisecond
	// orderTimeout is how long a load may take before its outcome is unknown: a
	// load takes about a second, and the engine's entry tells it up to 1.2 s later.
	orderTimeout = 4 * time.Second
	// orderCall bounds one call of an engine.
	orderCall = 800 * time.Millisecond
	// orderPause is the pause before an engine that did not take an order is
	// ordered again.
	orderPause = 250 * time.Millisecond
	// firstAsk is after how long the first engine is asked whether it has loaded.
	// Later ones are asked from askShare of the shortest load seen on, since each
	// asking costs: most have loaded by then. askPeriod is how often from then on,
	// since an engine that has loaded lets the next begin.
	firstAsk  = 500 * time.Millisecond
	askShare  = 1.03
	askPeriod = 150 * time.Millisecond
	// confirmPeriod is how often it is looked whether an engine has loaded.
	confirmPeriod = 40 * time.Millisecond
	// loadingShare is the part of a pool's engines that may load at once; loads
	// take longer when more of them do.
	loadingShare = 0.21
	// minLoading is the least number of engines that may load at once.
	minLoading = 2
)

// orderSender gives orders to engines while this instance holds the lease for
// that.
type orderSender struct {
	node *Node

	mu       sync.Mutex
	held     lease.Held
	since    time.Time                  // when held was taken; zero while none is
	rollouts map[string]weights.Rollout // by pool and model
	accepted map[string]acceptedOrders  // by engine ID
	ordered  map[string]orderCount      // by pool and model
	shortest time.Duration              // load seen; 0 for none

	ledger  *orderLedger
	written map[string]bool // engines that the row of the lease held has in its ledger
	wrote   chan struct{}   // closed when the row has been written
	wake    clock.Wakeup    // has the row written at once
}

// orderCount counts the orders given for a version.
type orderCount struct {
	version uint64
	orders  int
}

// acceptedOrders counts the orders that one start of an engine has accepted.
type acceptedOrders struct {
	born  int64
	count uint64
}

func newOrderSender(n *Node) *orderSender {
	return &orderSender{node: n, rollouts: map[string]weights.Rollout{}, accepted: map[string]acceptedOrders{}, ordered: map[string]orderCount{},
		ledger: newOrderLedger(), written: map[string]bool{}, wrote: make(chan struct{}), wake: clock.NewWakeup()}
}

// count returns how many orders e has accepted: as counted here, or as e tells.
func (o *orderSender) count(ctx context.Context, e upstream.Entry) (uint64, error) {
	o.mu.Lock()
	a, ok := o.accepted[e.ID]
	o.mu.Unlock()
	if ok && a.born == e.Born {
		return a.count, nil
	}
	rep, err := o.node.cfg.Upstreams.Report(ctx, e)
	if err != nil {
		return 0, err
	}
	o.setCount(e, rep.Orders)
	return rep.Orders, nil
}

func (o *orderSender) setCount(e upstream.Entry, count uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[e.ID] = acceptedOrders{born: e.Born, count: count}
}

// forget drops what was counted of e, which may be wrong now.
func (o *orderSender) forget(e upstream.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.accepted, e.ID)
}

// send gives one order and waits until the engine has carried it out, or ctx
// ends: an instance that stops must not stay for a load.
func (o *orderSender) send(ctx context.Context, key string, to upstream.Entry, mo weights.LoadOrder) {
	n := o.node
	begun := time.Now()
	octx, cancel := context.WithTimeout(ctx, orderCall)
	defer cancel()
	held, err := o.enter(octx, to.ID)
	if err == nil {
		mo.Fencing = held.Fencing
		mo.AfterOrders, err = o.count(octx, to)
	}
	if err == nil && !time.Now().Before(orderUntil(held).Add(-orderMargin)) {
		err = errTooLate
	}
	if err != nil {
		o.sent(to.ID)
		o.done(key, to.ID, mo.Version, err)
		return
	}
	outcome, err := n.cfg.Upstreams.Order(octx, to, mo)
	o.sent(to.ID)
	n.cfg.Logger.Info("order", "upstream", to.ID, "model", mo.Model, "version", mo.Version, "fencing", mo.Fencing, "after_orders", mo.AfterOrders, "outcome", outcome, "err", err)
	switch outcome {
	case weights.OrderAccepted:
		o.setCount(to, mo.AfterOrders+1)
		err = o.confirm(ctx, to, mo, begun.Add(orderTimeout))
		n.cfg.Logger.Info("load", "upstream", to.ID, "model", mo.Model, "version", mo.Version, "took", time.Since(begun), "err", err)
	case weights.OrderUnknown:
		o.forget(to)
		err = o.confirm(ctx, to, mo, begun.Add(orderTimeout))
	case weights.OrderFenced:
		err = engine.ErrStaleFencing
	case weights.OrderRefused:
		o.forget(to)
	}
	o.done(key, to.ID, mo.Version, err)
}

var (
	errTooLate    = errors.New("node: the lease ended before the order was sent")
	errNotLoaded  = errors.New("node: the engine has not loaded in time")
	errEngineAway = errors.New("node: the engine is gone")
)

// confirm waits until the engine is seen to hold the version.
func (o *orderSender) confirm(ctx context.Context, to upstream.Entry, mo weights.LoadOrder, until time.Time) error {
	begun := time.Now()
	ask := begun.Add(o.askAfter())
	for time.Now().Before(until) {
		if now := time.Now(); !now.Before(ask) {
			ask = now.Add(askPeriod)
			if o.loaded(ctx, to, mo) {
				o.learnLoad(time.Since(begun))
				return nil
			}
		}
		switch e, ok := o.node.registry.Entry(to.ID); {
		case !ok:
			return errEngineAway
		case e.Versions[mo.Model] >= mo.Version:
			return nil
		}
		if !clock.Sleep(ctx, confirmPeriod) {
			return ctx.Err()
		}
	}
	return errNotLoaded
}

// askAfter is how long after an order its engine is asked whether it has loaded.
func (o *orderSender) askAfter() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shortest == 0 {
		return firstAsk
	}
	return time.Duration(askShare * float64(o.shortest))
}

func (o *orderSender) learnLoad(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shortest == 0 || took < o.shortest {
		o.shortest = took
	}
}

// loaded asks the engine whether it holds the version.
func (o *orderSender) loaded(ctx context.Context, e upstream.Entry, mo weights.LoadOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderCall)
	defer cancel()
	rep, err := o.node.cfg.Upstreams.Report(ctx, e)
	if err != nil {
		o.node.cfg.Logger.Warn("engine does not report", "upstream", e.ID, "err", err)
		return false
	}
	return rep.Versions[mo.Model] >= mo.Version
}

func (o *orderSender) done(key, id string, version uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.rollouts[key].Reduce(weights.OrderEnded{Address: id, Version: version, Err: err, At: time.Now()})
	o.rollouts[key] = r
	if errors.Is(err, engine.ErrStaleFencing) {
		o.held = lease.Held{}
	}
}
