package entry

import (
	"time"

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
		at        time.Time   // the lease lives from here
		expiresAt time.Time   // to here
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
	runShard      struct {
		id  shardID
		ttl time.Duration // of the shard's lease
	}
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
