package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const (
	// ordersLease is the lease of the one instance that orders engines.
	ordersLease = "leases//orders"
	// orderRenewal is how often the lease is renewed, or asked for.
	orderRenewal = time.Second
	// orderCandidates is how many instances ask for the lease.
	orderCandidates = 3
	// orderMargin is how long before the end of its time no order is sent.
	orderMargin = 300 * time.Millisecond
	// orderTimeout is how long a load may take before its outcome is unknown: a
	// load takes about a second, and the engine's entry tells it up to 1.2 s later.
	orderTimeout = 4 * time.Second
	// orderCall bounds one call of an engine.
	orderCall = 800 * time.Millisecond
	// orderPause is the pause before an engine that did not take an order is
	// ordered again.
	orderPause = 250 * time.Millisecond
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
	rollouts map[string]weights.Rollout // by pool and model
	accepted map[string]acceptedOrders  // by engine ID
	last     planOrders
}

// acceptedOrders counts the orders that one start of an engine has accepted.
type acceptedOrders struct {
	born  int64
	count uint64
}

func newOrderSender(n *Node) *orderSender {
	return &orderSender{node: n, rollouts: map[string]weights.Rollout{}, accepted: map[string]acceptedOrders{}}
}

// keep takes and renews the lease while this instance is one of the candidates.
// Its row lives for twice the time within which holders must not alternate, and
// orders are given in the first half of that only.
func (o *orderSender) keep(ctx context.Context) error {
	n := o.node
	keeper := &lease.Keeper{Table: n.cfg.Store, Clock: clock.System{}, Name: ordersLease, Holder: n.cfg.Name, TTL: 2*n.cfg.LeaseTime + time.Second}
	for ctx.Err() == nil {
		if o.candidate() {
			before := o.current().Fencing
			held, err := keeper.Take(ctx, nil)
			switch {
			case err == nil:
				o.set(held)
				if before == 0 {
					n.cfg.Logger.Info("lease taken", "lease", ordersLease, "fencing", held.Fencing)
				}
			case errors.Is(err, lease.ErrHeld) && before != 0:
				o.set(lease.Held{})
				n.cfg.Logger.Info("lease lost", "lease", ordersLease)
			}
		}
		sleepFor(ctx, orderRenewal)
	}
	return nil
}

func (o *orderSender) current() lease.Held {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held
}

func (o *orderSender) set(h lease.Held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = h
}

// candidate reports whether this instance asks for the lease: a few do, so that
// the store is not asked by all.
func (o *orderSender) candidate() bool {
	n := o.node
	if !n.Ready() {
		return false
	}
	if o.current().Fencing != 0 {
		return true
	}
	live := n.people.Load()
	if live == nil {
		return false
	}
	ranked := route.Rank(*live, func(m membership.Member) string { return m.Name }, ordersLease)
	for _, m := range ranked[:min(len(ranked), orderCandidates)] {
		if m.Name == n.cfg.Name {
			return true
		}
	}
	return false
}

// plan gives the orders that are due.
func (o *orderSender) plan(p planOrders) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.node.table.Load()
	if t == nil || o.held.Fencing == 0 {
		return
	}
	until := o.held.ValidUntil.Add(-o.node.cfg.LeaseTime - time.Second/2)
	for _, pool := range t.Pools {
		entries := o.node.registry.Entries(pool.Name)
		for _, model := range pool.Models {
			if named := p.named[model]; named > 0 {
				o.planModel(p, entries, pool.Name, model, named, until)
			}
		}
	}
}

