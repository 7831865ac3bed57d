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

// Event is an input of the state machine. Reduce turns each into a new State and
// effects.
type Event interface{ isEvent() }

type (
	// Tick is sent periodically with the current time; it starts the work that is due.
	Tick struct{ At time.Time }
	// CatalogueRead is the outcome of a ReadCatalogue. Newer rows are applied to the
	// View.
	CatalogueRead struct {
		Revision  uint64 // version of the revision row; 0 if there is none
		Number    uint64 // number in the revision row
		Unchanged bool   // the revision row has not changed; no rows were read
		Rows      []platform.Row
		At        time.Time
		Err       error
	}
	// MembersRead is the outcome of a ReadMembers. It determines the live members.
	MembersRead struct {
		Rows []platform.Row
		At   time.Time
		Err  error
	}
	// HeartbeatDone is the outcome of a Heartbeat.
	HeartbeatDone struct {
		Lease lease.Lease
		Err   error
	}
	// ReportRead is the outcome of a ReadReport. The report is stored, and the rollouts
	// of the engine's pools use it.
	ReportRead struct {
		Address string
		Report  engine.LoadReport
		At      time.Time
		Err     error
	}
	// RolloutLeaseDone is the outcome of a TakeRolloutLease.
	RolloutLeaseDone struct {
		Pool string
		Held lease.Held
		Err  error
	}
	// OrderEnded is the outcome of a SendOrder.
	OrderEnded struct {
		Pool    string
		Ordered weights.OrderEnded
	}
	// SweepDone is the outcome of a Sweep: the number of samples sent.
	SweepDone struct {
		Sent int
		Err  error
	}
	// DrainStarted is sent when the instance is asked to stop. It accepts no new
	// callers from then on.
	DrainStarted struct{}
	// PeerNotified is sent when a peer notifies this instance that the catalogue has
	// changed at Revision, that a step was accepted or that the peer drains, and when
	// this instance itself changes the catalogue. What has changed is read at the next
	// Tick.
	PeerNotified struct {
		Revision uint64
		Draining bool
		Changed  bool // this instance has changed catalogue rows
		Steps    bool // a step was accepted
	}
	// StepsRead is the outcome of a ReadSteps: the heads of all stored steps, by
	// step.Key.
	StepsRead struct {
		Heads map[string]step.Head
		Err   error
	}
	// StepAccepted is sent when this instance has accepted a step. The steps are read
	// at the next Tick.
	StepAccepted struct{}
	// InstancesRead is the outcome of a ReadInstances.
	InstancesRead struct {
		Changes platform.InstanceChanges
		Err     error
	}
	// ShardEnded is sent when a step's shard does not run on this instance any more.
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

// Effect is an output of the state machine, which the caller of Reduce carries out.
type Effect interface{ isEffect() }

type (
	// ReadCatalogue reads the catalogue if it has changed. It ends with a
	// CatalogueRead.
	ReadCatalogue struct {
		Known  uint64 // version of the revision row last applied; 0 if there was none
		Number uint64 // revision number last applied
		Full   bool   // read all rows, whatever the revision row says
	}
	// ReadMembers reads the membership. It ends with a MembersRead.
	ReadMembers struct{}
	// Heartbeat renews this instance's membership lease. It ends with a HeartbeatDone.
	Heartbeat struct {
		Held      lease.Lease // lease as last written; zero if not held
		At        time.Time   // time of the renewal
		ExpiresAt time.Time   // expiry of the renewed lease
		Draining  bool
	}
	// ReadReport reads an engine's load report. It ends with a ReportRead.
	ReadReport struct{ Address string }
	// Sweep sends recorded samples that their instance has not delivered. It ends with
	// a SweepDone.
	Sweep struct {
		OlderThan time.Time // deliveries recorded before this time are sent
		Purge     bool      // also delete records past their retention
	}
	// TakeRolloutLease acquires or renews a pool's rollout lease. It ends with a
	// RolloutLeaseDone.
	TakeRolloutLease struct{ Pool string }
	// ReleaseRolloutLease releases a pool's rollout lease.
	ReleaseRolloutLease struct{ Pool string }
	// SendOrder sends a load order to an engine of a pool. It ends with an OrderEnded.
	SendOrder struct {
		Pool  string
		Order weights.Order
	}
	// PublishView makes View the one that request handlers read.
	PublishView struct{ View *View }
	// StoreReport stores an engine's load report for request handlers.
	StoreReport struct {
		Address string
		Report  engine.LoadReport
	}
	// LogChange logs a change of the state.
	LogChange struct {
		Message string
		Fields  []any
	}
	// NotifyPeers notifies other instances of changes.
	NotifyPeers struct {
		Revision uint64
		Draining bool
		Steps    bool
	}
	// ReadSteps reads the heads of the stored steps. It ends with a StepsRead.
	ReadSteps struct{}
	// ReadInstances reads the changes of the platform's list of upstream instances
	// after a sequence number. It ends with an InstancesRead.
	ReadInstances struct{ Since uint64 }
	// RunShard runs a shard of a step. It ends with a ShardEnded.
	RunShard struct {
		ID  ShardID
		TTL time.Duration // time to live of the shard's lease
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

// ShardID identifies one shard of a step.
type ShardID struct {
	Step  string // step.Key
	Shard int
}

// String returns the shard's name, for logs.
func (id ShardID) String() string { return fmt.Sprintf("%s/%d", id.Step, id.Shard) }
