package node

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// State is the control state, for tests.
type State struct{ s *state }

// NewState returns the control state of the instance named name.
func NewState(name, start string, d Decoder) State { return State{newState(name, start, d, keepFor)} }

const keepFor = 2 * time.Minute

// Update, Tick and Adopted give events to the state and return the effects, each
// as text such as "adopt l1".
func (s State) Update(u feed.Update) []string { return texts(s.s.reduce(u)) }

func (s State) Tick(at time.Time) []string { return texts(s.s.reduce(tick{At: at})) }

func (s State) TakenOver(o submission.HeadRow, at time.Time) []string {
	return texts(s.s.reduce(adopted{ID: o.ID, Owned: o, At: at}))
}

func (s State) RunEnded(o submission.HeadRow) []string {
	return texts(s.s.reduce(runEnded{ID: o.ID, Head: o}))
}

func (s State) Drain() []string { return texts(s.s.reduce(drain{})) }

// Upstreams returns the IDs of the entries in the last setUpstreams of effs.
func (s State) Upstreams() int { return len(s.s.entries) }

func texts(effs []effect) []string {
	var out []string
	for _, e := range effs {
		switch e := e.(type) {
		case adopt:
			out = append(out, "adopt "+e.ID)
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
		case leave:
			out = append(out, "leave")
		}
	}
	return out
}

// AdvertisedAddresses, Standbys and PeersToAsk decide what instances tell callers, which
// of them are ready to be told, and whom one asks for the store.
var (
	AdvertisedAddresses = func(live []*membership.Member, except func(*membership.Member) bool) []string {
		return toldAddresses(rankedForCallers(live), except)
	}
	Standbys = func(live []*membership.Member) []*membership.Member {
		return rankedForCallers(live)[:standbyCount(len(able(live)))]
	}
	PeersToAsk = peersToAsk

	// MembersReadInterval is the least time between two reads of the members' rows.
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

// ConcurrentItems returns how many texts of a model may be under way at once.
func (s State) ConcurrentItems(model string) int { return s.s.itemsAtOnce()[model] }

// Assigner decides when engines are dealt, for tests.
type Assigner struct{ d *dealer }

func NewAssigner(busy func() bool, deal func([]weights.Demand) bool) Assigner {
	return Assigner{&dealer{busy: busy, deal: deal}}
}

func (d Assigner) SetDemands(demands []weights.Demand) { d.d.want(demands) }
func (d Assigner) EnsureCurrent()                      { d.d.need() }

// IsStandby reports whether an instance finds that it is one of the Standbys.
func IsStandby(name string, live []*membership.Member) bool {
	return isStandby(name, membership.NewRoster(live))
}
