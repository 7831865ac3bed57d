package entry

import (
	"maps"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Events reach the control goroutine; reduce turns each into a new state
// and a list of effects.
type event interface{ isEvent() }

type (
	tick          struct{ at time.Time }
	catalogueRead struct {
		revision  uint64 // version of the revision row; 0 if absent
		number    uint64 // the revision's number
		unchanged bool   // the revision row had not moved; rows not read
		rows      []platform.Row
		at        time.Time
		err       error
	}
	membersRead struct {
		rows []platform.Row
		at   time.Time
		err  error
	}
	heartbeatDone struct {
		l   lease.Lease
		err error
	}
	reportRead struct {
		addr string
		rep  engine.LoadReport
		at   time.Time
		err  error
	}
	// rolloutLease tells how taking a pool's rollout lease ended.
	rolloutLease struct {
		pool string
		held lease.Held
		err  error
	}
	// orderEnded tells how a load order ended.
	orderEnded struct {
		pool    string
		ordered weights.Ordered
	}
	sweepDone struct {
		sent int
		err  error
	}
	drainBegun struct{}
	// hinted is a peer's word that the catalogue changed at revision, or
	// that the peer is draining.
	hinted struct {
		revision uint64
		draining bool
		changed  bool // this instance itself changed the catalogue's rows
		steps    bool // a step was accepted
	}
	// stepsRead tells the heads of all steps kept, by step.Key.
	stepsRead struct {
		heads map[string]step.Head
		err   error
	}
	stepAccepted  struct{} // by this instance
	instancesRead struct {
		changes platform.InstanceChanges
		err     error
	}
	shardEnded struct{ id shardID }
)

func (tick) isEvent()          {}
func (catalogueRead) isEvent() {}
func (membersRead) isEvent()   {}
func (heartbeatDone) isEvent() {}
func (reportRead) isEvent()    {}
func (sweepDone) isEvent()     {}
func (drainBegun) isEvent()    {}
func (rolloutLease) isEvent()  {}
func (orderEnded) isEvent()    {}
func (hinted) isEvent()        {}
func (stepsRead) isEvent()     {}
func (stepAccepted) isEvent()  {}
func (instancesRead) isEvent() {}
func (shardEnded) isEvent()    {}

// Effects are what reduce asks the loop to do.
type effect interface{ isEffect() }

type (
	readCatalogue struct {
		known  uint64 // revision row version applied; 0 if the row was absent
		number uint64 // revision number applied
		full   bool   // scan whatever the revision row says
	}
	readMembers struct{}
	heartbeat   struct {
		held      lease.Lease // as last written; zero if not held
		expiresAt time.Time
		draining  bool
	}
	readReport struct{ addr string }
	sweep      struct {
		olderThan time.Time // deliveries recorded before are sent
		purge     bool      // also remove what is long gone
	}
	takeRolloutLease    struct{ pool string }
	releaseRolloutLease struct{ pool string }
	sendOrder           struct {
		pool  string
		order weights.Order
	}
	publish     struct{ view *View }
	storeReport struct {
		addr string
		rep  engine.LoadReport
	}
	logChange struct {
		msg string
		kv  []any
	}
	hintPeers struct {
		revision uint64
		draining bool
		steps    bool
	}
	readSteps     struct{}
	readInstances struct{ since uint64 }
	runShard      struct{ id shardID }
)

func (readCatalogue) isEffect()       {}
func (readMembers) isEffect()         {}
func (heartbeat) isEffect()           {}
func (readReport) isEffect()          {}
func (sweep) isEffect()               {}
func (takeRolloutLease) isEffect()    {}
func (releaseRolloutLease) isEffect() {}
func (sendOrder) isEffect()           {}
func (publish) isEffect()             {}
func (storeReport) isEffect()         {}
func (logChange) isEffect()           {}
func (hintPeers) isEffect()           {}
func (readInstances) isEffect()       {}
func (readSteps) isEffect()           {}
func (runShard) isEffect()            {}

// timing holds the periods of the control loop.
type timing struct {
	refresh      time.Duration // catalogue revision and membership reads
	fullScan     time.Duration // a whole catalogue read even if unchanged
	leaseTTL     time.Duration
	renew        time.Duration // heartbeat period, well under leaseTTL
	reports      time.Duration // period of load report rounds
	reportBudget int           // load report reads per round, at most
	sweep        time.Duration // period of delivery sweeps
	sweepGrace   time.Duration // age before a record is swept
	purge        time.Duration // period of removing what is long gone
	steps        time.Duration // period of reading the steps kept
	rollout      weights.Config
	rolloutRenew time.Duration // period of taking a rollout lease again
	rolloutProbe time.Duration // period of reading the reports of engines behind
	rolloutCheck time.Duration // period of reading the reports of all a pool's engines
}

// state is the control state, owned by the control goroutine alone.
type state struct {
	self    Member
	timing  timing
	view    *View
	pending map[string]bool // effect kinds in flight, so none is doubled

	nextRefresh    time.Time
	nextFullScan   time.Time
	nextMembers    time.Time
	nextHeartbeat  time.Time
	nextReports    time.Time
	nextSweep      time.Time
	nextPurge      time.Time
	nextSteps      time.Time
	member         lease.Lease // this instance's membership lease; zero if not held
	platformOK     bool
	revision       uint64                 // highest catalogue row version applied
	revisionRow    uint64                 // version of the revision row last applied
	revisionNumber uint64                 // number of the revision last applied
	engines        []string               // every engine address in the catalogue, sorted
	poolsOf        map[string][]string    // engine address → its pools
	reportCursor   int                    // next index into engines to read a report of
	sightings      map[string]sighting    // member row key → its last change
	rollouts       map[string]poolRollout // pools whose rollout this instance runs
	rolling        map[string]bool        // pools whose rollout it should run
	instancesSeq   uint64                 // sequence number of the instance list applied
	stepsSeen      map[string]bool        // open steps seen, by step.Key
	shards         map[shardID]bool       // step shards this instance runs or waits to run
}

func newState(self Member, t timing) state {
	return state{
		self:   self,
		timing: t,
		view: &View{Entries: map[string]catalogue.Entry{}, Customers: map[string]catalogue.Customer{},
			Instances: map[string]platform.InstanceState{}, Pools: map[string]catalogue.Pool{},
			Versions: map[string]uint64{}, Targets: map[string]weights.Target{}, loads: newLoadTable(), Newest: map[string]uint64{}},
		pending:    map[string]bool{},
		platformOK: true,
	}
}

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
		s.nextSteps = time.Time{}
		return s, nil
	case shardEnded:
		s.shards = maps.Clone(s.shards)
		delete(s.shards, e.id)
		return s, nil
	case sweepDone:
		s.pending = without(s.pending, "sweep")
		if e.sent > 0 {
			return s, []effect{logChange{msg: "samples redelivered", kv: []any{"count", e.sent}}}
		}
		return s, nil
	case drainBegun:
		s.self.Draining = true
		v := s.view.clone()
		v.Draining = true
		s.view = v
		s.nextHeartbeat = time.Time{}
		return s, []effect{publish{v}, logChange{msg: "draining", kv: []any{"id", s.self.ID}},
			hintPeers{revision: s.revision, draining: true}}
	case hinted:
		if e.revision > s.revision || e.draining || e.changed {
			s.nextRefresh = time.Time{}
		}
		if e.draining {
			s.nextMembers = time.Time{}
		}
		if e.steps {
			s.nextSteps = time.Time{}
		}
		return s, nil
	}
	return s, nil
}

