package control

import (
	"maps"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Timing holds the periods of the control loop.
type Timing struct {
	Refresh      time.Duration // catalogue revision and membership reads
	FullScan     time.Duration // a whole catalogue read even if unchanged
	LeaseTTL     time.Duration // of memberships, at least
	ShardTTL     time.Duration // of step shards' leases, at least
	Reports      time.Duration // period of load report rounds
	ReportBudget int           // load report reads per round, at most
	Sweep        time.Duration // period of delivery sweeps
	SweepGrace   time.Duration // age before a record is swept
	Purge        time.Duration // period of removing what is long gone
	Steps        time.Duration // period of reading the steps kept
	Rollout      weights.Config
	RolloutRenew time.Duration // period of taking a rollout lease again
	RolloutProbe time.Duration // period of reading the reports of engines behind
	RolloutCheck time.Duration // period of reading the reports of all a pool's engines
}

// State is the control state. Reduce returns a new one and leaves the old one as
// it is.
type State struct {
	self   Member
	timing Timing
	View   *View // what traffic reads
	// pending holds the work under way, so that none is doubled, and next
	// says when periodic work is due.
	pending map[task]bool
	next    map[taskKind]time.Time

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
	shards         map[ShardID]bool       // step shards this instance runs or waits to run
}

// New returns the state of the instance self, which knows nothing yet.
func New(self Member, t Timing) State {
	return State{
		self:   self,
		timing: t,
		View: &View{Entries: map[string]catalogue.Entry{}, Customers: map[string]catalogue.Customer{},
			Instances: map[string]platform.InstanceState{}, Pools: map[string]catalogue.Pool{},
			RowVersions: map[string]uint64{}, Targets: map[string]weights.Target{}, Loads: newLoadTable(), NewestVersions: map[string]uint64{}},
		pending:    map[task]bool{},
		next:       map[taskKind]time.Time{},
		platformOK: true,
	}
}

// taskKind is a kind of work that the control loop starts.
type taskKind int

// The kinds of work; those up to purgeTask are periodic.
const (
	catalogueTask taskKind = iota
	fullScanTask
	instancesTask
	membersTask
	heartbeatTask
	reportsTask
	stepsTask
	sweepTask
	purgeTask
	reportTask  // of the engine named
	rolloutTask // taking the rollout lease of the pool named
)

// task is a piece of work under way.
type task struct {
	kind taskKind
	name string // of what it is about; empty for periodic work
}

// due reports whether periodic work of kind k is due at now, and if so makes
// it due again after period.
func (s State) due(k taskKind, now time.Time, period time.Duration) (State, bool) {
	if now.Before(s.next[k]) {
		return s, false
	}
	s.next = maps.Clone(s.next)
	s.next[k] = now.Add(period)
	return s, true
}

// soon makes periodic work of kind k due at once.
func (s State) soon(k taskKind) State {
	s.next = maps.Clone(s.next)
	delete(s.next, k)
	return s
}

// begin marks t as under way until its event comes, or reports false if it
// is already.
func (s State) begin(t task) (State, bool) {
	if s.pending[t] {
		return s, false
	}
	s.pending = maps.Clone(s.pending)
	s.pending[t] = true
	return s, true
}

// beginDue begins periodic work of kind k if it is due and not under way.
func (s State) beginDue(k taskKind, now time.Time, period time.Duration) (State, bool) {
	if s.pending[task{kind: k}] {
		return s, false
	}
	s, ok := s.due(k, now, period)
	if !ok {
		return s, false
	}
	return s.begin(task{kind: k})
}

// ended marks t as no longer under way.
func (s State) ended(t task) State {
	s.pending = maps.Clone(s.pending)
	delete(s.pending, t)
	return s
}
