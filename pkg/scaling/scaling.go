// Package scaling decides how many engines are ordered for a pool, in which data centre
// and of which kind. It does no I/O.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Limits holds the operator's scaling settings of a pool and the capacity of its
// engines.
type Limits struct {
	routetable.Scaling
	Slots int // requests that an engine batches
	// Contended makes the Planner send an order again that an older one has undone, ask a
	// data centre without capacity less and less often, and leave out submissions that
	// are overdue.
	Contended bool
}

// Placement is a data centre and a kind of engine.
type Placement struct {
	DataCentre string
	Spot       bool // spot capacity, which the provider may reclaim from a whole data centre at once
}

// Order asks the provider for a total number of engines in a placement.
type Order struct {
	Pool string
	Placement
	Engines int
}

// PoolState is the observed state of a pool at a time.
type PoolState struct {
	At      time.Time
	Engines map[Placement]int // engines that do not drain
	// Items is the number of items of the pool's open submissions that engines are
	// needed for, see CountItems.
	Items int
}

// Submission is an open submission of a pool.
type Submission struct {
	Items int
	Due   time.Time // when its results are due; zero if at no particular time
}

// CountItems returns the number of items of open submissions that engines are needed
// for at a time. In contended pools those are left out that have been due for longer
// than overdueLimit.
func (l Limits) CountItems(open []Submission, at time.Time) int {
	n := 0
	for _, s := range open {
		if !l.Contended || s.Due.IsZero() || at.Sub(s.Due) <= overdueLimit {
			n += s.Items
		}
	}
	return n
}

const (
	// SlotsPerItem is the number of slots to provide for each item of the open
	// submissions, as far as the operator's limits allow.
	SlotsPerItem = 0.75
	// peakHold is how long the largest need is held after it was last reached, so that
	// engines are not released while trainers pause.
	peakHold = 20 * time.Second
	// noCapacityDelay is the pause before the next order for a placement that had no
	// engine available. In contended pools it doubles with each such order up to
	// maxNoCapacityDelay, so that capacity that is back is noticed within two steps of a
	// trainer, which is as long as the trainer waits for one.
	noCapacityDelay    = 3 * time.Second
	maxNoCapacityDelay = 12 * time.Second
	// bootMargin is added to the boot time before an ordered engine that was never seen
	// is ordered again. Its registration takes one or two heartbeats.
	bootMargin = 4 * time.Second
	// retryDelay is the pause after an order that got no answer. It may have been
	// carried out, or be carried out later.
	retryDelay = 1500 * time.Millisecond
	// correctionInterval is the least time between two orders for a placement that runs
	// more engines than were last ordered.
	correctionInterval = 10 * time.Second
	// overdueLimit is the time between the due time of the customers' steps, 7.5 s, and
	// the time when their trainers give up, 12 s. A submission that is still open after
	// it has no reader, and more engines would not help anybody.
	overdueLimit = 4500 * time.Millisecond
)

// Planner holds what the instance with the scaling duty remembers of a pool. Its zero
// value is ready to use.
type Planner struct {
	orders map[Placement]placementOrder // last orders
	peak   int                          // largest number of engines needed lately
	peakAt time.Time
}

// placementOrder is the last order for a placement.
type placementOrder struct {
	engines     int
	at          time.Time // zero while no order has got an answer
	accepted    int       // engines of the last order that was accepted
	seen        bool      // whether all of its engines have been observed since
	notBefore   time.Time // earliest time of the next order
	misses      int       // orders in succession that found no engine
	correctedAt time.Time // when an order was last sent because too many engines ran
}

// mayFollow reports whether an order for the same placement may be sent at a time.
func (o placementOrder) mayFollow(at time.Time, contended bool) bool {
	pause := time.Duration(0)
	switch {
	case o.misses == 0:
	case contended:
		pause = min(noCapacityDelay<<min(o.misses-1, 8), maxNoCapacityDelay)
	default:
		pause = noCapacityDelay
	}
	return !at.Before(o.notBefore) && at.Sub(o.at) >= pause
}

