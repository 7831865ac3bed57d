// Package scaling decides how many engines are ordered for a pool, in which data
// centre and of which kind. It does no I/O.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Terms are what the operator allows.
type Terms struct {
	Min, Max int // engines of both kinds in one data centre
	BootTime time.Duration
	// SpotPrice is the price of an engine that may be taken back, as a part of
	// another's; 0 if there are none.
	SpotPrice float64
	Prices    map[string]float64 // relative price of an engine's time, by data centre
	Slots     int                // requests that an engine batches
}

// Place is where engines are ordered: a data centre, and a kind of engine.
type Place struct {
	DataCentre string
	Spot       bool // may be taken back, all of a data centre at once
}

// Order is an order for a number of engines in a place.
type Order struct {
	Pool string
	Place
	Engines int
}

// Seen is what is known of a pool at a time.
type Seen struct {
	At      time.Time
	Engines map[Place]int // that stay
	// Items is how many texts the open submissions of the pool hold.
	Items int
}

const (
	// slotsPerItem is how many slots there are to be for each text of the open
	// submissions.
	slotsPerItem = 0.75
	// peakTime is how long the work that was last seen at its most counts: engines
	// are not given back in the pauses of trainers.
	peakTime = 20 * time.Second
	// refusedPause is how long a place is left alone that had no engine.
	refusedPause = 3 * time.Second
	// lostAfter is how long after its boot time an engine that was ordered and is
	// not seen is ordered again: its entry takes a heartbeat or two.
	lostAfter = 4 * time.Second
	// lateAfter is how long after an order that got no answer it may still be
	// carried out.
	retryPause = 1500 * time.Millisecond
)

// Plan is what the holder of the duty remembers of a pool. Its zero value
// remembers nothing.
type Plan struct {
	ordered  map[Place]ordered
	peak     int // engines that the work needed
	peakAt   time.Time
	needless time.Time // since when there are more than are needed
}

type ordered struct {
	engines   int
	at        time.Time
	notBefore time.Time // of the next order
}

// Decide returns the orders to give now.
//
// The engines that are there without an order stay as they are. Where the texts of
// open submissions need more slots, engines that may be taken back are ordered for
// the rest, spread over the data centres so that the loss of one costs a part only,
// the cheaper first. A place that has none is left alone for a while, and its share
// is ordered at others.
func (p *Plan) Decide(pool string, t Terms, s Seen) []Order {
	if t.Max <= 0 || t.Slots <= 0 {
		return nil
	}
	if p.ordered == nil {
		p.ordered = map[Place]ordered{}
	}
	want := p.wanted(t, s)
	var out []Order
	for place, n := range p.spread(want, t, s) {
		o, known := p.ordered[place]
		there := s.Engines[place]
		switch {
		case s.At.Before(o.notBefore):
			continue
		case !known && n <= there:
			continue
		case known && n == o.engines && (there >= n || s.At.Sub(o.at) < t.BootTime+lostAfter):
			continue
		}
		out = append(out, Order{Pool: pool, Place: place, Engines: n})
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(b.Engines, a.Engines), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return out
}

// wanted returns how many engines the pool is to have.
func (p *Plan) wanted(t Terms, s Seen) int {
	need := int(math.Ceil(float64(s.Items) * slotsPerItem / float64(t.Slots)))
	if need >= p.peak || s.At.Sub(p.peakAt) > peakTime {
		p.peak, p.peakAt = need, s.At
	}
	return p.peak
}

// spread returns how many engines that may be taken back each data centre is to
// have, so that there are want in all.
func (p *Plan) spread(want int, t Terms, s Seen) map[Place]int {
	centres := slices.SortedFunc(maps.Keys(t.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.Prices[a], t.Prices[b]), cmp.Compare(a, b))
	})
	out := map[Place]int{}
	regular := 0
	var open []string
	for _, dc := range centres {
		regular += s.Engines[Place{DataCentre: dc}]
		place := Place{DataCentre: dc, Spot: true}
		if t.SpotPrice <= 0 || s.At.Before(p.ordered[place].notBefore) && p.ordered[place].engines == 0 {
			continue
		}
		out[place] = 0
		open = append(open, dc)
	}
	for left := want - regular; left > 0; {
		before := left
		for _, dc := range open {
			place := Place{DataCentre: dc, Spot: true}
			if left > 0 && out[place]+s.Engines[Place{DataCentre: dc}] < t.Max {
				out[place]++
				left--
			}
		}
		if left == before {
			break // all are full
		}
	}
	return out
}

// Outcome is what became of an order.
type Outcome int

// The outcomes of an order.
const (
	Unknown  Outcome = iota // it may be carried out, also later
	Accepted                // it is being carried out
	None                    // there are no such engines now
)

// Ordered tells how an order ended at at.
func (p *Plan) Ordered(o Order, outcome Outcome, at time.Time) {
	switch outcome {
	case Accepted:
		p.ordered[o.Place] = ordered{engines: o.Engines, at: at}
	case None:
		p.ordered[o.Place] = ordered{at: at, notBefore: at.Add(refusedPause)}
	case Unknown:
		was := p.ordered[o.Place]
		was.notBefore = at.Add(retryPause)
		p.ordered[o.Place] = was
	}
}
