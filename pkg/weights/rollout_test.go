package weights_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

const (
	leaseTTL = 3 * time.Second
	step     = 100 * time.Millisecond
)

var config = weights.Config{MaxLoading: 2, SendMargin: 300 * time.Millisecond, OrderTimeout: 2 * time.Second,
	RetryDelay: 300 * time.Millisecond, ReportLag: 500 * time.Millisecond}

// fakeEngine is a model of an engine: it loads a version as soon as the order arrives.
// If it checks fencing, it refuses an order with an older fencing token than the last
// one.
type fakeEngine struct {
	version, fencing uint64
	checks           bool
}

func (f *fakeEngine) load(o weights.Order) error {
	if f.checks && o.Fencing < f.fencing {
		return engine.ErrStaleFencing
	}
	f.fencing = max(f.fencing, o.Fencing)
	f.version = o.Version
	return nil
}

// pendingOrder is an order in transit. It reaches the engine at arrives, and the holder
// gets the answer at the same moment unless lost is set.
type pendingOrder struct {
	holder  int
	order   weights.Order
	arrives time.Time
	lost    bool
}

// simulation runs two possible holders of one pool's rollout lease against the pool's
// engines.
type simulation struct {
	now        time.Time
	engines    map[string]*fakeEngine
	holders    [2]weights.Rollout
	paused     [2]bool
	owner      int // index of the lease holder; -1 for none
	until      time.Time
	fencing    uint64
	target     uint64
	inFlight   []pendingOrder
	faultsOver bool // whether orders are no longer delayed and answers no longer lost
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{now: time.Unix(1_800_000_000, 0), engines: map[string]*fakeEngine{}, owner: -1, target: 1}
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		sim.engines[fmt.Sprintf("10.0.0.%d:1", i)] = &fakeEngine{version: 1, checks: rapid.Bool().Draw(t, "checks")}
	}
	for i := range sim.holders {
		sim.holders[i].Config = config
		sim.holders[i], _ = sim.holders[i].Reduce(weights.EnginesChanged{Addresses: slices.Sorted(maps.Keys(sim.engines))})
	}
	return sim
}

// takeLease gives the lease to holder h under a new fencing token if the lease is free
// or h's own, as a lease.Manager does.
func (sim *simulation) takeLease(h int) {
	if sim.owner != h && sim.owner >= 0 && sim.now.Before(sim.until) {
		sim.holders[h], _ = sim.holders[h].Reduce(weights.LeaseLost{})
		return
	}
	sim.fencing++
	sim.owner, sim.until = h, sim.now.Add(leaseTTL)
	sim.holders[h], _ = sim.holders[h].Reduce(weights.LeaseHeld{Fencing: sim.fencing, Until: sim.until})
}

// advance moves the time forward by one step: orders arrive, and each holder that is
// not paused takes or renews the lease, receives reports and ticks.
func (sim *simulation) advance(t *rapid.T) {
	sim.now = sim.now.Add(step)
	sim.deliverOrders()
	for h := range sim.holders {
		if sim.paused[h] {
			continue
		}
		if h == sim.owner || !sim.now.Before(sim.until) {
			sim.takeLease(h)
		}
		for _, a := range slices.Sorted(maps.Keys(sim.engines)) {
			rep := engine.LoadReport{WeightVersion: sim.engines[a].version, ChecksFencing: sim.engines[a].checks}
			sim.holders[h], _ = sim.holders[h].Reduce(weights.LoadReported{Address: a, Report: rep, At: sim.now})
		}
		sim.holders[h], _ = sim.holders[h].Reduce(weights.TargetChanged{Version: sim.target})
		var orders []weights.Order
		sim.holders[h], orders = sim.holders[h].Reduce(weights.Tick{At: sim.now})
		sim.send(t, h, orders)
		if n := outstanding(sim.holders[h]); n > config.MaxLoading {
			t.Fatalf("holder %d: got %d outstanding orders, want at most %d", h, n, config.MaxLoading)
		}
	}
}

func outstanding(r weights.Rollout) int {
	n := 0
	for _, e := range r.Engines {
		if !e.OrderDeadline.IsZero() {
			n++
		}
	}
	return n
}

