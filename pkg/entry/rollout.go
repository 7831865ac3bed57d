package entry

import (
	"context"
	"errors"

	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const rolloutLeasePrefix = "lease/rollout/"

// errLeaseExpired is the result of an order that was not sent in time: the lease that it
// was given under may have expired, for example while this process was paused.
var errLeaseExpired = errors.New("rollout lease expired before the load order was sent")

// rolloutLease returns the manager of pool's rollout lease. The control loop never uses one
// manager concurrently.
func (in *Instance) rolloutLease(pool string) *lease.Manager {
	k, ok := in.rolloutLeases.Load(pool)
	if !ok {
		k, _ = in.rolloutLeases.LoadOrStore(pool, &lease.Manager{Table: in.cfg.Platform, Clock: in.cfg.Clock,
			Name: rolloutLeasePrefix + pool, Holder: in.cfg.ID + "/" + in.processID, TTL: in.cfg.RolloutLeaseTTL})
	}
	return k.(*lease.Manager)
}

// sendOrder sends one load order, unless the lease that it was given under has expired.
func (in *Instance) sendOrder(ctx context.Context, e control.SendOrder) control.Event {
	o := e.Order
	err := errLeaseExpired
	if in.cfg.Clock.Now().Before(o.NotAfter) {
		in.stats.orders.Inc(1)
		err = engine.NewClient(o.Address, in.http).Load(ctx, engine.LoadOrder{Version: o.Version, Fencing: o.Fencing})
	}
	if err != nil {
		in.stats.orderErrors.Inc(1)
	}
	return control.OrderEnded{Pool: e.Pool, Ordered: weights.OrderEnded{Address: o.Address, Version: o.Version, Err: err, At: in.cfg.Clock.Now()}}
}
