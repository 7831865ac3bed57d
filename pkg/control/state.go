package control

import (
	"maps"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Timing holds the periods of the state machine.
type Timing struct {
	Refresh             time.Duration // period of reading the catalogue revision and the membership
	FullReadInterval    time.Duration // period of reading the whole catalogue, changed or not
	LeaseTTL            time.Duration // least time to live of membership leases
	ShardTTL            time.Duration // least time to live of step shards' leases
	Reports             time.Duration // period of reading load reports
	ReportBudget        int           // load reports read per period, at most
	Sweep               time.Duration // period of delivery sweeps
	SweepGrace          time.Duration // age from which on a delivery record is swept
	Purge               time.Duration // period of deleting records past their retention
	Steps               time.Duration // period of reading the stored steps
	Rollout             weights.Config
	RolloutRenew        time.Duration // period of renewing a rollout lease
	RolloutPollInterval time.Duration // period of reading the reports of engines without the target version
	PoolPollInterval    time.Duration // period of reading the reports of all engines of a pool
}

// State is the state of the machine. Reduce returns a new one and does not modify the
// old.
type State struct {
	self   Member
	timing Timing
	View   *View // what request handlers read
	// pending holds the tasks in progress, so that none is started twice. next holds
	// the times at which periodic tasks are due.
	pending map[task]bool
	next    map[taskKind]time.Time

	member            lease.Lease // this instance's membership lease; zero if not held
	platformOK        bool
	revision          uint64                 // highest catalogue row version applied
	revisionRow       uint64                 // version of the revision row last applied
	revisionNumber    uint64                 // revision number last applied
	engines           []string               // addresses of all engines in the catalogue, sorted
	poolsOf           map[string][]string    // engine address → its pools
	reportCursor      int                    // index in engines of the next report to read
	seenRows          map[string]seenRow     // key of a member's row → its version when last read
	rollouts          map[string]poolRollout // pools whose rollout this instance runs
	preferredRollouts map[string]bool        // pools whose rollout it is preferred for
	instancesSeq      uint64                 // sequence number of the instance list last applied
	stepsSeen         map[string]bool        // open steps seen at the last read, by step.Key
	shards            map[ShardID]bool       // step shards that this instance runs or has been asked to run
}

// New returns the initial state of the instance self.
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

// taskKind is a kind of work that the state machine starts.
type taskKind int

// The kinds of tasks; those up to purgeTask are periodic.
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
	reportTask  // reads the load report of the engine named
	rolloutTask // acquires or renews the rollout lease of the pool named
)

// task is a task in progress.
type task struct {
	kind taskKind
	name string // engine address or pool; empty for periodic tasks
}

// due reports whether the periodic task k is due at now, and if so makes it due again
// after period.
func (s State) due(k taskKind, now time.Time, period time.Duration) (State, bool) {
	if now.Before(s.next[k]) {
		return s, false
	}
	s.next = maps.Clone(s.next)
	s.next[k] = now.Add(period)
	return s, true
}

// makeDue makes the periodic task k due at once.
func (s State) makeDue(k taskKind) State {
	s.next = maps.Clone(s.next)
	delete(s.next, k)
	return s
}

// begin marks t as in progress until its event arrives. It reports false if t is in
// progress already.
func (s State) begin(t task) (State, bool) {
	if s.pending[t] {
		return s, false
	}
	s.pending = maps.Clone(s.pending)
	s.pending[t] = true
	return s, true
}

// beginDue begins the periodic task k if it is due and not in progress.
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

// taskEnded marks t as no longer in progress.
func (s State) taskEnded(t task) State {
	s.pending = maps.Clone(s.pending)
	delete(s.pending, t)
	return s
}
