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
	// LeasesTable is the table of the leases for duties that only one instance at a time
	// performs.
	LeasesTable = "leases"
	// ordersLease is the name of the lease of the one instance that orders engines.
	ordersLease = LeasesTable + "//orders"
	// orderWindow is how long after a renewal of the lease orders may be sent. It is
	// short because the next holder waits for its end.
	orderWindow = 900 * time.Millisecond
	// takeoverDelay is how much longer the next holder waits, so that the lease does
	// not alternate between holders while the store is slow for all of them: two calls
	// of 0.25 s and the pause between renewals. Engines that the previous holder ordered
	// recently are not ordered for Config.MinHolderInterval, by default 3 s. If the next
	// holder waited 3 s for all engines, a simulated day on which six holders are lost
	// would score 0.65 instead of 0.73 (means of ten runs with equal seeds).
	takeoverDelay = 600 * time.Millisecond
	// leaseRenewInterval is the interval at which the lease is renewed, or requested:
	// at least twice in orderWindow, because a call may fail.
	leaseRenewInterval = 350 * time.Millisecond
	// leaseCallTimeout is the timeout of a renewal, which is two calls: they take
	// 0.54 s when the store takes sixty times as long as usual. A renewal whose answer
	// is lost is followed by the next within orderWindow + takeoverDelay, before
	// another instance acquires the lease.
	leaseCallTimeout = 700 * time.Millisecond
	// leaseCandidates is the number of instances that try to acquire the lease.
	leaseCandidates = 3
	// orderMargin is the time before the end of orderWindow in which no order is sent.
	orderMargin = 150 * time.Millisecond
	// loadTimeout is the time that a load may take until its outcome is considered
	// unknown, without the time until the entry of the engine shows it. A load takes
	// about a second.
	loadTimeout = 2800 * time.Millisecond
	// defaultHeartbeatInterval is the default of Config.HeartbeatInterval.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// orderCallTimeout is the timeout of one call to an engine.
	orderCallTimeout = 800 * time.Millisecond
	// orderRetryDelay is the delay before an engine that did not accept an order is
	// ordered again.
	orderRetryDelay = 250 * time.Millisecond
	// firstPollDelay is the time after an order at which the first engine is polled for
	// the version that it holds. Later engines are polled from pollDelayFactor times
	// the shortest load observed, when most have finished, because each poll has a
	// cost. enginePollInterval is the interval of polls from then on: it is short
	// because an engine that has finished lets the next one begin.
	firstPollDelay     = 500 * time.Millisecond
	pollDelayFactor    = 1.03
	enginePollInterval = 150 * time.Millisecond
	// confirmInterval is the interval at which the entry of an engine is checked for
	// the version ordered.
	confirmInterval = 40 * time.Millisecond
	// loadingShare is the fraction of a pool's engines that may load at once. Loads
	// take longer when more engines load.
	loadingShare = 0.21
	// minLoading is the lower bound of the number of engines that may load at once.
	minLoading = 2
)

// orderSender sends load orders to engines while this instance holds the orders lease.
type orderSender struct {
	node *Node

	mu           sync.Mutex
	held         lease.Held
	heldAt       time.Time                  // when held was acquired; zero while the lease is not held
	rollouts     map[string]weights.Rollout // by pool and model
	accepted     map[string]acceptedOrders  // by engine ID
	orderCounts  map[string]orderCount      // by pool and model
	shortestLoad time.Duration              // shortest load observed; 0 for none

	ledger     *orderLedger
	persisted  map[string]bool // engines that are in the ledger stored in the row of held
	rowWritten chan struct{}   // closed when the row has been written or the lease lost
	wake       clock.Wakeup    // triggers writing the row
}

// orderCount counts the orders sent for a version.
type orderCount struct {
	version uint64
	orders  int
}

// acceptedOrders counts the orders that one process of an engine has accepted.
type acceptedOrders struct {
	born  int64
	count uint64
}

func newOrderSender(n *Node) *orderSender {
	return &orderSender{node: n, rollouts: map[string]weights.Rollout{}, accepted: map[string]acceptedOrders{}, orderCounts: map[string]orderCount{},
		ledger: newOrderLedger(), persisted: map[string]bool{}, rowWritten: make(chan struct{}), wake: clock.NewWakeup()}
}

// acceptedCount returns how many orders e has accepted: from the local count, or else
// as e reports it.
func (o *orderSender) acceptedCount(ctx context.Context, e upstream.Entry) (uint64, error) {
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
	o.setAcceptedCount(e, rep.AcceptedOrders)
	return rep.AcceptedOrders, nil
}

func (o *orderSender) setAcceptedCount(e upstream.Entry, count uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.accepted[e.ID] = acceptedOrders{born: e.Born, count: count}
}

