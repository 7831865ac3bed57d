package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// State is the control state, for tests.
type State struct{ s *state }

// NewState returns the control state of the instance named name.
func NewState(name, startID string, d Decoder) State {
	return State{newState(name, startID, d, retention)}
}

const retention = 2 * time.Minute

// Update applies a feed.Update and returns the effects, each as text such as "take over
// l1". So do Tick, TakenOver, RunEnded and Drain for their events.
func (s State) Update(u feed.Update) []string { return effectTexts(s.s.reduce(u)) }

func (s State) Tick(at time.Time) []string { return effectTexts(s.s.reduce(tick{At: at})) }

// Accepted applies the acceptance of a submission.
func (s State) Accepted(head submission.HeadRow, spec submission.Spec) []string {
	return effectTexts(s.s.reduce(accepted{head, spec}))
}

func (s State) TakenOver(head submission.HeadRow, at time.Time) []string {
	return effectTexts(s.s.reduce(takenOver{ID: head.ID, Owned: head, At: at}))
}

func (s State) RunEnded(head submission.HeadRow) []string {
	return effectTexts(s.s.reduce(runEnded{ID: head.ID, Head: head}))
}

func (s State) Drain() []string { return effectTexts(s.s.reduce(drain{})) }

// UpdateLines applies a feed.Update and returns the messages that are logged of upstreams.
func (s State) UpdateLines(u feed.Update) []string {
	var out []string
	for _, e := range s.s.reduce(u) {
		if l, ok := e.(logUpstream); ok {
			out = append(out, l.msg)
		}
	}
	return out
}

// UnusableEntries returns the number of entries that cannot be decoded.
func (s State) UnusableEntries() int { return len(s.s.unusable) }

// Upstreams returns the number of registered upstreams.
func (s State) Upstreams() int { return len(s.s.entries) }

func effectTexts(effs []effect) []string {
	var out []string
	for _, e := range effs {
		switch e := e.(type) {
		case takeOver:
			out = append(out, "take over "+e.ID)
		case startRun:
			out = append(out, "start "+e.ID)
		case stopRun:
			out = append(out, "stop "+e.id)
		case sweep:
			out = append(out, "sweep "+e.ID)
		case releaseRun:
			out = append(out, "release "+e.ID)
		case setUpstreams:
			out = append(out, fmt.Sprintf("upstreams %d", e.total))
		case writeAudit:
			for _, c := range e.changes {
				out = append(out, fmt.Sprintf("audit %d", c.Version))
			}
		case setTable:
			out = append(out, fmt.Sprintf("configuration %d", e.table.Version))
		case announceDrain:
			out = append(out, "leave")
		}
	}
	return out
}

// AdvertisedAddresses, Standbys and PeersToAsk export the selection of the addresses
// given to callers, of the instances that stand by to be advertised, and of the peers
// tried for access to the store.
var (
	AdvertisedAddresses = func(live []*membership.Member, except func(*membership.Member) bool) []string {
		return advertisedAddresses(rankedForCallers(live), except)
	}
	Standbys = func(live []*membership.Member) []*membership.Member {
		return rankedForCallers(live)[:standbyCount(len(nonDraining(live)))]
	}
	PeersToAsk = orderPeers

	// MembersReadInterval returns the least time between two reads of the members'
	// rows.
	MembersReadInterval = func(members int) time.Duration { return feedPause(membersPause, members) }
)

// OrderLedger is the ledger of orders, for tests.
type OrderLedger struct{ l *orderLedger }

func NewOrderLedger() OrderLedger { return OrderLedger{newOrderLedger()} }

func (l OrderLedger) Inherit(data json.RawMessage, until time.Time) error {
	return l.l.inherit(data, until)
}
func (l OrderLedger) MayOrder(id string, now time.Time) bool { return l.l.mayOrder(id, now) }
func (l OrderLedger) Begin(id string)                        { l.l.begin(id) }
func (l OrderLedger) End(id string, until time.Time)         { l.l.end(id, until) }
func (l OrderLedger) Entries(now time.Time) []string         { return l.l.entries(now) }

// ConcurrentItems returns how many items of a model may be in flight at once.
func (s State) ConcurrentItems(model string) int { return s.s.concurrentItems()[model] }

// Assigner decides when engines are assigned, for tests.
type Assigner struct{ d *assigner }

func NewAssigner(busy func() bool, assign func([]weights.Demand) bool) Assigner {
	return Assigner{&assigner{busy: busy, assign: assign}}
}

