package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
)

// keep takes and renews the lease while this instance is one of the candidates.
func (o *orderSender) keep(ctx context.Context) error {
	n := o.node
	keeper := &lease.Manager{Table: n.cfg.Store, Clock: clock.System{}, Name: ordersLease, Holder: n.cfg.Name, TTL: orderTime + takeoverSlack}
	for ctx.Err() == nil {
		if n.draining.Load() && o.current().Fencing != 0 {
			o.giveUp(ctx, keeper)
		}
		if o.candidate() {
			o.take(ctx, keeper)
		}
		o.wake.Wait(ctx, orderRenewal)
	}
	return nil
}

// take takes or renews the lease. With it goes the ledger: what the holders before
// left of it is taken up, and replaced by this instance's own when it renews.
func (o *orderSender) take(ctx context.Context, keeper *lease.Manager) {
	n := o.node
	tctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	if o.current().Fencing != 0 {
		o.renew(tctx, keeper)
		return
	}
	held, err := keeper.Acquire(tctx, nil) // what the row holds stays in it
	switch {
	case errors.Is(err, lease.ErrHeld):
		return
	case err != nil:
		n.cfg.Logger.Debug("lease not taken", "lease", ordersLease, "err", err)
		return
	}
	o.begin(held)
	n.cfg.Logger.Info("lease taken", "lease", ordersLease, "fencing", held.Fencing, "left_alone", string(held.Data))
}

// renew renews the lease with this instance's ledger.
func (o *orderSender) renew(ctx context.Context, keeper *lease.Manager) {
	n := o.node
	ids, data, err := o.encodeLedger(time.Now())
	if err != nil {
		n.cfg.Logger.Error("ledger of orders", "err", err)
		return
	}
	held, err := keeper.Renew(ctx, data)
	switch {
	case err == nil:
		o.renewed(held, ids)
	case errors.Is(err, lease.ErrHeld):
		o.set(lease.Held{})
		n.cfg.Logger.Info("lease lost", "lease", ordersLease)
	default:
		n.cfg.Logger.Debug("lease not renewed", "lease", ordersLease, "err", err)
	}
}

// encodeLedger returns the engines in the ledger at now, and as they stand in the row.
func (o *orderSender) encodeLedger(now time.Time) ([]string, json.RawMessage, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := o.ledger.entries(now)
	data, err := json.Marshal(ids)
	return ids, data, err
}

// begin takes up a lease that another had before, or nobody.
func (o *orderSender) begin(h lease.Held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.ledger.inherit(h.Data, time.Now().Add(o.node.cfg.MinHolderInterval)); err != nil {
		o.node.cfg.Logger.Error("ledger of orders", "err", err)
	}
	o.setHeld(h)
}

// renewed tells that the row of the lease holds the engines given.
func (o *orderSender) renewed(h lease.Held, ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setHeld(h)
	for _, id := range ids {
		o.written[id] = true
	}
}

// set takes up a lease, zero for none.
func (o *orderSender) set(h lease.Held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setHeld(h)
}

// setHeld is set with o.mu held. Those that wait for the ledger to be written look
// again.
func (o *orderSender) setHeld(h lease.Held) {
	if o.held.Fencing == 0 || h.Fencing == 0 {
		o.since = time.Time{}
		if h.Fencing != 0 {
			o.since = time.Now()
		}
		o.node.duties.wake.Signal()
	}
	o.held = h
	o.written = map[string]bool{}
	close(o.wrote)
	o.wrote = make(chan struct{})
}

// enter has the ledger in the lease's row hold an engine before it is ordered. It
// returns the lease as last renewed, under which the order is given.
func (o *orderSender) enter(ctx context.Context, id string) (lease.Held, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.written[id] {
		if o.held.Fencing == 0 {
			return lease.Held{}, errTooLate
		}
		wrote := o.wrote
		o.mu.Unlock()
		o.wake.Signal() // a renewal that is under way may be without the engine
		select {
		case <-wrote:
		case <-ctx.Done():
		}
		o.mu.Lock()
		if err := ctx.Err(); err != nil {
			return lease.Held{}, err
		}
	}
	return o.held, nil
}

// orderUntil returns until when orders may be given under a lease: others take it
// takeoverSlack later at the earliest.
func orderUntil(h lease.Held) time.Time { return h.ValidUntil.Add(-takeoverSlack) }

// giveUp gives the lease up, so that another instance orders engines before it would
// lapse. The next holder leaves the engines that are in the ledger alone.
func (o *orderSender) giveUp(ctx context.Context, keeper *lease.Manager) {
	n := o.node
	o.set(lease.Held{})
	for !o.idle() {
		if !clock.Sleep(ctx, confirmPeriod) {
			return // it lapses
		}
	}
	err := keeper.Release(ctx)
	n.cfg.Logger.Info("lease given up", "lease", ordersLease, "err", err)
}

// idle reports whether no order is about to be sent.
func (o *orderSender) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.idle()
}

// sent tells that an order has been sent, or will not be.
func (o *orderSender) sent(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.end(id, time.Now().Add(o.node.cfg.MinHolderInterval))
}

// heldSince returns when the lease that is held was taken, zero if none is.
func (o *orderSender) heldSince() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since
}

// lose gives the lease up that had a fencing token when another holder was met, unless
// it was taken anew since.
func (o *orderSender) lose(fencing uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held.Fencing == fencing {
		o.setHeld(lease.Held{})
	}
}

func (o *orderSender) current() lease.Held {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held
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
	st := n.standing.Load()
	return st != nil && st.orders()
}
