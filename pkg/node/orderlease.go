package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
)

// run acquires and renews the lease while this instance is one of the candidates, until
// ctx is done.
func (o *orderSender) run(ctx context.Context) error {
	n := o.node
	manager := &lease.Manager{Table: n.cfg.Store, Clock: clock.System{}, Name: ordersLease, Holder: n.cfg.Name, TTL: orderWindow + takeoverDelay, TakeUnreadable: true}
	for ctx.Err() == nil {
		if n.draining.Load() && o.current().Fencing != 0 {
			o.release(ctx, manager)
		}
		if o.isCandidate() {
			o.acquireOrRenew(ctx, manager)
		}
		o.wake.Wait(ctx, leaseRenewInterval)
	}
	return nil
}

// acquireOrRenew acquires or renews the lease. The row of the lease holds the ledger:
// this instance inherits the ledger of earlier holders when it acquires the lease, and
// stores its own when it renews.
func (o *orderSender) acquireOrRenew(ctx context.Context, manager *lease.Manager) {
	n := o.node
	tctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	if o.current().Fencing != 0 {
		o.renew(tctx, manager)
		return
	}
	held, err := manager.Acquire(tctx, nil) // the data of the row is kept
	switch {
	case errors.Is(err, lease.ErrHeld):
		return
	case err != nil:
		n.cfg.Logger.Debug("acquiring the lease failed; retrying", "lease", ordersLease, "err", err)
		return
	}
	o.acquired(held)
	n.cfg.Logger.Info("lease taken", "lease", ordersLease, "fencing", held.Fencing, "left_alone", string(held.Data))
}

// renew renews the lease with this instance's ledger.
func (o *orderSender) renew(ctx context.Context, manager *lease.Manager) {
	n := o.node
	ids, data, err := o.encodeLedger(time.Now())
	if err != nil {
		n.cfg.Logger.Error("encoding the ledger of orders failed; lease not renewed", "err", err)
		return
	}
	held, err := manager.Renew(ctx, data)
	switch {
	case err == nil:
		o.renewed(held, ids)
	case errors.Is(err, lease.ErrHeld):
		o.replaceHeld(lease.Held{})
		n.cfg.Logger.Info("lease lost", "lease", ordersLease)
	default:
		n.cfg.Logger.Debug("renewing the lease failed; retrying", "lease", ordersLease, "err", err)
	}
}

// encodeLedger returns the engines that are in the ledger at now, and their encoding.
func (o *orderSender) encodeLedger(now time.Time) ([]string, json.RawMessage, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.encode(now)
}

// acquired starts holding a lease that another instance, or none, held before.
func (o *orderSender) acquired(h lease.Held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	until := time.Now().Add(o.node.cfg.MinHolderInterval)
	if err := o.ledger.inherit(h.Data, until); err != nil {
		o.node.cfg.Logger.Error("malformed ledger of orders; no engine is ordered for a time", "until", until, "err", err)
	}
	o.replaceHeldLocked(h)
}

// renewed records that the row of the lease holds the given engines.
func (o *orderSender) renewed(h lease.Held, ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replaceHeldLocked(h)
	for _, id := range ids {
		o.persisted[id] = true
	}
}

// replaceHeld replaces the lease that is held. The zero Held means that none is held
// any more.
func (o *orderSender) replaceHeld(h lease.Held) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replaceHeldLocked(h)
}

// replaceHeldLocked is replaceHeld with o.mu held. It wakes the callers of
// waitPersisted, which check again.
func (o *orderSender) replaceHeldLocked(h lease.Held) {
	if o.held.Fencing == 0 || h.Fencing == 0 {
		o.heldAt = time.Time{}
		if h.Fencing != 0 {
			o.heldAt = time.Now()
		}
		o.node.duties.wake.Signal()
	}
	o.held = h
	o.persisted = map[string]bool{}
	close(o.rowWritten)
	o.rowWritten = make(chan struct{})
}

// waitPersisted waits until the ledger stored in the row of the lease holds an engine,
// which must precede an order to it. It returns the lease as last renewed, under which
// the order is sent.
func (o *orderSender) waitPersisted(ctx context.Context, id string) (lease.Held, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.persisted[id] {
		if o.held.Fencing == 0 {
			return lease.Held{}, errLeaseEnded
		}
		rowWritten := o.rowWritten
		o.mu.Unlock()
		o.wake.Signal() // a renewal in flight may not include the engine
		select {
		case <-rowWritten:
		case <-ctx.Done():
		}
		o.mu.Lock()
		if err := ctx.Err(); err != nil {
			return lease.Held{}, err
		}
	}
	return o.held, nil
}

// ordersValidUntil returns the time until which orders may be sent under a lease. Other
// instances acquire it at the earliest takeoverDelay later.
func ordersValidUntil(h lease.Held) time.Time { return h.ValidUntil.Add(-takeoverDelay) }

// release releases the lease, so that another instance can order engines before it
// would expire. The next holder does not order the engines in the ledger for
// Config.MinHolderInterval.
func (o *orderSender) release(ctx context.Context, manager *lease.Manager) {
	n := o.node
	o.replaceHeld(lease.Held{})
	for !o.idle() {
		if !clock.Sleep(ctx, confirmInterval) {
			return // the lease expires
		}
	}
	err := manager.Release(ctx)
	n.cfg.Logger.Info("lease released", "lease", ordersLease, "err", err)
}

// idle reports whether no order is about to be sent.
func (o *orderSender) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.idle()
}

// orderSent records that an order was sent, or will not be.
func (o *orderSender) orderSent(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.end(id, time.Now().Add(o.node.cfg.MinHolderInterval))
}

// heldSince returns when the held lease was acquired, zero if none is held.
func (o *orderSender) heldSince() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.heldAt
}

// heldUnder returns the lease as last renewed, if it is the one acquired at since and calls
// may still be made under it.
func (o *orderSender) heldUnder(since time.Time) (h lease.Held, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ok = o.held.Fencing != 0 && o.heldAt.Equal(since) && time.Now().Before(ordersValidUntil(o.held).Add(-orderMargin))
	return o.held, ok
}

// loseLease drops the lease with the given fencing token after another holder was
// detected, unless the lease has been acquired again since.
func (o *orderSender) loseLease(fencing uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held.Fencing == fencing {
		o.replaceHeldLocked(lease.Held{})
	}
}

func (o *orderSender) current() lease.Held {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.held
}

// isCandidate reports whether this instance tries to acquire or renew the lease. Only a
// few instances do, to limit the load of the store.
func (o *orderSender) isCandidate() bool {
	n := o.node
	if !n.Ready() {
		return false
	}
	if o.current().Fencing != 0 {
		return true
	}
	st := n.ranking.Load()
	return st != nil && st.ordersCandidate()
}
