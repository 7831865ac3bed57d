package entry

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// poolRollout is the rollout of one pool that this instance runs, with the
// times of its next steps.
type poolRollout struct {
	weights.Rollout
	nextLease time.Time
	nextProbe time.Time // reports of the engines behind
	nextCheck time.Time // reports of every engine
}

// tickRollouts runs the rollouts of the pools this instance is preferred
// for, and gives up those it no longer is.
func (s state) tickRollouts(now time.Time, effs []effect) (state, []effect) {
	for _, name := range s.rolloutNames() {
		p := s.view.Pools[name]
		pr, preferred := s.rollouts[name], s.rolling[name]
		cfg := s.timing.rollout
		cfg.MaxLoading = p.LoadingBudget()
		pr.Rollout.Config = cfg
		pr.Rollout, _ = pr.Reduce(weights.Pool{Addresses: p.Orderable()})
		pr.Rollout, _ = pr.Reduce(weights.Named{Version: s.view.Targets[name].Version})
		if pr.Idle() && (!preferred || pr.Converged()) && pr.Fencing != 0 {
			pr.Rollout, _ = pr.Reduce(weights.Lost{})
			pr.nextLease = time.Time{} // the next version need not wait
			effs = append(effs, releaseRolloutLease{pool: name})
		}
		if !preferred && pr.Idle() {
			s.rollouts = maps.Clone(s.rollouts)
			delete(s.rollouts, name)
			continue
		}
		s, pr, effs = s.stepRollout(name, pr, preferred, now, effs)
		s = s.withRollout(name, pr)
	}
	return s, effs
}

// rolloutNames returns the pools whose rollout this instance runs or should
// run, sorted.
func (s state) rolloutNames() []string {
	names := slices.Collect(maps.Keys(s.rolling))
	for name := range s.rollouts {
		if !s.rolling[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// choosePools finds the pools whose rollout this instance is preferred for.
// It is called when the membership, the catalogue or a target changed.
func (s state) choosePools() state {
	s.rolling = map[string]bool{}
	for name := range s.view.Targets {
		if p, ok := s.view.Pools[name]; ok && p.Kind == catalogue.Engines && s.preferred("rollout/"+name) {
			s.rolling[name] = true
		}
	}
	return s
}

// stepRollout takes the lease while engines are behind, sends the orders
// due and reads the reports due.
func (s state) stepRollout(name string, pr poolRollout, preferred bool, now time.Time, effs []effect) (state, poolRollout, []effect) {
	behind := pr.Behind()
	if preferred && len(behind) > 0 && !now.Before(pr.nextLease) {
		var ok bool
		if s, ok = s.begin(task{kind: rolloutTask, name: name}); ok {
			pr.nextLease = now.Add(s.timing.rolloutRenew)
			effs = append(effs, takeRolloutLease{pool: name})
		}
	}
	var orders []weights.Order
	pr.Rollout, orders = pr.Reduce(weights.Tick{At: now})
	for _, o := range orders {
		effs = append(effs, sendOrder{pool: name, order: o})
	}
	var probes []string
	switch {
	case !now.Before(pr.nextCheck):
		pr.nextCheck, pr.nextProbe = now.Add(s.timing.rolloutCheck), now.Add(s.timing.rolloutProbe)
		probes = slices.Sorted(maps.Keys(pr.Engines))
	case !now.Before(pr.nextProbe):
		pr.nextProbe = now.Add(s.timing.rolloutProbe)
		probes = behind
	}
	s, effs = s.probe(probes, pr, effs)
	return s, pr, effs
}

// probe reads the load reports of the engines at addrs that have no order
// outstanding.
func (s state) probe(addrs []string, pr poolRollout, effs []effect) (state, []effect) {
	for _, a := range addrs {
		if pr.Engines[a].OrderEndsAt.IsZero() {
			s, effs = s.readReport(a, effs)
		}
	}
	return s, effs
}

func (s state) withRollout(name string, pr poolRollout) state {
	s.rollouts = maps.Clone(s.rollouts)
	if s.rollouts == nil {
		s.rollouts = map[string]poolRollout{}
	}
	s.rollouts[name] = pr
	return s
}

func (s state) onRolloutLease(e rolloutLease) (state, []effect) {
	s = s.ended(task{kind: rolloutTask, name: e.pool})
	pr, ok := s.rollouts[e.pool]
	if !ok {
		return s, nil
	}
	before := pr.Fencing != 0
	switch {
	case e.err == nil:
		pr.Rollout, _ = pr.Reduce(weights.Held{Fencing: e.held.Fencing, Until: e.held.ValidUntil})
	case errors.Is(e.err, lease.ErrHeld):
		pr.Rollout, _ = pr.Reduce(weights.Lost{})
	}
	s = s.withRollout(e.pool, pr)
	if held := pr.Fencing != 0; held && !before {
		return s, []effect{logChange{msg: "rollout begun", kv: []any{"pool", e.pool, "version", pr.Target, "fencing", pr.Fencing}}}
	}
	return s, nil
}

func (s state) onOrderEnded(e orderEnded) (state, []effect) {
	pr, ok := s.rollouts[e.pool]
	if !ok {
		return s, nil
	}
	pr.Rollout, _ = pr.Reduce(e.ordered)
	s = s.withRollout(e.pool, pr)
	if pr.Converged() {
		return s, []effect{logChange{msg: "rollout done", kv: []any{"pool", e.pool, "version", pr.Target}}}
	}
	return s, nil
}

// onReport keeps an engine's load report and tells the rollouts it is in.
func (s state) onReport(e reportRead) (state, []effect) {
	s = s.ended(task{kind: reportTask, name: e.addr})
	if e.err != nil {
		return s, nil // a missing report leaves the last one, which ages
	}
	effs := []effect{storeReport{addr: e.addr, rep: e.rep}}
	for _, name := range s.poolsOf[e.addr] {
		if _, named := s.view.Targets[name]; !named && e.rep.WeightVersion > s.view.Newest[name] {
			s.view = s.view.clone()
			s.view.Newest = maps.Clone(s.view.Newest)
			s.view.Newest[name] = e.rep.WeightVersion
			effs = append(effs, publish{s.view})
		}
		if pr, ok := s.rollouts[name]; ok {
			pr.Rollout, _ = pr.Reduce(weights.Reported{Address: e.addr, Report: e.rep, At: e.at})
			s = s.withRollout(name, pr)
		}
	}
	return s, effs
}
