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

// fakeEngine is the oracle's engine: it obeys an order at once, and refuses
// an old fencing number if it checks.
type fakeEngine struct {
	version, fencing uint64
	checks           bool
}

func (f *fakeEngine) obey(o weights.Order) error {
	if f.checks && o.Fencing < f.fencing {
		return engine.ErrStaleFencing
	}
	f.fencing = max(f.fencing, o.Fencing)
	f.version = o.Version
	return nil
}

// sent is an order on its way: it reaches its engine at arrives and its
// answer, unless lost, the holder at the same moment.
type sent struct {
	holder  int
	order   weights.Order
	arrives time.Time
	lost    bool
}

// world is two holders of one pool's rollout and its engines.
type world struct {
	now     time.Time
	engines map[string]*fakeEngine
	holders [2]weights.Rollout
	paused  [2]bool
	owner   int // holder of the lease; -1 for none
	until   time.Time
	fencing uint64
	target  uint64
	flying  []sent
	calm    bool // no more faults
}

func newWorld(t *rapid.T) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), engines: map[string]*fakeEngine{}, owner: -1, target: 1}
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		w.engines[fmt.Sprintf("10.0.0.%d:1", i)] = &fakeEngine{version: 1, checks: rapid.Bool().Draw(t, "checks")}
	}
	for i := range w.holders {
		w.holders[i].Config = config
		w.holders[i], _ = w.holders[i].Reduce(weights.EnginesChanged{Addresses: slices.Sorted(maps.Keys(w.engines))})
	}
	return w
}

// lead gives the lease to holder h if it is free or h's, under a new fencing
// number, as a lease.Keeper does.
func (w *world) lead(h int) {
	if w.owner != h && w.owner >= 0 && w.now.Before(w.until) {
		w.holders[h], _ = w.holders[h].Reduce(weights.LeaseLost{})
		return
	}
	w.fencing++
	w.owner, w.until = h, w.now.Add(leaseTTL)
	w.holders[h], _ = w.holders[h].Reduce(weights.LeaseHeld{Fencing: w.fencing, Until: w.until})
}

// advance moves time on by one step: orders arrive, holders that are not
// paused hear reports, take the lease and tick.
func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(step)
	w.arrive()
	for h := range w.holders {
		if w.paused[h] {
			continue
		}
		if h == w.owner || !w.now.Before(w.until) {
			w.lead(h)
		}
		for _, a := range slices.Sorted(maps.Keys(w.engines)) {
			rep := engine.LoadReport{WeightVersion: w.engines[a].version, ChecksFencing: w.engines[a].checks}
			w.holders[h], _ = w.holders[h].Reduce(weights.LoadReported{Address: a, Report: rep, At: w.now})
		}
		w.holders[h], _ = w.holders[h].Reduce(weights.TargetChanged{Version: w.target})
		var orders []weights.Order
		w.holders[h], orders = w.holders[h].Reduce(weights.Tick{At: w.now})
		w.send(t, h, orders)
		if n := outstanding(w.holders[h]); n > config.MaxLoading {
			t.Fatalf("holder %d has %d engines loading, budget %d", h, n, config.MaxLoading)
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

func (w *world) send(t *rapid.T, h int, orders []weights.Order) {
	for _, o := range orders {
		if h != w.owner || o.Fencing != w.fencing || !w.now.Before(o.NotAfter) || !o.NotAfter.Before(w.until) {
			t.Fatalf("holder %d sent %+v at %v; the lease is holder %d's, fencing %d, until %v", h, o, w.now, w.owner, w.fencing, w.until)
		}
		s := sent{holder: h, order: o, arrives: w.now.Add(step)}
		if !w.calm {
			s.arrives = w.now.Add(step * time.Duration(rapid.IntRange(1, 60).Draw(t, "order_delay")))
			s.lost = rapid.Bool().Draw(t, "answer_lost")
		}
		w.flying = append(w.flying, s)
	}
}

func (w *world) arrive() {
	rest := w.flying[:0]
	for _, s := range w.flying {
		if s.arrives.After(w.now) {
			rest = append(rest, s)
			continue
		}
		err := w.engines[s.order.Address].obey(s.order)
		if !s.lost {
			w.holders[s.holder], _ = w.holders[s.holder].Reduce(weights.OrderEnded{Address: s.order.Address,
				Version: s.order.Version, Err: err, At: w.now})
		}
	}
	w.flying = rest
}

// Two holders, either of which may be paused with orders under way that
// arrive up to 6 s late, their answers lost or not, while versions advance:
// orders go out only under the lease in force, no holder has more engines
// loading than the budget, an engine that checks fencing never goes back,
// and once the faults stop every engine reaches the target, also those that
// ignored a fencing number and obeyed a late, old order.
func TestRolloutUnderPausesAndLateOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		highest := map[string]uint64{}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { w.advance(t) },
			"long":    func(t *rapid.T) { w.now = w.now.Add(2 * leaseTTL); w.arrive() },
			"name":    func(*rapid.T) { w.target++ },
			"pause": func(t *rapid.T) {
				h := rapid.IntRange(0, 1).Draw(t, "holder")
				w.paused[h] = !w.paused[h]
			},
			"": func(t *rapid.T) {
				for a, e := range w.engines {
					if e.version > w.target {
						t.Fatalf("engine %s holds %d, never named (newest %d)", a, e.version, w.target)
					}
					if e.checks && e.version < highest[a] {
						t.Fatalf("engine %s checks fencing and went back from %d to %d", a, highest[a], e.version)
					}
					highest[a] = max(highest[a], e.version)
				}
			},
		})
		w.calm, w.paused = true, [2]bool{}
		for i := 0; i < 200; i++ {
			w.advance(t)
		}
		for a, e := range w.engines {
			if e.version != w.target {
				t.Fatalf("20 s after the faults stopped engine %s holds %d, not %d", a, e.version, w.target)
			}
		}
	})
}

// An order refused for its fencing number ends the holder's belief in its
// lease: it gives no more orders until it holds it again.
func TestStaleFencingEndsOrders(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := weights.Rollout{Config: config}
	r, _ = r.Reduce(weights.EnginesChanged{Addresses: []string{"a", "b", "c"}})
	r, _ = r.Reduce(weights.TargetChanged{Version: 2})
	r, _ = r.Reduce(weights.LeaseHeld{Fencing: 7, Until: now.Add(leaseTTL)})
	r, orders := r.Reduce(weights.Tick{At: now})
	if len(orders) != config.MaxLoading {
		t.Fatalf("%d orders at once, want the budget of %d", len(orders), config.MaxLoading)
	}
	refused := fmt.Errorf("order: %w", engine.ErrStaleFencing)
	r, _ = r.Reduce(weights.OrderEnded{Address: orders[0].Address, Version: 2, Err: refused, At: now})
	r, _ = r.Reduce(weights.OrderEnded{Address: orders[1].Address, Version: 2, Err: errors.New("swap failed"), At: now})
	if _, orders = r.Reduce(weights.Tick{At: now.Add(time.Second)}); len(orders) != 0 {
		t.Fatalf("orders %+v sent after a refusal for fencing", orders)
	}
	r, _ = r.Reduce(weights.LeaseHeld{Fencing: 9, Until: now.Add(2 * leaseTTL)})
	if _, orders = r.Reduce(weights.Tick{At: now.Add(time.Second)}); len(orders) != config.MaxLoading || orders[0].Fencing != 9 {
		t.Fatalf("orders %+v under the new lease, want %d with fencing 9", orders, config.MaxLoading)
	}
}
