package node

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
)

// keep takes and renews the lease while this instance is one of the candidates.
func (o *orderSender) keep(ctx context.Context) error {
	n := o.node
	keeper := &lease.Keeper{Table: n.cfg.Store, Clock: clock.System{}, Name: ordersLease, Holder: n.cfg.Name, TTL: orderTime + n.cfg.LeaseTime + orderMargin}
	for ctx.Err() == nil {
		if n.draining.Load() && o.current().Fencing != 0 {
			o.giveUp(ctx, keeper)
		}
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
		clock.Sleep(ctx, orderRenewal)
	}
	return nil
}

// giveUp gives the lease up, so that another instance orders engines before it
// would lapse: as soon as holders may alternate, after the last order sent here.
func (o *orderSender) giveUp(ctx context.Context, keeper *lease.Keeper) {
	n := o.node
	o.set(lease.Held{})
	for !o.free(time.Now()) {
		if !clock.Sleep(ctx, confirmPeriod) {
			return // it lapses
		}
	}
	err := keeper.Release(ctx)
	n.cfg.Logger.Info("lease given up", "lease", ordersLease, "err", err)
}

// free reports whether another instance may give orders at now: none is about to
// be sent here, and the last one is long enough ago.
func (o *orderSender) free(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sending == 0 && now.After(o.lastSent.Add(o.node.cfg.LeaseTime))
}

// sent tells that an order has been sent, or will not be.
func (o *orderSender) sent() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending--
	o.lastSent = time.Now()
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
	st := n.standing.Load()
	return st != nil && st.orders
}
