package node

import (
	"maps"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// assigner assigns the engines of each pool to the models. An instance that sends
// nothing to engines does not compute assignments: at a site of thousands of engines
// some of them change many times a second.
type assigner struct {
	// busy reports whether assignments are needed as soon as their inputs change.
	busy func() bool
	// assign assigns the engines by demands. It reports false if it cannot yet.
	assign func([]weights.Demand) bool

	mu      sync.Mutex
	demands []weights.Demand
	stale   bool // engines are not yet assigned by demands and the current upstreams
}

// setDemands sets the demands. The engines are assigned by them and by the current
// upstreams: at once if the instance is busy, else on the next call of ensureCurrent.
func (a *assigner) setDemands(demands []weights.Demand) {
	a.mu.Lock()
	a.demands, a.stale = demands, true
	a.mu.Unlock()
	if a.busy() {
		a.ensureCurrent()
	}
}

// ensureCurrent assigns the engines if their assignment is stale.
func (a *assigner) ensureCurrent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stale && a.assign(a.demands) {
		a.stale = false
	}
}

func newAssigner(n *Node) *assigner {
	return &assigner{busy: func() bool { return n.reader.runCount() > 0 }, assign: n.assignEngines}
}

// assignEngines assigns the engines of each pool to its models. It reports false while
// no configuration is in force.
func (n *Node) assignEngines(demands []weights.Demand) bool {
	t := n.table.Load()
	if t == nil {
		return false
	}
	assignments := map[string][]string{}
	for _, pool := range t.Pools {
		if len(pool.Models) > 0 {
			ids, _ := n.registry.NonDraining(pool.Name)
			maps.Copy(assignments, weights.AssignEngines(ids, poolDemands(pool, demands, n.cfg.Contended)))
		}
	}
	n.registry.SetAssignments(assignments)
	return true
}