func (sim *simulation) send(t *rapid.T, h int, orders []weights.Order) {
	for _, o := range orders {
		if h != sim.owner || o.Fencing != sim.fencing || !sim.now.Before(o.NotAfter) || !o.NotAfter.Before(sim.until) {
			t.Fatalf("holder %d sent %+v at %v; want orders only from lease holder %d with fencing token %d before %v", h, o, sim.now, sim.owner, sim.fencing, sim.until)
		}
		s := pendingOrder{holder: h, order: o, arrives: sim.now.Add(step)}
		if !sim.faultsOver {
			s.arrives = sim.now.Add(step * time.Duration(rapid.IntRange(1, 60).Draw(t, "order_delay")))
			s.lost = rapid.Bool().Draw(t, "answer_lost")
		}
		sim.inFlight = append(sim.inFlight, s)
	}
}

func (sim *simulation) deliverOrders() {
	rest := sim.inFlight[:0]
	for _, s := range sim.inFlight {
		if s.arrives.After(sim.now) {
			rest = append(rest, s)
			continue
		}
		err := sim.engines[s.order.Address].load(s.order)
		if !s.lost {
			sim.holders[s.holder], _ = sim.holders[s.holder].Reduce(weights.OrderEnded{Address: s.order.Address,
				Version: s.order.Version, Err: err, At: sim.now})
		}
	}
	sim.inFlight = rest
}

// Two holders, either of which may be paused while its orders are in transit, with
// orders up to 6 s late and answers lost, while the target version advances. Orders are
// sent only under the current lease, no holder has more engines loading than the limit,
// and an engine that checks fencing never goes back to an older version. Once the
// faults stop every engine reaches the target version, also one that ignored fencing
// and carried out a late, outdated order.
func TestRolloutUnderPausesAndDelayedOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		highest := map[string]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { sim.advance(t) },
			"long":    func(t *rapid.T) { sim.now = sim.now.Add(2 * leaseTTL); sim.deliverOrders() },
			"name":    func(*rapid.T) { sim.target++ },
			"pause": func(t *rapid.T) {
				h := rapid.IntRange(0, 1).Draw(t, "holder")
				sim.paused[h] = !sim.paused[h]
			},
			"": func(t *rapid.T) {
				for a, e := range sim.engines {
					if e.version > sim.target {
						t.Fatalf("engine %s: got version %d, which was never a target (newest %d)", a, e.version, sim.target)
					}
					if e.checks && e.version < highest[a] {
						t.Fatalf("engine %s checks fencing: got version %d after %d", a, e.version, highest[a])
					}
					highest[a] = max(highest[a], e.version)
				}
			},
		})
		sim.faultsOver, sim.paused = true, [2]bool{}
		for i := 0; i < 200; i++ {
			sim.advance(t)
		}
		for a, e := range sim.engines {
			if e.version != sim.target {
				t.Fatalf("engine %s 20 s after the faults stopped: got version %d, want %d", a, e.version, sim.target)
			}
		}
	})
}

// An order refused for its fencing token shows that another instance holds the lease:
// the Rollout issues no orders until it holds the lease again.
func TestStaleFencingStopsOrders(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := weights.Rollout{Config: config}
	r, _ = r.Reduce(weights.EnginesChanged{Addresses: []string{"a", "b", "c"}})
	r, _ = r.Reduce(weights.TargetChanged{Version: 2})
	r, _ = r.Reduce(weights.LeaseHeld{Fencing: 7, Until: now.Add(leaseTTL)})
	r, orders := r.Reduce(weights.Tick{At: now})
	if len(orders) != config.MaxLoading {
		t.Fatalf("orders at once: got %d, want %d", len(orders), config.MaxLoading)
	}
	refused := fmt.Errorf("order: %w", engine.ErrStaleFencing)
	r, _ = r.Reduce(weights.OrderEnded{Address: orders[0].Address, Version: 2, Err: refused, At: now})
	r, _ = r.Reduce(weights.OrderEnded{Address: orders[1].Address, Version: 2, Err: errors.New("swap failed"), At: now})
	if _, orders = r.Reduce(weights.Tick{At: now.Add(time.Second)}); len(orders) != 0 {
		t.Fatalf("orders after a refusal for fencing: got %+v, want none", orders)
	}
	r, _ = r.Reduce(weights.LeaseHeld{Fencing: 9, Until: now.Add(2 * leaseTTL)})
	if _, orders = r.Reduce(weights.Tick{At: now.Add(time.Second)}); len(orders) != config.MaxLoading || orders[0].Fencing != 9 {
		t.Fatalf("orders under the new lease: got %+v, want %d with fencing token 9", orders, config.MaxLoading)
	}
}
