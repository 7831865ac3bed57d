package control

import (
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Event is something that happened. Reduce turns each into a new State and
// effects.
type Event interface{ isEvent() }

type (
	// Tick tells the time.
	Tick struct{ At time.Time }
	// CatalogueRead tells the rows of the catalogue that were read.
	CatalogueRead struct {
		Revision  uint64 // version of the revision row; 0 if absent
		Number    uint64 // the revision's number
		Unchanged bool   // the revision row had not moved; rows not read
		Rows      []platform.Row
		At        time.Time
		Err       error
	}
	// MembersRead tells the rows of the membership.
	MembersRead struct {
		Rows []platform.Row
		At   time.Time
		Err  error
	}
	// HeartbeatDone tells how renewing this instance's membership lease ended.
	HeartbeatDone struct {
		Lease lease.Lease
		Err   error
	}
	// ReportRead tells an engine's load report.
	ReportRead struct {
		Address string
		Report  engine.LoadReport
		At      time.Time
		Err     error
	}
	// RolloutLeaseDone tells how taking a pool's rollout lease ended.
	RolloutLeaseDone struct {
		Pool string
		Held lease.Held
		Err  error
	}
	// OrderEnded tells how a load order ended.
	OrderEnded struct {
		Pool    string
		Ordered weights.OrderEnded
	}
	// SweepDone tells how many samples a sweep has sent.
	SweepDone struct {
		Sent int
		Err  error
	}
	// DrainStarted tells that this instance is to stop.
	DrainStarted struct{}
	// PeerNotified is a peer's word that the catalogue changed at revision, or
	// that the peer is draining.
	PeerNotified struct {
		Revision uint64
		Draining bool
		Changed  bool // this instance itself changed the catalogue's rows
		Steps    bool // a step was accepted
	}
	// StepsRead tells the heads of all steps kept, by step.Key.
	StepsRead struct {
		Heads map[string]step.Head
		Err   error
	}
	// StepAccepted tells that this instance has accepted a step.
	StepAccepted struct{}
	// InstancesRead tells changes of the platform's list of upstream instances.
	InstancesRead struct {
		Changes platform.InstanceChanges
		Err     error
	}
	// ShardEnded tells that a step's shard runs here no more.
	ShardEnded struct{ ID ShardID }
)

func (Tick) isEvent()             {}
func (CatalogueRead) isEvent()    {}
func (MembersRead) isEvent()      {}
func (HeartbeatDone) isEvent()    {}
func (ReportRead) isEvent()       {}
func (SweepDone) isEvent()        {}
func (DrainStarted) isEvent()     {}
func (RolloutLeaseDone) isEvent() {}
func (OrderEnded) isEvent()       {}
func (PeerNotified) isEvent()     {}
func (StepsRead) isEvent()        {}
func (StepAccepted) isEvent()     {}
func (InstancesRead) isEvent()    {}
func (ShardEnded) isEvent()       {}

// Effect is something that Reduce asks its caller to do.
type Effect interface{ isEffect() }

type (
	// ReadCatalogue reads the catalogue, if it has changed, and ends in a
	// CatalogueRead.
	ReadCatalogue struct {
		Known  uint64 // revision row version applied; 0 if the row was absent
		Number uint64 // revision number applied
		Full   bool   // scan whatever the revision row says
	}
	// ReadMembers reads the membership and ends in a MembersRead.
	ReadMembers struct{}
	// Heartbeat renews this instance's membership lease and ends in a HeartbeatDone.
	Heartbeat struct {
		Held      lease.Lease // as last written; zero if not held
		At        time.Time   // the lease lives from here
		ExpiresAt time.Time   // to here
		Draining  bool
	}
	// ReadReport reads an engine's load report and ends in a ReportRead.
	ReadReport struct{ Address string }
	// Sweep sends samples whose records were left behind and ends in a SweepDone.
	Sweep struct {
		OlderThan time.Time // deliveries recorded before are sent
		Purge     bool      // also remove what is long gone
	}
	// TakeRolloutLease takes or renews a pool's rollout lease and ends in a
	// RolloutLease.
	TakeRolloutLease struct{ Pool string }
	// ReleaseRolloutLease gives a pool's rollout lease up.
	ReleaseRolloutLease struct{ Pool string }
	// SendOrder sends an engine of a pool an order and ends in an OrderEnded.
	SendOrder struct {
		Pool  string
		Order weights.Order
	}
	// PublishView has traffic read View from now on.
	PublishView struct{ View *View }
	// StoreReport keeps an engine's load report for traffic.
	StoreReport struct {
		Address string
		Report  engine.LoadReport
	}
	// LogChange logs what the instance believes now.
	LogChange struct {
		Message string
		Fields  []any
	}
	// NotifyPeers tells other instances what has changed.
	NotifyPeers struct {
		Revision uint64
		Draining bool
		Steps    bool
	}
	// ReadSteps reads the heads of the steps kept and ends in a StepsRead.
	ReadSteps struct{}
	// ReadInstances reads the platform's list of upstream instances from a sequence
	// number on and ends in an InstancesRead.
	ReadInstances struct{ Since uint64 }
	// RunShard runs a shard of a step and ends in a ShardEnded.
	RunShard struct {
		ID  ShardID
		TTL time.Duration // of the shard's lease
	}
)

func (ReadCatalogue) isEffect()       {}
func (ReadMembers) isEffect()         {}
func (Heartbeat) isEffect()           {}
func (ReadReport) isEffect()          {}
func (Sweep) isEffect()               {}
func (TakeRolloutLease) isEffect()    {}
func (ReleaseRolloutLease) isEffect() {}
func (SendOrder) isEffect()           {}
func (PublishView) isEffect()         {}
func (StoreReport) isEffect()         {}
func (LogChange) isEffect()           {}
func (NotifyPeers) isEffect()         {}
func (ReadInstances) isEffect()       {}
func (ReadSteps) isEffect()           {}
func (RunShard) isEffect()            {}

// ShardID names one shard of a step.
type ShardID struct {
	Step  string // step.Key
	Shard int
}

// String returns a shard's name, for logs.
func (id ShardID) String() string { return fmt.Sprintf("%s/%d", id.Step, id.Shard) }