func (s state) onTick(now time.Time) (state, []effect) {
	var effs []effect
	if !now.Before(s.nextRefresh) && !s.pending["catalogue"] {
		s.pending = with(s.pending, "catalogue")
		s.nextRefresh = now.Add(s.timing.refresh)
		full := !now.Before(s.nextFullScan)
		if full {
			s.nextFullScan = now.Add(s.timing.fullScan)
		}
		if !s.pending["instances"] {
			s.pending = with(s.pending, "instances")
			effs = append(effs, readInstances{since: s.instancesSeq})
		}
		effs = append(effs, readCatalogue{known: s.revisionRow, number: s.revisionNumber, full: full})
	}
	if !now.Before(s.nextMembers) && !s.pending["members"] {
		s.pending = with(s.pending, "members")
		s.nextMembers = now.Add(s.memberPeriod())
		effs = append(effs, readMembers{})
	}
	if !now.Before(s.nextHeartbeat) && !s.pending["heartbeat"] {
		s.pending = with(s.pending, "heartbeat")
		s.nextHeartbeat = now.Add(s.timing.renew)
		effs = append(effs, heartbeat{held: s.member, expiresAt: now.Add(s.timing.leaseTTL), draining: s.self.Draining})
	}
	if !now.Before(s.nextReports) {
		s.nextReports = now.Add(s.timing.reports)
		s, effs = s.reportRound(effs)
	}
	if !now.Before(s.nextSweep) && !s.pending["sweep"] && !s.self.Draining {
		s.nextSweep = now.Add(s.timing.sweep)
		s, effs = s.startSweep(now, effs)
	}
	if !now.Before(s.nextSteps) && !s.pending["steps"] && !s.self.Draining {
		s.pending = with(s.pending, "steps")
		s.nextSteps = now.Add(s.timing.steps)
		effs = append(effs, readSteps{})
	}
	return s.tickRollouts(now, effs)
}

// startSweep sweeps, if this instance is the one to: deliveries each time,
// what is long gone once in a while.
func (s state) startSweep(now time.Time, effs []effect) (state, []effect) {
	if !s.preferred(sweeperLease) {
		return s, effs
	}
	s.pending = with(s.pending, "sweep")
	sw := sweep{olderThan: now.Add(-s.timing.sweepGrace)}
	if !now.Before(s.nextPurge) {
		s.nextPurge = now.Add(s.timing.purge)
		sw.purge = true
	}
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
		if !s.pending["report:"+addr] {
			s.pending = with(s.pending, "report:"+addr)
			effs = append(effs, readReport{addr: addr})
		}
	}
	if n > 0 {
		s.reportCursor = (s.reportCursor + n) % len(s.engines)
	}
	return s, effs
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

func with(m map[string]bool, keys ...string) map[string]bool {
	n := maps.Clone(m)
	for _, k := range keys {
		n[k] = true
	}
	return n
}

func without(m map[string]bool, key string) map[string]bool {
	n := maps.Clone(m)
	delete(n, key)
	return n
}
