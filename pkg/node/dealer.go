package node

import (
	"maps"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// dealer has the engines of each pool dealt to the models. An instance that sends nothing
// to engines does not work out who is dealt what: at a site of thousands of engines some
// change many times a second.
type dealer struct {
	// busy reports whether the deal is needed as soon as it changes.
	busy func() bool
	// deal deals the engines by demands, and reports false if it cannot yet.
	deal func([]weights.Demand) bool

	mu      sync.Mutex
	demands []weights.Demand
	stale   bool // engines are not dealt by demands and by the upstreams there are
}

// want has engines dealt by demands, and by the upstreams that there are now: at once
// if the instance is busy, else when need is called.
func (d *dealer) want(demands []weights.Demand) {
	d.mu.Lock()
	d.demands, d.stale = demands, true
	d.mu.Unlock()
	if d.busy() {
		d.need()
	}
}

// need deals the engines if they are not dealt as last wanted.
func (d *dealer) need() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stale && d.deal(d.demands) {
		d.stale = false
	}
}

func newDealer(n *Node) *dealer {
	return &dealer{busy: func() bool { return n.readers.owning() > 0 }, deal: n.dealEngines}
}

// dealEngines deals the engines of each pool to its models. It reports false while no
// configuration is in force.
func (n *Node) dealEngines(demands []weights.Demand) bool {
	t := n.table.Load()
	if t == nil {
		return false
	}
	parts := map[string][]string{}
	for _, pool := range t.Pools {
		if len(pool.Models) > 0 {
			ids, _ := n.registry.NonDraining(pool.Name)
			maps.Copy(parts, weights.AssignEngines(ids, ofPool(pool, demands)))
		}
	}
	n.registry.SetAssignments(parts)
	return true
}
