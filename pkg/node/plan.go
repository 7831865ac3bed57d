package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// plan sends the orders that are due. The goroutines that it starts end when ctx is
// done.
func (o *orderSender) plan(ctx context.Context, p planOrders) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.node.table.Load()
	if t == nil || o.held.Fencing == 0 {
		return
	}
	validUntil := ordersValidUntil(o.held)
	for _, pool := range t.Pools {
		if len(pool.Models) > 0 {
			o.planPool(ctx, p, pool, validUntil, !t.SingleVersion())
		}
	}
}

// planPool sends the orders that are due in one pool, of whose engines a limited number
// may load at once. until is the time until which orders may be sent under the lease.
// continueRunning is the value of LoadOrder.Continue in the orders.
func (o *orderSender) planPool(ctx context.Context, p planOrders, pool routetable.Pool, until time.Time, continueRunning bool) {
	assigned := o.node.assignPool(pool, p.demands)
	budget := max(minLoading, int(loadingShare*float64(len(assigned.ids))+0.5))
	held := func(d weights.Demand) map[string]uint64 {
		out := map[string]uint64{}
		for _, id := range assigned.byModel[d.Model] {
			if e, ok := o.node.registry.Entry(id); ok {
				out[id] = e.Versions[d.Model]
			}
		}
		return out
	}
	for _, d := range weights.SortByUrgency(assigned.demands, held) {
		held := held(d)
		key := pool.Name + "/" + d.Model
		orders := o.reduce(key, d, held, budget-o.loading(pool.Name, key), len(assigned.ids)/len(assigned.demands), p.at, until)
		for _, ord := range orders {
			e, ok := o.node.registry.Entry(ord.Address)
			if !ok {
				continue // the engine has gone since; its order times out
			}
			// The fencing token is set when the order is sent: it is that of the row
			// that holds the engine's ledger entry.
			mo := weights.LoadOrder{Model: d.Model, Version: ord.Version, Holder: o.node.cfg.Name, Continue: continueRunning}
			o.ledger.begin(e.ID)
			o.node.group.Go(func() error {
				o.send(ctx, key, e, mo)
				return nil
			})
		}
	}
}

// poolDemands returns the demands for the models of a pool. While the work of no model
// is known, all models get equal work. If the capacity of all pools is contended, the work
// of more urgent models is weighted. All instances must compute the same, so this does not
// depend on upstream.Registry.Contended, which each instance learns at another time.
func poolDemands(pool routetable.Pool, demands []weights.Demand, contended bool) []weights.Demand {
	var out []weights.Demand
	known := false
	for _, m := range slices.Sorted(slices.Values(pool.Models)) {
		i := slices.IndexFunc(demands, func(d weights.Demand) bool { return d.Model == m })
		d := weights.Demand{Model: m}
		if i >= 0 {
			d = demands[i]
		}
		if pool.Slots > 0 {
			d.MaxEngines = (d.MaxItems + pool.Slots - 1) / pool.Slots
		}
		known = known || d.Work > 0
		out = append(out, d)
	}
	for i := range out {
		if !known {
			out[i].Work = 1
		}
	}
	if contended {
		weights.WeightByUrgency(out)
	}
	return out
}

// loading returns how many engines of a pool are loading, or may be, for models other
// than that of key.
func (o *orderSender) loading(pool, key string) int {
	n := 0
	for k, r := range o.rollouts {
		if k == key || !strings.HasPrefix(k, pool+"/") {
			continue
		}
		for _, e := range r.Engines {
			if !e.OrderDeadline.IsZero() {
				n++
			}
		}
	}
	return n
}

// reduce updates the rollout of one model and returns its orders.
func (o *orderSender) reduce(key string, d weights.Demand, held map[string]uint64, budget, free int, at, until time.Time) []weights.Order {
	r, ok := o.rollouts[key]
	if !ok {
		r = weights.Rollout{Config: weights.Config{SendMargin: orderMargin, OrderTimeout: o.node.orderTimeout(), RetryDelay: orderRetryDelay}}
	}
	r.Config.MaxLoading = budget
	if o.orderCounts[key].version != d.TargetVersion {
		o.orderCounts[key] = orderCount{version: d.TargetVersion}
	}
	ids := weights.EnginesToLoad(held, d, free-o.orderCounts[key].orders)
	for id, e := range r.Engines {
		if _, inPool := held[id]; inPool && (!e.OrderDeadline.IsZero() || at.Before(e.RetryAt)) && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	ids = slices.DeleteFunc(ids, func(id string) bool { return !o.ledger.mayOrder(id, at) })
	r, _ = r.Reduce(weights.EnginesChanged{Addresses: ids})
	r, _ = r.Reduce(weights.TargetChanged{Version: d.TargetVersion})
	r, _ = r.Reduce(weights.LeaseHeld{Fencing: o.held.Fencing, Until: until})
	r, _ = r.Reduce(weights.VersionsReported{ByAddress: held, At: at})
	r, orders := r.Reduce(weights.Tick{At: at})
	o.rollouts[key] = r
	o.orderCounts[key] = orderCount{version: d.TargetVersion, orders: o.orderCounts[key].orders + len(orders)}
	return orders
}
