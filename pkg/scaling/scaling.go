// Package scaling decides how many engines are ordered for a pool, in which data
// centre and of which kind. It does no I/O.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Limits are what the operator allows, and what an engine serves.
type Limits struct {
	routetable.Scaling
	Slots int // requests that an engine batches
}

// Placement is where engines are ordered: a data centre, and a kind of engine.
type Placement struct {
	DataCentre string
	Spot       bool // may be taken back, all of a data centre at once
}

// Order is an order for a number of engines in a place.
type Order struct {
	Pool string
	Placement
	Engines int
}

// PoolState is what is known of a pool at a time.
type PoolState struct {
	At      time.Time
	Engines map[Placement]int // that stay
	// Items is how many texts the open submissions of the pool hold.
	Items int
}

const (
	// SlotsPerItem is how many slots there are to be for each text of the open
	// submissions, as far as the operator's terms allow.
	SlotsPerItem = 0.75
	// peakTime is how long the work that was last seen at its most counts: engines
	// are not given back in the pauses of trainers.
	peakTime = 20 * time.Second
	// refusedPause is how long a place is left alone that had no engine.
	refusedPause = 3 * time.Second
	// lostAfter is how long after its boot time an engine that was ordered and was
	// never seen is ordered again: its entry takes a heartbeat or two.
	lostAfter = 4 * time.Second
	// retryPause is the pause before an order that got no answer is given again: it
	// may have been carried out, or be soon.
	retryPause = 1500 * time.Millisecond
)

// Planner is what the holder of the duty remembers of a pool. Its zero value
// remembers nothing.
type Planner struct {
	ordered map[Placement]ordered
	peak    int // engines that the work needed at its most, lately
	peakAt  time.Time
}

// ordered is what was last ordered in a place.
type ordered struct {
	engines   int
	at        time.Time
	seen      bool      // all of them were there since
	notBefore time.Time // of the next order
}

// Decide returns the orders to give now.
//
// The engines that are there without an order stay as they are. Where the texts of
// open submissions need more slots, engines that may be taken back are ordered for
// the rest, spread over the data centres so that the loss of one costs a part only,
// the cheaper first. It answers four loads. Work that comes is served by engines
// that boot meanwhile. Work that pauses keeps its engines, as it comes back sooner
// than they would. Of work that has gone they are given back. Where a data centre
// takes its engines back and has none, the others provide its share at once, and keep
// it, so that orders do not go back and forth while it comes and goes.
func (p *Planner) Decide(pool string, t Limits, s PoolState) []Order {
	if t.Max <= 0 || t.Slots <= 0 || t.SpotPrice <= 0 {
		return nil
	}
	if p.ordered == nil {
		p.ordered = map[Placement]ordered{}
	}
	var out []Order
	for place, n := range p.spread(t, s) {
		o, known := p.ordered[place]
		there := s.Engines[place]
		o.seen = o.seen || known && there >= o.engines
		if known {
			p.ordered[place] = o
		}
		lost := there < n && (o.seen || s.At.Sub(o.at) >= t.BootTime+lostAfter)
		switch {
		case s.At.Before(o.notBefore), !known && n <= there, known && n == o.engines && !lost:
			continue
		}
		out = append(out, Order{Pool: pool, Placement: place, Engines: n})
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// wanted returns how many engines the pool is to have.
func (p *Planner) wanted(t Limits, s PoolState) int {
	need := int(math.Ceil(float64(s.Items) * SlotsPerItem / float64(t.Slots)))
	if need >= p.peak || s.At.Sub(p.peakAt) > peakTime {
		p.peak, p.peakAt = need, s.At
	}
	return p.peak
}

// spread returns how many engines that may be taken back each data centre is to
// have: what was ordered there, and more or fewer where that is not what is wanted.
func (p *Planner) spread(t Limits, s PoolState) map[Placement]int {
	centres := slices.SortedFunc(maps.Keys(t.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.Prices[a], t.Prices[b]), cmp.Compare(a, b))
	})
	left := p.wanted(t, s)
	out := map[Placement]int{}
	for _, dc := range centres {
		place := Placement{DataCentre: dc, Spot: true}
		regular := s.Engines[Placement{DataCentre: dc}]
		out[place] = min(p.ordered[place].engines, max(t.Max-regular, 0))
		left -= regular + out[place]
	}
	for ; left > 0; left-- {
		dc, ok := p.emptiest(centres, out, t, s)
		if !ok {
			break
		}
		out[Placement{DataCentre: dc, Spot: true}]++
	}
	for ; left < 0; left++ {
		dc, ok := fullest(centres, out)
		if !ok {
			break
		}
		out[Placement{DataCentre: dc, Spot: true}]--
	}
	return out
}

// emptiest returns the data centre that is to have the fewest engines of those that
// may have more, the cheapest of these.
func (p *Planner) emptiest(centres []string, spot map[Placement]int, t Limits, s PoolState) (string, bool) {
	best, fewest := "", t.Max
	for _, dc := range centres {
		place := Placement{DataCentre: dc, Spot: true}
		n := s.Engines[Placement{DataCentre: dc}] + spot[place]
		if n < fewest && !s.At.Before(p.ordered[place].notBefore) {
			best, fewest = dc, n
		}
	}
	return best, best != ""
}

// fullest returns the data centre that is to have the most engines that may be given
// back, the dearest of these.
func fullest(centres []string, spot map[Placement]int) (string, bool) {
	best, most := "", 0
	for _, dc := range centres {
		if n := spot[Placement{DataCentre: dc, Spot: true}]; n > 0 && n >= most {
			best, most = dc, n
		}
	}
	return best, best != ""
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	Unknown    Outcome = iota // it may be carried out, also later
	Accepted                  // it is being carried out
	NoCapacity                // there are no such engines now
)

// RecordOutcome tells how an order ended at at, where there engines of its kind are there.
func (p *Planner) RecordOutcome(o Order, outcome Outcome, there int, at time.Time) {
	switch outcome {
	case Accepted:
		p.ordered[o.Placement] = ordered{engines: o.Engines, at: at}
	case NoCapacity:
		p.ordered[o.Placement] = ordered{engines: min(there, o.Engines), at: at, notBefore: at.Add(refusedPause)}
	case Unknown:
		was := p.ordered[o.Placement]
		was.notBefore = at.Add(retryPause)
		p.ordered[o.Placement] = was
	}
}
