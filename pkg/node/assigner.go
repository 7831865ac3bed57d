package node

import (
	"maps"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
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

// poolAssignment is the assignment of a pool's engines to its models.
type poolAssignment struct {
	ids     []string // engines that do not drain
	demands []weights.Demand
	byModel map[string][]string
}

// assignPool assigns the engines of a pool by demands. Which engines they are depends on
// the settings only, so that all instances that know the same engines and submissions
// compute the same. The caller must not modify the result.
func (n *Node) assignPool(pool routetable.Pool, demands []weights.Demand) poolAssignment {
	ids, _ := n.registry.NonDraining(pool.Name)
	out := poolAssignment{ids: ids, demands: poolDemands(pool, demands, n.cfg.Contended)}
	if n.cfg.Contended {
		out.byModel = n.stable.assign(pool.Name, ids, out.demands)
	} else {
		out.byModel = weights.AssignEngines(ids, out.demands)
	}
	return out
}

// stableAssigners holds a weights.StableAssigner for each pool. The holder of the orders
// lease needs the assignment ten times a second, most often the same. It is safe for
// concurrent use.
type stableAssigners struct {
	mu     sync.Mutex
	byPool map[string]*weights.StableAssigner
}

func (s *stableAssigners) assign(pool string, ids []string, demands []weights.Demand) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.byPool[pool]
	if a == nil {
		a = &weights.StableAssigner{}
		s.byPool[pool] = a
	}
	return a.Assign(ids, demands)
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
			maps.Copy(assignments, n.assignPool(pool, demands).byModel)
		}
	}
	n.registry.SetAssignments(assignments)
	return true
}