func (o *orderSender) planModel(p planOrders, entries []upstream.Entry, pool, model string, named uint64, until time.Time) {
	held := map[string]uint64{}
	byID := map[string]upstream.Entry{}
	for _, e := range entries {
		if v, ok := e.Versions[model]; ok && !e.Draining {
			held[e.ID] = v
			byID[e.ID] = e
		}
	}
	key := pool + "/" + model
	r, ok := o.rollouts[key]
	if !ok {
		r = weights.Rollout{Config: weights.Config{SendMargin: orderMargin, OrderTimeout: orderTimeout, RetryDelay: orderPause}}
	}
	r.Config.MaxLoading = max(minLoading, int(loadingShare*float64(len(held))+0.5))
	ids := weights.Stagger(held, named, p.lag[model])
	for id, e := range r.Engines {
		if _, there := held[id]; there && (!e.OrderEndsAt.IsZero() || p.at.Before(e.RetryAt)) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	r, _ = r.Reduce(weights.Pool{Addresses: ids})
	r, _ = r.Reduce(weights.Named{Version: named})
	r, _ = r.Reduce(weights.Held{Fencing: o.held.Fencing, Until: until})
	for _, id := range ids {
		r, _ = r.Reduce(weights.Reported{Address: id, Report: engine.LoadReport{WeightVersion: held[id]}, At: p.at})
	}
	r, orders := r.Reduce(weights.Tick{At: p.at})
	o.rollouts[key] = r
	for _, ord := range orders {
		e := byID[ord.Address]
		mo := weights.ModelOrder{Model: model, Version: ord.Version, Holder: o.node.cfg.Name, Fencing: ord.Fencing}
		o.node.group.Go(func() error {
			o.send(key, e, mo, ord.NotAfter)
			return nil
		})
	}
}

// count returns how many orders e has accepted: as counted here, or as e tells.
func (o *orderSender) count(ctx context.Context, e upstream.Entry) (uint64, error) {
	o.mu.Lock()
	a, ok := o.accepted[e.ID]
	o.mu.Unlock()
	if ok && a.born == e.Born {
		return a.count, nil
	}
	rep, err := o.node.cfg.Engines.Report(ctx, e)
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

// send gives one order and waits until the engine has carried it out.
func (o *orderSender) send(key string, to upstream.Entry, mo weights.ModelOrder, notAfter time.Time) {
	n := o.node
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), orderCall)
	defer cancel()
	var err error
	if mo.AfterOrders, err = o.count(ctx, to); err == nil && !time.Now().Before(notAfter) {
		err = errTooLate
	}
	if err != nil {
		o.ordered(key, to.ID, mo.Version, err)
		return
	}
	outcome, err := n.cfg.Engines.Order(ctx, to, mo)
	n.cfg.Logger.Info("order", "upstream", to.ID, "model", mo.Model, "version", mo.Version, "fencing", mo.Fencing, "after_orders", mo.AfterOrders, "outcome", outcome, "err", err)
	switch outcome {
	case weights.OrderAccepted:
		o.setCount(to, mo.AfterOrders+1)
		err = o.confirm(to, mo, begun.Add(orderTimeout))
	case weights.OrderUnknown:
		o.forget(to)
		err = o.confirm(to, mo, begun.Add(orderTimeout))
	case weights.OrderFenced:
		err = engine.ErrStaleFencing
	case weights.OrderRefused:
		o.forget(to)
	}
	o.ordered(key, to.ID, mo.Version, err)
}

var (
	errTooLate    = errors.New("node: the lease ended before the order was sent")
	errNotLoaded  = errors.New("node: the engine has not loaded in time")
	errEngineAway = errors.New("node: the engine is gone")
)

// confirm waits until the engine is seen to hold the version.
func (o *orderSender) confirm(to upstream.Entry, mo weights.ModelOrder, until time.Time) error {
	for time.Now().Before(until) {
		found := false
		for _, e := range o.node.registry.Entries(to.Pool) {
			if e.ID != to.ID {
				continue
			}
			found = true
			if e.Versions[mo.Model] >= mo.Version {
				return nil
			}
		}
		if !found {
			return errEngineAway
		}
		time.Sleep(confirmPeriod)
	}
	return errNotLoaded
}

func (o *orderSender) ordered(key, id string, version uint64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.rollouts[key].Reduce(weights.Ordered{Address: id, Version: version, Err: err, At: time.Now()})
	o.rollouts[key] = r
	if errors.Is(err, engine.ErrStaleFencing) {
		o.held = lease.Held{}
	}
}

func sleepFor(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