func (a Assigner) SetDemands(demands []weights.Demand) { a.d.setDemands(demands) }
func (a Assigner) EnsureCurrent()                      { a.d.ensureCurrent() }

// IsStandby reports whether an instance determines that it is one of the Standbys.
func IsStandby(name string, live []*membership.Member) bool {
	return isStandby(name, membership.NewRoster(live))
}

// SetHead publishes the head of a submission.
func (n *Node) SetHead(h submission.HeadRow) { n.heads.set(h) }

// KeepCarried keeps what a submission left, in memory and in the object store.
func (n *Node) KeepCarried(ctx context.Context, rec carryover.Record) error {
	n.carryover.Put(rec)
	_, err := n.carryover.Save(ctx, rec.Key, carryover.Requirements{})
	return err
}

// KeepUnfinished keeps what a run that ended with err left.
func (n *Node) KeepUnfinished(ctx context.Context, r *submission.Runner, h submission.HeadRow, err error) {
	n.keepUnfinished(ctx, r, h.Head, err)
	_ = n.group.Wait() // the functions of the group return no errors
}

// Previous returns what the run of h would resume.
func (n *Node) Previous(ctx context.Context, h submission.HeadRow) submission.Previous {
	return n.previous(ctx, h)
}

// Sweep deletes a submission as the sweep effect does.
func (n *Node) Sweep(ctx context.Context, h submission.HeadRow) {
	sweep{h}.execute(ctx, n)
	_ = n.group.Wait() // the functions of the group return no errors
	n.heads.remove(h.ID)
}

// SetTable puts a configuration in force.
func (s State) SetTable(t *routetable.Table) { s.s.table = t }

// PoolDemands returns the demands by which the engines of a pool are assigned.
func (s State) PoolDemands(pool routetable.Pool, contended bool) []weights.Demand {
	return poolDemands(pool, s.s.demands(), contended)
}

// AssignPool assigns the entries, the only ones, of a pool to its models by demands.
func (n *Node) AssignPool(pool routetable.Pool, entries []upstream.Entry, demands []weights.Demand) map[string][]string {
	n.registry.Set(entries)
	return n.assignPool(pool, demands).byModel
}

// OpenSubmissions returns the open submissions by pool.
func (s State) OpenSubmissions() map[string][]scaling.Submission { return s.s.openSubmissions() }

// ObserveOutlook records an event of a run here in the metrics and log of cfg.
func ObserveOutlook(cfg Config, e submission.OutlookEvent) { newObserver(&Node{cfg: cfg}).outlook(e) }

// ObserveFailures records the changes of the failure rates of registry in the metrics and log
// of cfg.
func ObserveFailures(cfg Config, registry *upstream.Registry, now time.Time) {
	newObserver(&Node{cfg: cfg, registry: registry}).failingUpstreams(now)
}

// MinVersions returns the least versions of the latest and of the next submission.
func (n *Node) MinVersions(of submission.Head) (latest, next uint64) { return n.heads.minVersions(of) }

// HoldOrders makes n believe that it holds the orders lease with a fencing token. The row
// of the lease holds no engines.
func (n *Node) HoldOrders(fencing uint64) {
	n.orders.replaceHeld(lease.Held{Lease: lease.Lease{Fencing: fencing}, ValidUntil: time.Now().Add(time.Minute)})
}

// RefuseOrder ends an order as an engine that knows a newer holder does.
func (n *Node) RefuseOrder(id string) { n.orders.finish("p/m", id, 2, engine.ErrStaleFencing) }

// WaitToOrder waits until the engine may be ordered.
func (n *Node) WaitToOrder(ctx context.Context, id string) error {
	_, err := n.orders.waitPersisted(ctx, id)
	return err
}

// OrdersHeld returns the fencing token of the orders lease and since when it is held.
func (n *Node) OrdersHeld() (fencing uint64, since time.Time) {
	return n.orders.current().Fencing, n.orders.heldSince()
}

// ErrLeaseEnded is errLeaseEnded.
var ErrLeaseEnded = errLeaseEnded

// Encode returns the ledger as it is stored at now.
func (l OrderLedger) Encode(now time.Time) (json.RawMessage, error) {
	_, data, err := l.l.encode(now)
	return data, err
}

// OrderTimeout is orderTimeout.
func (n *Node) OrderTimeout() time.Duration { return n.orderTimeout() }

// RejectionReason and RejectionFields export what is logged and counted of a rejection.
var (
	RejectionReason = rejectionReason
	RejectionFields = rejectionFields
)