// Decide returns the orders to send now.
//
// Engines that run without an order are left alone. If the items of open submissions
// need more slots, Decide orders spot engines for the rest. It distributes them over
// the data centres, the cheaper first, so that the loss of one data centre costs only a
// part of them. New work is served as the engines boot. While work pauses, its engines
// are kept, since it resumes sooner than new engines would boot; when it has gone for
// longer than peakHold they are released. If a data centre reclaims its engines and has
// none, the others provide its share at once and keep it, so that orders do not
// alternate while its capacity comes and goes.
//
// The provider may carry out an order late, after a newer one. In contended pools the
// last order is sent again if more engines run than it asked for once those of earlier
// orders must have booted. Fewer engines than ordered are ordered again in any pool.
func (p *Planner) Decide(pool string, l Limits, s PoolState) []Order {
	if l.Max <= 0 || l.Slots <= 0 || l.SpotPrice <= 0 {
		return nil
	}
	if p.orders == nil {
		p.orders = map[Placement]placementOrder{}
	}
	var out []Order
	for place, n := range p.distribute(l, s) {
		o, known := p.orders[place]
		running := s.Engines[place]
		o.seen = o.seen || known && running >= o.engines
		if known {
			p.orders[place] = o
		}
		booted := s.At.Sub(o.at) >= l.BootTime+bootMargin
		lost := running < n && (o.seen || booted)
		surplus := l.Contended && !o.at.IsZero() && booted && running > max(o.engines, o.accepted) && s.At.Sub(o.correctedAt) >= correctionInterval
		switch {
		case !o.mayFollow(s.At, l.Contended), !known && n <= running, known && n == o.engines && !lost && !surplus:
			continue
		}
		if surplus {
			o.correctedAt = s.At
			p.orders[place] = o
		}
		out = append(out, Order{Pool: pool, Placement: place, Engines: n})
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// desiredEngines returns the number of engines that the pool needs, held at its recent
// peak.
func (p *Planner) desiredEngines(l Limits, s PoolState) int {
	need := int(math.Ceil(float64(s.Items) * SlotsPerItem / float64(l.Slots)))
	if need >= p.peak || s.At.Sub(p.peakAt) > peakHold {
		p.peak, p.peakAt = need, s.At
	}
	return p.peak
}

// distribute returns the number of spot engines for each data centre. It starts from
// the last orders and adds or removes engines until the total is the desired one.
func (p *Planner) distribute(l Limits, s PoolState) map[Placement]int {
	centres := slices.SortedFunc(maps.Keys(l.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.Prices[a], l.Prices[b]), cmp.Compare(a, b))
	})
	missing := p.desiredEngines(l, s)
	out := map[Placement]int{}
	for _, dc := range centres {
		place := Placement{DataCentre: dc, Spot: true}
		regular := s.Engines[Placement{DataCentre: dc}]
		out[place] = min(p.orders[place].engines, max(l.Max-regular, 0))
		missing -= regular + out[place]
	}
	for ; missing > 0; missing-- {
		dc, ok := p.leastAssigned(centres, out, l, s)
		if !ok {
			break
		}
		out[Placement{DataCentre: dc, Spot: true}]++
	}
	for ; missing < 0; missing++ {
		dc, ok := mostAssigned(centres, out)
		if !ok {
			break
		}
		out[Placement{DataCentre: dc, Spot: true}]--
	}
	return out
}

// leastAssigned returns the data centre with the fewest engines, spot and regular, of
// those that may get more, and of several the cheapest. It reports false if there is
// none.
func (p *Planner) leastAssigned(centres []string, spot map[Placement]int, l Limits, s PoolState) (string, bool) {
	best, fewest := "", l.Max
	for _, dc := range centres {
		place := Placement{DataCentre: dc, Spot: true}
		n := s.Engines[Placement{DataCentre: dc}] + spot[place]
		if n < fewest && p.orders[place].mayFollow(s.At, l.Contended) {
			best, fewest = dc, n
		}
	}
	return best, best != ""
}

// mostAssigned returns the data centre with the most spot engines, and of several the
// most expensive. It reports false if there are none.
func mostAssigned(centres []string, spot map[Placement]int) (string, bool) {
	best, most := "", 0
	for _, dc := range centres {
		if n := spot[Placement{DataCentre: dc, Spot: true}]; n > 0 && n >= most {
			best, most = dc, n
		}
	}
	return best, best != ""
}

// Outcome is the result of an order.
type Outcome int

// The outcomes of an order.
const (
	Unknown    Outcome = iota // no answer: the order may be carried out now or later
	Accepted                  // the order is being carried out
	NoCapacity                // the data centre has no such engines now
)

// RecordOutcome records the outcome of o, received at at. running is the number of
// engines that run in the order's placement.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, running int, at time.Time) {
	last := p.orders[o.Placement]
	switch outcome {
	case Accepted:
		p.orders[o.Placement] = placementOrder{engines: o.Engines, at: at, accepted: o.Engines, correctedAt: last.correctedAt}
	case NoCapacity:
		p.orders[o.Placement] = placementOrder{engines: min(running, o.Engines), at: at, accepted: last.accepted, misses: last.misses + 1, correctedAt: last.correctedAt}
	case Unknown:
		last.notBefore = at.Add(retryDelay)
		p.orders[o.Placement] = last
	}
}
