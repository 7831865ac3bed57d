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

// errLeaseOver ends an order that came to be sent only when the lease it
// was given under may have passed on, as after a pause of this process.
var errLeaseOver = errors.New("rollout lease over before the order was sent")

// keeper returns the Keeper of pool's rollout lease. The control goroutine
// lets one use of it run at a time.
func (in *Instance) keeper(pool string) *lease.Manager {
	k, ok := in.keepers.Load(pool)
	if !ok {
		k, _ = in.keepers.LoadOrStore(pool, &lease.Manager{Table: in.cfg.Platform, Clock: in.cfg.Clock,
			Name: rolloutLeasePrefix + pool, Holder: in.cfg.ID + "/" + in.life, TTL: in.cfg.RolloutLeaseTTL})
	}
	return k.(*lease.Manager)
}

// order sends one load order, unless the lease it was given under is over.
func (in *Instance) order(ctx context.Context, e control.SendOrder) control.Event {
	o := e.Order
	err := errLeaseOver
	if in.cfg.Clock.Now().Before(o.NotAfter) {
		in.stats.orders.Inc(1)
		err = engine.NewClient(o.Address, in.http).Load(ctx, engine.LoadOrder{Version: o.Version, Fencing: o.Fencing})
	}
	if err != nil {
		in.stats.orderErrors.Inc(1)
	}
	return control.OrderEnded{Pool: e.Pool, Ordered: weights.OrderEnded{Address: o.Address, Version: o.Version, Err: err, At: in.cfg.Clock.Now()}}
}
