package entry

import "time"

// reduce is the only place the control state changes.
func reduce(s state, ev event) (state, []effect) {
	switch e := ev.(type) {
	case tick:
		return s.onTick(e.at)
	case catalogueRead:
		return s.onCatalogue(e)
	case membersRead:
		return s.onMembers(e)
	case heartbeatDone:
		return s.onHeartbeat(e)
	case reportRead:
		return s.onReport(e)
	case rolloutLease:
		return s.onRolloutLease(e)
	case orderEnded:
		return s.onOrderEnded(e)
	case instancesRead:
		return s.onInstances(e)
	case stepsRead:
		return s.onSteps(e)
	case stepAccepted:
		return s.soon(stepsTask), nil
	case shardEnded:
		return s.onShardEnded(e)
	case sweepDone:
		return s.onSweep(e)
	case drainBegun:
		return s.onDrain()
	case hinted:
		return s.onHint(e), nil
	}
	return s, nil
}

func (s state) onSweep(e sweepDone) (state, []effect) {
	s = s.ended(task{kind: sweepTask})
	if e.sent == 0 {
		return s, nil
	}
	return s, []effect{logChange{msg: "samples redelivered", kv: []any{"count", e.sent}}}
}

// onDrain tells traffic, peers and, by the next heartbeat, everyone that this
// instance takes no new callers.
func (s state) onDrain() (state, []effect) {
	s.self.Draining = true
	v := s.view.clone()
	v.Draining = true
	s.view = v
	return s.soon(heartbeatTask), []effect{publish{v}, logChange{msg: "draining", kv: []any{"id", s.self.ID}},
		hintPeers{revision: s.revision, draining: true}}
}

// onHint makes due at once what the hint says has changed.
func (s state) onHint(e hinted) state {
	if e.revision > s.revision || e.draining || e.changed {
		s = s.soon(catalogueTask)
	}
	if e.draining {
		s = s.soon(membersTask)
	}
	if e.steps {
		s = s.soon(stepsTask)
	}
	return s
}

// onTick starts the work that is due.
func (s state) onTick(now time.Time) (state, []effect) {
	t, effs, ok := s.timing, []effect(nil), false
	if s, ok = s.beginDue(catalogueTask, now, t.refresh); ok {
		full := false
		s, full = s.due(fullScanTask, now, t.fullScan)
		effs = append(effs, readCatalogue{known: s.revisionRow, number: s.revisionNumber, full: full})
	}
	if s, ok = s.beginDue(instancesTask, now, t.refresh); ok {
		effs = append(effs, readInstances{since: s.instancesSeq})
	}
	if s, ok = s.beginDue(membersTask, now, s.memberPeriod()); ok {
		effs = append(effs, readMembers{})
	}
	if s, ok = s.beginDue(heartbeatTask, now, s.memberTTL()/renewalsPerTTL); ok {
		effs = append(effs, heartbeat{held: s.member, at: now, expiresAt: now.Add(s.memberTTL()), draining: s.self.Draining})
	}
	if s, ok = s.due(reportsTask, now, t.reports); ok {
		s, effs = s.reportRound(effs)
	}
	if !s.self.Draining {
		if s, ok = s.beginDue(stepsTask, now, t.steps); ok {
			effs = append(effs, readSteps{})
		}
		s, effs = s.startSweep(now, effs)
	}
	return s.tickRollouts(now, effs)
}

// startSweep sweeps, if this instance is the one to: deliveries each time,
// what is long gone once in a while.
func (s state) startSweep(now time.Time, effs []effect) (state, []effect) {
	s, ok := s.due(sweepTask, now, s.timing.sweep)
	if !ok || !s.preferred(sweeperLease) {
		return s, effs
	}
	if s, ok = s.begin(task{kind: sweepTask}); !ok {
		return s, effs
	}
	sw := sweep{olderThan: now.Add(-s.timing.sweepGrace)}
	s, sw.purge = s.due(purgeTask, now, s.timing.purge)
	return s, append(effs, sw)
}

// reportRound asks for the next reportBudget engines' load reports, round
// robin, so a node's report reads stay bounded however many engines the
// catalogue holds; between reads, a node's own requests in flight carry
// the load signal.
func (s state) reportRound(effs []effect) (state, []effect) {
	n := min(s.timing.reportBudget, len(s.engines))
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
func (s state) readReport(addr string, effs []effect) (state, []effect) {
	s, ok := s.begin(task{kind: reportTask, name: addr})
	if !ok {
		return s, effs
	}
	return s, append(effs, readReport{addr: addr})
}

func (s state) platformDown(err error) (state, []effect) {
	if !s.platformOK {
		return s, nil
	}
	s.platformOK = false
	return s, []effect{logChange{msg: "platform unreachable; serving last catalogue", kv: []any{"err", err}}}
}

func (s state) platformUp() (state, []effect) {
	if s.platformOK {
		return s, nil
	}
	s.platformOK = true
	return s, []effect{logChange{msg: "platform reachable again"}}
}