// forgetAcceptedCount drops the local count for e, which may be wrong now.
func (o *orderSender) forgetAcceptedCount(e upstream.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.accepted, e.ID)
}

// send sends one order and waits until the engine has carried it out or ctx is done: an
// instance that stops must not wait for a load.
func (o *orderSender) send(ctx context.Context, key string, to upstream.Entry, mo weights.LoadOrder) {
	n := o.node
	started := time.Now()
	octx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	since := o.heldSince()
	held, err := o.waitPersisted(octx, to.ID)
	if err == nil {
		mo.Fencing = held.Fencing
		mo.AfterOrders, err = o.acceptedCount(octx, to)
	}
	// The lease may have been lost since waitPersisted returned it, while the engine's
	// report was awaited.
	if _, ok := o.heldUnder(since); err == nil && (!ok || !time.Now().Before(ordersValidUntil(held).Add(-orderMargin))) {
		err = errLeaseEnded
	}
	if err != nil {
		o.orderSent(to.ID)
		o.finish(key, to.ID, mo.Version, err)
		return
	}
	outcome, err := n.cfg.Upstreams.Order(octx, to, mo)
	o.orderSent(to.ID)
	n.cfg.Logger.Info("order", "upstream", to.ID, "model", mo.Model, "version", mo.Version, "fencing", mo.Fencing, "after_orders", mo.AfterOrders, "outcome", outcome, "err", err)
	switch outcome {
	case weights.OrderAccepted:
		o.setAcceptedCount(to, mo.AfterOrders+1)
		err = o.confirm(ctx, to, mo, started.Add(o.node.orderTimeout()))
		n.cfg.Logger.Info("load", "upstream", to.ID, "model", mo.Model, "version", mo.Version, "took", time.Since(started), "err", err)
	case weights.OrderUnknown:
		o.forgetAcceptedCount(to)
		err = o.confirm(ctx, to, mo, started.Add(o.node.orderTimeout()))
	case weights.OrderFenced:
		err = engine.ErrStaleFencing
	case weights.OrderRefused:
		o.forgetAcceptedCount(to)
	}
	o.finish(key, to.ID, mo.Version, err)
}

// orderTimeout returns the time after an order at which its outcome is considered
// unknown: the entry of an engine shows a load up to one heartbeat later.
func (n *Node) orderTimeout() time.Duration { return loadTimeout + n.cfg.HeartbeatInterval }

var (
	errLeaseEnded  = errors.New("node: lease ended before the call was made")
	errLoadTimeout = errors.New("node: engine did not load the version before the timeout")
	errEngineGone  = errors.New("node: engine is no longer registered")
)

// confirm waits until the engine is seen to hold the version, by its entry or by its
// report.
func (o *orderSender) confirm(ctx context.Context, to upstream.Entry, mo weights.LoadOrder, until time.Time) error {
	started := time.Now()
	nextPoll := started.Add(o.pollDelay())
	for time.Now().Before(until) {
		if now := time.Now(); !now.Before(nextPoll) {
			nextPoll = now.Add(enginePollInterval)
			if o.loaded(ctx, to, mo) {
				o.recordLoadTime(time.Since(started))
				return nil
			}
		}
		switch e, ok := o.node.registry.Entry(to.ID); {
		case !ok:
			return errEngineGone
		case e.Versions[mo.Model] >= mo.Version:
			return nil
		}
		if !clock.Sleep(ctx, confirmInterval) {
			return ctx.Err()
		}
	}
	return errLoadTimeout
}

// pollDelay returns how long after an order its engine is first polled.
func (o *orderSender) pollDelay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shortestLoad == 0 {
		return firstPollDelay
	}
	return time.Duration(pollDelayFactor * float64(o.shortestLoad))
}

func (o *orderSender) recordLoadTime(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.shortestLoad == 0 || took < o.shortestLoad {
		o.shortestLoad = took
	}
}

// loaded reports whether the engine reports that it holds the version.
func (o *orderSender) loaded(ctx context.Context, e upstream.Entry, mo weights.LoadOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	rep, err := o.node.cfg.Upstreams.Report(ctx, e)
	if err != nil {
		o.node.cfg.Logger.Warn("fetching the report of an engine failed; polling again", "upstream", e.ID, "err", err)
		return false
	}
	return rep.Versions[mo.Model] >= mo.Version
}

func (o *orderSender) finish(key, id string, version uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.rollouts[key].Reduce(weights.OrderEnded{Address: id, Version: version, Err: err, At: time.Now()})
	o.rollouts[key] = r
	if errors.Is(err, engine.ErrStaleFencing) && o.held.Fencing != 0 {
		o.replaceHeldLocked(lease.Held{})
		o.node.cfg.Logger.Info("lease lost", "lease", ordersLease, "refused_by", id)
	}
}
