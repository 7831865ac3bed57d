package weights

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// Config holds the limits and times of a Rollout.
type Config struct {
	// MaxLoading is the largest number of the pool's engines that may be loading, and
	// thus unavailable, at once.
	MaxLoading int
	// SendMargin is how long before the lease expires the last order is issued.
	SendMargin time.Duration
	// OrderTimeout is how long to wait for the answer to an order. After it the outcome
	// of the order is unknown.
	OrderTimeout time.Duration
	// RetryDelay is the pause between a failed order and the next one to the same
	// engine.
	RetryDelay time.Duration
	// ReportLag is the largest age of a load report. Reports are ignored for that long
	// after an order has succeeded, as they may be older than the order.
	ReportLag time.Duration
}

// Engine is the state of one engine as known to a Rollout.
type Engine struct {
	Version            uint64    // last reported or loaded; 0 if unknown
	Loading            bool      // as last reported
	OrderDeadline      time.Time // timeout of the outstanding order; zero if there is none
	RetryAt            time.Time // earliest time of the next order
	IgnoreReportsUntil time.Time // load reports before this time are ignored
}

// Rollout is the state of one pool's rollout at the instance that holds the pool's
// lease. It is a value: Reduce returns the next one.
type Rollout struct {
	Config  Config
	Target  uint64 // target version; 0 for none
	Fencing uint64 // fencing token of the lease; 0 if the lease is not held
	// LeaseExpiresAt is the expiry of the lease by this process's clock.
	LeaseExpiresAt time.Time
	Engines        map[string]Engine
}

// Event is an input of Rollout.Reduce.
type Event interface{ isRolloutEvent() }

type (
	// Tick is sent periodically. The Rollout expires orders that got no answer and
	// issues new ones.
	Tick struct{ At time.Time }
	// TargetChanged is sent when the pool's target version has been read. The Rollout
	// takes the version if it is newer than its target.
	TargetChanged struct{ Version uint64 }
	// EnginesChanged is sent with the addresses of the engines that may be ordered. The
	// Rollout drops all others.
	EnginesChanged struct{ Addresses []string }
	// LeaseHeld is sent when the pool's lease has been acquired or renewed. The Rollout
	// may issue orders with the token Fencing until shortly before Until.
	LeaseHeld struct {
		Fencing uint64
		Until   time.Time
	}
	// LeaseLost is sent when the lease is not held. The Rollout issues no orders until
	// the next LeaseHeld.
	LeaseLost struct{}
	// LoadReported is sent with an engine's load report. The Rollout updates the
	// engine's version and whether it is loading.
	LoadReported struct {
		Address string
		Report  engine.LoadReport
		At      time.Time
	}
	// VersionsReported is sent with the versions that engines hold, by address. The
	// Rollout updates these engines and takes them as not loading.
	VersionsReported struct {
		ByAddress map[string]uint64
		At        time.Time
	}
	// OrderEnded is sent when an order has got its answer. Err is nil if the engine
	// loaded Version. The Rollout retries a failed order after Config.RetryDelay.
	OrderEnded struct {
		Address string
		Version uint64
		Err     error
		At      time.Time
	}
)

func (Tick) isRolloutEvent()             {}
func (TargetChanged) isRolloutEvent()    {}
func (EnginesChanged) isRolloutEvent()   {}
func (LeaseHeld) isRolloutEvent()        {}
func (LeaseLost) isRolloutEvent()        {}
func (LoadReported) isRolloutEvent()     {}
func (VersionsReported) isRolloutEvent() {}
func (OrderEnded) isRolloutEvent()       {}

// Order is an effect: the caller orders the engine at Address to load Version. It must
// not be sent at or after NotAfter, since another instance may hold the lease by then.
type Order struct {
	Address  string
	Version  uint64
	Fencing  uint64
	NotAfter time.Time
}

// Reduce returns the state after ev, and the orders that the caller must send.
func (r Rollout) Reduce(ev Event) (Rollout, []Order) {
	switch e := ev.(type) {
	case Tick:
		return r.onTick(e.At)
	case TargetChanged:
		r.Target = max(r.Target, e.Version)
	case EnginesChanged:
		r.Engines = withAddresses(r.Engines, e.Addresses)
	case LeaseHeld:
		r.Fencing, r.LeaseExpiresAt = e.Fencing, e.Until
	case LeaseLost:
		r.Fencing, r.LeaseExpiresAt = 0, time.Time{}
	case LoadReported:
		r = r.onLoadReported(e)
	case VersionsReported:
		r = r.onVersionsReported(e)
	case OrderEnded:
		r = r.onOrderEnded(e)
	}
	return r, nil
}

