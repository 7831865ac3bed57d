package control

import "time"

// Reduce applies ev and returns the new state and what to do. It is the only
// place where the control state changes.
func Reduce(s State, ev Event) (State, []Effect) {
	switch e := ev.(type) {
	case Tick:
		return s.onTick(e.At)
	case CatalogueRead:
		return s.onCatalogue(e)
	case MembersRead:
		return s.onMembers(e)
	case HeartbeatDone:
		return s.onHeartbeat(e)
	case ReportRead:
		return s.onReport(e)
	case RolloutLeaseDone:
		return s.onRolloutLease(e)
	case OrderEnded:
		return s.onOrderEnded(e)
	case InstancesRead:
		return s.onInstances(e)
	case StepsRead:
		return s.onSteps(e)
	case StepAccepted:
		return s.soon(stepsTask), nil
	case ShardEnded:
		return s.onShardEnded(e)
	case SweepDone:
		return s.onSweep(e)
	case DrainStarted:
		return s.onDrain()
	case PeerNotified:
		return s.onHint(e), nil
	}
	return s, nil
}

func (s State) onSweep(e SweepDone) (State, []Effect) {
	s = s.ended(task{kind: sweepTask})
	if e.Sent == 0 {
		return s, nil
	}
	return s, []Effect{LogChange{Message: "samples redelivered", Fields: []any{"count", e.Sent}}}
}

// onDrain tells traffic, peers and, by the next heartbeat, everyone that this
// instance takes no new callers.
func (s State) onDrain() (State, []Effect) {
	s.self.Draining = true
	v := s.View.clone()
	v.Draining = true
	s.View = v
	return s.soon(heartbeatTask), []Effect{PublishView{v}, LogChange{Message: "draining", Fields: []any{"id", s.self.ID}},
		NotifyPeers{Revision: s.revision, Draining: true}}
}

// onHint makes due at once what the hint says has changed.
func (s State) onHint(e PeerNotified) State {
	if e.Revision > s.revision || e.Draining || e.Changed {
		s = s.soon(catalogueTask)
	}
	if e.Draining {
		s = s.soon(membersTask)
	}
	if e.Steps {
		s = s.soon(stepsTask)
	}
	return s
}

// onTick starts the work that is due.
func (s State) onTick(now time.Time) (State, []Effect) {
	t, effs, ok := s.timing, []Effect(nil), false
	if s, ok = s.beginDue(catalogueTask, now, t.Refresh); ok {
		full := false
		s, full = s.due(fullScanTask, now, t.FullScan)
		effs = append(effs, ReadCatalogue{Known: s.revisionRow, Number: s.revisionNumber, Full: full})
	}
	if s, ok = s.beginDue(instancesTask, now, t.Refresh); ok {
		effs = append(effs, ReadInstances{Since: s.instancesSeq})
	}
	if s, ok = s.beginDue(membersTask, now, s.memberPeriod()); ok {
		effs = append(effs, ReadMembers{})
	}
	if s, ok = s.beginDue(heartbeatTask, now, s.memberTTL()/RenewalsPerTTL); ok {
		effs = append(effs, Heartbeat{Held: s.member, At: now, ExpiresAt: now.Add(s.memberTTL()), Draining: s.self.Draining})
	}
	if s, ok = s.due(reportsTask, now, t.Reports); ok {
		s, effs = s.reportRound(effs)
	}
	if !s.self.Draining {
		if s, ok = s.beginDue(stepsTask, now, t.Steps); ok {
			effs = append(effs, ReadSteps{})
		}
		s, effs = s.startSweep(now, effs)
	}
	return s.tickRollouts(now, effs)
}

// startSweep sweeps, if this instance is the one to: deliveries each time,
// what is long gone once in a while.
func (s State) startSweep(now time.Time, effs []Effect) (State, []Effect) {
	s, ok := s.due(sweepTask, now, s.timing.Sweep)
	if !ok || !s.preferred(SweeperLease) {
		return s, effs
	}
	if s, ok = s.begin(task{kind: sweepTask}); !ok {
		return s, effs
	}
	sw := Sweep{OlderThan: now.Add(-s.timing.SweepGrace)}
	s, sw.Purge = s.due(purgeTask, now, s.timing.Purge)
	return s, append(effs, sw)
}

// reportRound asks for the next reportBudget engines' load reports, round
// robin, so a node's report reads stay bounded however many engines the
// catalogue holds; between reads, a node's own requests in flight carry
// the load signal.
func (s State) reportRound(effs []Effect) (State, []Effect) {
	n := min(s.timing.ReportBudget, len(s.engines))
	for i := 0; i < n; i++ {
		addr := s.engines[(s.reportCursor+i)%len(s.engines)]
		s, effs = s.readReport(addr, effs)
	}
	if n > 0 {
		s.reportCursor = (s.reportCursor + n) % len(s.engines)
	}
	return s, effs
}

// readReport reads the load report of the engine at addr, unless a read is
// under way.
func (s State) readReport(addr string, effs []Effect) (State, []Effect) {
	s, ok := s.begin(task{kind: reportTask, name: addr})
	if !ok {
		return s, effs
	}
	return s, append(effs, ReadReport{Address: addr})
}

func (s State) platformDown(err error) (State, []Effect) {
	if !s.platformOK {
		return s, nil
	}
	s.platformOK = false
	return s, []Effect{LogChange{Message: "platform unreachable; serving last catalogue", Fields: []any{"err", err}}}
}

func (s State) platformUp() (State, []Effect) {
	if s.platformOK {
		return s, nil
	}
	s.platformOK = true
	return s, []Effect{LogChange{Message: "platform reachable again"}}
}

// SweeperLease is the lease whose holder clears up after instances that
// died and work that is over.
const SweeperLease = "lease/sweeper"
