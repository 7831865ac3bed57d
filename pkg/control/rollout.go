package control

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// poolRollout is a pool's rollout at this instance, with the times at which its
// periodic work is due.
type poolRollout struct {
	weights.Rollout
	nextLease        time.Time
	nextOutdatedRead time.Time // next read of the reports of engines without the target version
	nextPoolRead     time.Time // next read of the reports of all engines of the pool
}

// tickRollouts runs the rollouts of the pools that this instance is preferred for, and
// gives up the others once they have no order outstanding.
func (s State) tickRollouts(now time.Time, effs []Effect) (State, []Effect) {
	for _, name := range s.rolloutNames() {
		p := s.View.Pools[name]
		pr, preferred := s.rollouts[name], s.preferredRollouts[name]
		cfg := s.timing.Rollout
		cfg.MaxLoading = p.LoadingBudget()
		pr.Rollout.Config = cfg
		pr.Rollout, _ = pr.Reduce(weights.EnginesChanged{Addresses: p.LoadableEngines()})
		pr.Rollout, _ = pr.Reduce(weights.TargetChanged{Version: s.View.Targets[name].Version})
		if pr.Idle() && (!preferred || pr.Converged()) && pr.Fencing != 0 {
			pr.Rollout, _ = pr.Reduce(weights.LeaseLost{})
			pr.nextLease = time.Time{} // the next target version need not wait for the renewal period
			effs = append(effs, ReleaseRolloutLease{Pool: name})
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

// rolloutNames returns the pools whose rollout this instance runs or is preferred for,
// sorted.
func (s State) rolloutNames() []string {
	names := slices.Collect(maps.Keys(s.preferredRollouts))
	for name := range s.rollouts {
		if !s.preferredRollouts[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// choosePreferredRollouts determines the pools whose rollout this instance is preferred
// for. It must be called when the membership, the catalogue or a target has changed.
func (s State) choosePreferredRollouts() State {
	s.preferredRollouts = map[string]bool{}
	for name := range s.View.Targets {
		if p, ok := s.View.Pools[name]; ok && p.Kind == catalogue.Engines && s.preferred("rollout/"+name) {
			s.preferredRollouts[name] = true
		}
	}
	return s
}

// stepRollout acquires or renews the lease while engines are outdated, sends the orders
// that are due and reads the reports that are due.
func (s State) stepRollout(name string, pr poolRollout, preferred bool, now time.Time, effs []Effect) (State, poolRollout, []Effect) {
	outdated := pr.Outdated()
	if preferred && len(outdated) > 0 && !now.Before(pr.nextLease) {
		var ok bool
		if s, ok = s.begin(task{kind: rolloutTask, name: name}); ok {
			pr.nextLease = now.Add(s.timing.RolloutRenew)
			effs = append(effs, TakeRolloutLease{Pool: name})
		}
	}
	var orders []weights.Order
	pr.Rollout, orders = pr.Reduce(weights.Tick{At: now})
	for _, o := range orders {
		effs = append(effs, SendOrder{Pool: name, Order: o})
	}
	var addrs []string
	switch {
	case !now.Before(pr.nextPoolRead):
		pr.nextPoolRead, pr.nextOutdatedRead = now.Add(s.timing.PoolPollInterval), now.Add(s.timing.RolloutPollInterval)
		addrs = slices.Sorted(maps.Keys(pr.Engines))
	case !now.Before(pr.nextOutdatedRead):
		pr.nextOutdatedRead = now.Add(s.timing.RolloutPollInterval)
		addrs = outdated
	}
	s, effs = s.readReports(addrs, pr, effs)
	return s, pr, effs
}

// readReports reads the load reports of the engines at addrs that have no order
// outstanding.
func (s State) readReports(addrs []string, pr poolRollout, effs []Effect) (State, []Effect) {
	for _, a := range addrs {
		if pr.Engines[a].OrderDeadline.IsZero() {
			s, effs = s.readReport(a, effs)
		}
	}
	return s, effs
}

func (s State) withRollout(name string, pr poolRollout) State {
	s.rollouts = maps.Clone(s.rollouts)
	if s.rollouts == nil {
		s.rollouts = map[string]poolRollout{}
	}
	s.rollouts[name] = pr
	return s
}

func (s State) onRolloutLease(e RolloutLeaseDone) (State, []Effect) {
	s = s.taskEnded(task{kind: rolloutTask, name: e.Pool})
	pr, ok := s.rollouts[e.Pool]
	if !ok {
		return s, nil
	}
	before := pr.Fencing != 0
	switch {
	case e.Err == nil:
		pr.Rollout, _ = pr.Reduce(weights.LeaseHeld{Fencing: e.Held.Fencing, Until: e.Held.ValidUntil})
	case errors.Is(e.Err, lease.ErrHeld):
		pr.Rollout, _ = pr.Reduce(weights.LeaseLost{})
	}
	s = s.withRollout(e.Pool, pr)
	if held := pr.Fencing != 0; held && !before {
		return s, []Effect{LogChange{Message: "rollout begun", Fields: []any{"pool", e.Pool, "version", pr.Target, "fencing", pr.Fencing}}}
	}
	return s, nil
}

func (s State) onOrderEnded(e OrderEnded) (State, []Effect) {
	pr, ok := s.rollouts[e.Pool]
	if !ok {
		return s, nil
	}
	pr.Rollout, _ = pr.Reduce(e.Ordered)
	s = s.withRollout(e.Pool, pr)
	if pr.Converged() {
		return s, []Effect{LogChange{Message: "rollout done", Fields: []any{"pool", e.Pool, "version", pr.Target}}}
	}
	return s, nil
}

// onReport stores an engine's load report and passes it to the rollouts of its pools.
func (s State) onReport(e ReportRead) (State, []Effect) {
	s = s.taskEnded(task{kind: reportTask, name: e.Address})
	if e.Err != nil {
		return s, nil // the last report stays in place
	}
	effs := []Effect{StoreReport{Address: e.Address, Report: e.Report}}
	for _, name := range s.poolsOf[e.Address] {
		if _, named := s.View.Targets[name]; !named && e.Report.WeightVersion > s.View.NewestVersions[name] {
			s.View = s.View.clone()
			s.View.NewestVersions = maps.Clone(s.View.NewestVersions)
			s.View.NewestVersions[name] = e.Report.WeightVersion
			effs = append(effs, PublishView{s.View})
		}
		if pr, ok := s.rollouts[name]; ok {
			pr.Rollout, _ = pr.Reduce(weights.LoadReported{Address: e.Address, Report: e.Report, At: e.At})
			s = s.withRollout(name, pr)
		}
	}
	return s, effs
}
