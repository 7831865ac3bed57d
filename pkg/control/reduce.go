package control

import "time"

// Reduce applies ev and returns the new state and the effects to be carried out. The
// control state changes nowhere else.
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
		return s.makeDue(stepsTask), nil
	case ShardEnded:
		return s.onShardEnded(e)
	case SweepDone:
		return s.onSweep(e)
	case DrainStarted:
		return s.onDrain()
	case PeerNotified:
		return s.onPeerNotified(e), nil
	}
	return s, nil
}

func (s State) onSweep(e SweepDone) (State, []Effect) {
	s = s.taskEnded(task{kind: sweepTask})
	if e.Sent == 0 {
		return s, nil
	}
	return s, []Effect{LogChange{Message: "samples redelivered", Fields: []any{"count", e.Sent}}}
}

// onDrain announces to request handlers, to peers and, by the next heartbeat, to all
// instances that this one accepts no new callers.
func (s State) onDrain() (State, []Effect) {
	s.self.Draining = true
	v := s.View.clone()
	v.Draining = true
	s.View = v
	return s.makeDue(heartbeatTask), []Effect{PublishView{v}, LogChange{Message: "draining", Fields: []any{"id", s.self.ID}},
		NotifyPeers{Revision: s.revision, Draining: true}}
}

// onPeerNotified makes the reads of what has changed due at once.
func (s State) onPeerNotified(e PeerNotified) State {
	if e.Revision > s.revision || e.Draining || e.Changed {
		s = s.makeDue(catalogueTask)
	}
	if e.Draining {
		s = s.makeDue(membersTask)
	}
	if e.Steps {
		s = s.makeDue(stepsTask)
	}
	return s
}

// onTick starts the work that is due.
func (s State) onTick(now time.Time) (State, []Effect) {
	t, effs, ok := s.timing, []Effect(nil), false
	if s, ok = s.beginDue(catalogueTask, now, t.Refresh); ok {
		full := false
		s, full = s.due(fullScanTask, now, t.FullReadInterval)
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

// startSweep starts a sweep if it is due and this instance is preferred for it.
// Deliveries are swept each time, records past their retention once per purge period.
func (s State) startSweep(now time.Time, effs []Effect) (State, []Effect) {
	s, ok := s.due(sweepTask, now, s.timing.Sweep)
	if !ok || !s.preferred(SweeperLease) {
		return s, effs
	}
	if s, ok = s.begin(task{kind: sweepTask}); !ok {
		return s, effs
	}
	sweep := Sweep{OlderThan: now.Add(-s.timing.SweepGrace)}
	s, sweep.Purge = s.due(purgeTask, now, s.timing.Purge)
	return s, append(effs, sweep)
}

// reportRound reads the load reports of the next ReportBudget engines, in rotation, so
// that an instance's reads are bounded however many engines the catalogue holds.
// Between reads the instance's own requests in flight approximate the load.
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

// readReport reads the load report of the engine at addr, unless a read is in progress.
func (s State) readReport(addr string, effs []Effect) (State, []Effect) {
	s, ok := s.begin(task{kind: reportTask, name: addr})
	if !ok {
		return s, effs
	}
	return s, append(effs, ReadReport{Address: addr})
}

func (s State) platformUnavailable(err error) (State, []Effect) {
	if !s.platformOK {
		return s, nil
	}
	s.platformOK = false
	return s, []Effect{LogChange{Message: "platform unreachable; serving last catalogue", Fields: []any{"err", err}}}
}

func (s State) platformAvailable() (State, []Effect) {
	if s.platformOK {
		return s, nil
	}
	s.platformOK = true
	return s, []Effect{LogChange{Message: "platform reachable again"}}
}

// SweeperLease is the lease whose holder delivers what crashed instances have left and
// deletes records past their retention.
const SweeperLease = "lease/sweeper"
