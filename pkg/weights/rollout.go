package weights

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// Config bounds a Rollout.
type Config struct {
	// MaxLoading is how many engines of the pool may be loading at once,
	// and so unavailable: the pool's unavailable budget.
	MaxLoading int
	// SendMargin is how long before the lease lapses orders stop.
	SendMargin time.Duration
	// OrderTimeout is how long one order may take before its outcome is
	// unknown.
	OrderTimeout time.Duration
	// RetryDelay is the pause before an engine whose order failed is
	// ordered again.
	RetryDelay time.Duration
	// ReportLag is how far load reports may lag: reports are not believed
	// for that long after an order.
	ReportLag time.Duration
}

// Engine is what a Rollout knows of one engine.
type Engine struct {
	Version            uint64    // as last reported or ordered; 0 if not known
	Loading            bool      // the engine says it is loading
	OrderDeadline      time.Time // an order is outstanding until then; zero if none
	RetryAt            time.Time // not ordered again before then
	IgnoreReportsUntil time.Time // load reports are believed again from then
}

// Rollout is the state of one pool's rollout at the instance that holds its
// lease. It is a value: Reduce returns the next one.
type Rollout struct {
	Config  Config
	Target  uint64 // version to load; 0 while none is named
	Fencing uint64 // fencing number of the lease held; 0 if none is
	// LeaseExpiresAt is when the lease lapses by this process's clock.
	LeaseExpiresAt time.Time
	Engines        map[string]Engine
}

// Event is something a Rollout is told.
type Event interface{ isRolloutEvent() }

type (
	// Tick tells the time.
	Tick struct{ At time.Time }
	// TargetChanged tells the version named for the pool.
	TargetChanged struct{ Version uint64 }
	// EnginesChanged tells the addresses of the engines that may be ordered.
	EnginesChanged struct{ Addresses []string }
	// LeaseHeld tells that the pool's lease is held until Until under Fencing.
	LeaseHeld struct {
		Fencing uint64
		Until   time.Time
	}
	// LeaseLost tells that the lease is not held.
	LeaseLost struct{}
	// LoadReported tells an engine's load report.
	LoadReported struct {
		Address string
		Report  engine.LoadReport
		At      time.Time
	}
	// VersionsReported tells the versions that engines hold, by address.
	VersionsReported struct {
		ByAddress map[string]uint64
		At        time.Time
	}
	// OrderEnded tells how an order ended: Err is nil if the engine loaded
	// Version.
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

// Order is an effect: order the engine at Address to load Version. It must
// not be sent at or after NotAfter, when the lease may have passed on.
type Order struct {
	Address  string
	Version  uint64
	Fencing  uint64
	NotAfter time.Time
}

// Reduce returns r after ev, and the orders to send.
func (r Rollout) Reduce(ev Event) (Rollout, []Order) {
	switch e := ev.(type) {
	case Tick:
		return r.onTick(e.At)
	case TargetChanged:
		r.Target = max(r.Target, e.Version)
	case EnginesChanged:
		r.Engines = keep(r.Engines, e.Addresses)
	case LeaseHeld:
		r.Fencing, r.LeaseExpiresAt = e.Fencing, e.Until
	case LeaseLost:
		r.Fencing, r.LeaseExpiresAt = 0, time.Time{}
	case LoadReported:
		r = r.onReported(e)
	case VersionsReported:
		r = r.onVersions(e)
	case OrderEnded:
		r = r.onOrdered(e)
	}
	return r, nil
}

// Converged reports whether every engine is known to hold the target.
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

// Outdated returns the addresses of the engines not known to hold the target,
// the oldest version first.
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
	r = r.expire(now)
	if r.Target == 0 || r.Fencing == 0 || !now.Add(r.Config.SendMargin).Before(r.LeaseExpiresAt) {
		return r, nil
	}
	free := r.Config.MaxLoading - r.loading()
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

// expire ends orders that got no answer in time: their outcome is unknown
// until the engine reports.
func (r Rollout) expire(now time.Time) Rollout {
	for addr, e := range r.Engines {
		if !e.OrderDeadline.IsZero() && now.After(e.OrderDeadline) {
			e.OrderDeadline, e.RetryAt = time.Time{}, now.Add(r.Config.RetryDelay)
			r = r.with(addr, e)
		}
	}
	return r
}

// loading counts the engines that are, or may be, loading.
func (r Rollout) loading() int {
	n := 0
	for _, e := range r.Engines {
		if e.Loading || !e.OrderDeadline.IsZero() {
			n++
		}
	}
	return n
}

func (r Rollout) onReported(ev LoadReported) Rollout {
	e, ok := r.Engines[ev.Address]
	if !ok || ev.At.Before(e.IgnoreReportsUntil) {
		return r
	}
	if e.Version == ev.Report.WeightVersion && e.Loading == ev.Report.Loading {
		return r
	}
	e.Version, e.Loading = ev.Report.WeightVersion, ev.Report.Loading
	return r.with(ev.Address, e)
}

// onVersions takes the versions of many engines at once: one copy of the engines
// for a whole pool, where a copy for each engine took the square of their number.
func (r Rollout) onVersions(ev VersionsReported) Rollout {
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

func (r Rollout) onOrdered(ev OrderEnded) Rollout {
	e, ok := r.Engines[ev.Address]
	if !ok {
		return r
	}
	e.OrderDeadline = time.Time{}
	switch {
	case ev.Err == nil:
		e.Version, e.Loading, e.IgnoreReportsUntil = ev.Version, false, ev.At.Add(r.Config.ReportLag)
	case errors.Is(ev.Err, engine.ErrStaleFencing):
		// A later holder has ordered this engine: the lease is gone.
		r.Fencing, r.LeaseExpiresAt = 0, time.Time{}
		e.RetryAt = ev.At.Add(r.Config.RetryDelay)
	default:
		e.RetryAt = ev.At.Add(r.Config.RetryDelay)
	}
	return r.with(ev.Address, e)
}

func (r Rollout) with(addr string, e Engine) Rollout {
	r.Engines = maps.Clone(r.Engines)
	r.Engines[addr] = e
	return r
}

// keep returns known with exactly the addresses given.
func keep(known map[string]Engine, addresses []string) map[string]Engine {
	next := make(map[string]Engine, len(addresses))
	for _, a := range addresses {
		next[a] = known[a]
	}
	return next
}