// Converged reports whether every engine is known to hold the target version and no
// order is outstanding.
func (r Rollout) Converged() bool {
	for _, e := range r.Engines {
		if e.Version != r.Target || !e.OrderDeadline.IsZero() {
			return false
		}
	}
	return true
}

// Idle reports whether no order is outstanding.
func (r Rollout) Idle() bool {
	for _, e := range r.Engines {
		if !e.OrderDeadline.IsZero() {
			return false
		}
	}
	return true
}

// Outdated returns the addresses of the engines that are not known to hold the target
// version, sorted by version and address.
func (r Rollout) Outdated() []string {
	var out []string
	for a, e := range r.Engines {
		if e.Version != r.Target {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if va, vb := r.Engines[a].Version, r.Engines[b].Version; va != vb {
			return int(int64(va) - int64(vb))
		}
		return strings.Compare(a, b)
	})
	return out
}

func (r Rollout) onTick(now time.Time) (Rollout, []Order) {
	r = r.expireOrders(now)
	if r.Target == 0 || r.Fencing == 0 || !now.Add(r.Config.SendMargin).Before(r.LeaseExpiresAt) {
		return r, nil
	}
	free := r.Config.MaxLoading - r.countLoading()
	var orders []Order
	ordered := maps.Clone(r.Engines)
	for _, addr := range r.Outdated() {
		if free <= 0 {
			break
		}
		e := r.Engines[addr]
		if e.Loading || !e.OrderDeadline.IsZero() || now.Before(e.RetryAt) {
			continue
		}
		e.OrderDeadline = now.Add(r.Config.OrderTimeout)
		ordered[addr] = e
		free--
		orders = append(orders, Order{Address: addr, Version: r.Target, Fencing: r.Fencing, NotAfter: r.LeaseExpiresAt.Add(-r.Config.SendMargin / 2)})
	}
	r.Engines = ordered
	return r, orders
}

// expireOrders ends the orders whose answer did not arrive in time. Their outcome is
// unknown until the engine reports its version.
func (r Rollout) expireOrders(now time.Time) Rollout {
	for addr, e := range r.Engines {
		if !e.OrderDeadline.IsZero() && now.After(e.OrderDeadline) {
			e.OrderDeadline, e.RetryAt = time.Time{}, now.Add(r.Config.RetryDelay)
			r = r.withEngine(addr, e)
		}
	}
	return r
}

// countLoading returns the number of engines that are loading or have an outstanding
// order.
func (r Rollout) countLoading() int {
	n := 0
	for _, e := range r.Engines {
		if e.Loading || !e.OrderDeadline.IsZero() {
			n++
		}
	}
	return n
}

func (r Rollout) onLoadReported(ev LoadReported) Rollout {
	e, ok := r.Engines[ev.Address]
	if !ok || ev.At.Before(e.IgnoreReportsUntil) {
		return r
	}
	if e.Version == ev.Report.WeightVersion && e.Loading == ev.Report.Loading {
		return r
	}
	e.Version, e.Loading = ev.Report.WeightVersion, ev.Report.Loading
	return r.withEngine(ev.Address, e)
}

// onVersionsReported updates many engines with one copy of the map: a copy for each
// engine made the cost quadratic in the size of the pool.
func (r Rollout) onVersionsReported(ev VersionsReported) Rollout {
	engines := maps.Clone(r.Engines)
	for addr, v := range ev.ByAddress {
		e, ok := engines[addr]
		if !ok || ev.At.Before(e.IgnoreReportsUntil) {
			continue
		}
		e.Version, e.Loading = v, false
		engines[addr] = e
	}
	r.Engines = engines
	return r
}

func (r Rollout) onOrderEnded(ev OrderEnded) Rollout {
	e, ok := r.Engines[ev.Address]
	if !ok {
		return r
	}
	e.OrderDeadline = time.Time{}
	switch {
	case ev.Err == nil:
		e.Version, e.Loading, e.IgnoreReportsUntil = ev.Version, false, ev.At.Add(r.Config.ReportLag)
	case errors.Is(ev.Err, engine.ErrStaleFencing):
		// The engine has seen a newer fencing token: another instance holds the lease.
		r.Fencing, r.LeaseExpiresAt = 0, time.Time{}
		e.RetryAt = ev.At.Add(r.Config.RetryDelay)
	default:
		e.RetryAt = ev.At.Add(r.Config.RetryDelay)
	}
	return r.withEngine(ev.Address, e)
}

func (r Rollout) withEngine(addr string, e Engine) Rollout {
	r.Engines = maps.Clone(r.Engines)
	r.Engines[addr] = e
	return r
}

// withAddresses returns an engine for each address, with the state of known if it has one.
func withAddresses(known map[string]Engine, addresses []string) map[string]Engine {
	next := make(map[string]Engine, len(addresses))
	for _, a := range addresses {
		next[a] = known[a]
	}
	return next
}
