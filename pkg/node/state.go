package node

import (
	"maps"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const (
	// minOutage is how long a table must have been unavailable for its rows to be given
	// extra time afterwards: missing entries are kept for reregistrationTime, and
	// members may renew their rows.
	minOutage = 700 * time.Millisecond
	// reregistrationTime is how long entries that expired while the store was
	// unavailable may take to be registered again. Upstreams need about two seconds.
	reregistrationTime = 2200 * time.Millisecond
	// orphanDelay is how long a submission whose owner is not among the members waits
	// before it is taken over, because the row of the owner may be read later than that
	// of the submission.
	orphanDelay = 800 * time.Millisecond
	// claimTimeout is how long the owner that another instance has chosen for a
	// submission may take to claim it. It learns of the submission in some ten
	// milliseconds.
	claimTimeout = 400 * time.Millisecond
	// successionInterval is how long each instance, in order of rank, may take to take
	// over a submission before the next one tries.
	successionInterval = 600 * time.Millisecond
	// takeoverRetryDelay is the delay before a failed takeover is retried.
	takeoverRetryDelay = 300 * time.Millisecond
)

// Events of the control state, in addition to feed.Update.
type (
	// tick is sent by the control goroutine every tickPeriod. It starts what has become
	// due. Relays reports whether other instances follow tables through this one.
	tick struct {
		At     time.Time
		Relays bool
	}
	// accepted is sent by Submit when this instance has accepted a submission. The
	// submission is run here if this instance owns it.
	accepted struct {
		submission.HeadRow
		Spec submission.Spec
	}
	// takenOver is sent by the takeOver effect with its outcome. The submission is run,
	// or the takeover retried later.
	takenOver struct {
		ID        string
		Owned     submission.HeadRow
		Spec      submission.Spec
		PriorWork submission.PriorWork
		Err       error
		At        time.Time
	}
	// runEnded is sent when a submission no longer runs here.
	runEnded struct {
		ID   string
		Head submission.HeadRow // as last written by the run; zero if unknown
		Err  error
	}
	// swept is sent by the sweep effect with its outcome.
	swept struct {
		ID  string
		Err error
		At  time.Time
	}
	// drain is sent once, when the instance is told to stop. Its runs are handed over.
	drain struct{}
)

// state is the control state of a node. It does no I/O.
type state struct {
	name, startID string
	decoder       Decoder

	members       *membership.View
	ownerRankings ownerRankings
	relayed       relayedMembers
	heads         map[string]submission.HeadRow
	orphans       map[string]time.Time // time since which an open submission has had no live owner, by ID
	retryAt       map[string]time.Time // earliest retry of a failed takeover, by ID
	running       map[string]bool      // submissions that run here or are being taken over

	entries    map[string]entryRecord
	missing    map[string]time.Time // deadline until which a missing entry is kept, by ID
	graceUntil time.Time            // entries removed before this time may be registered again
	unusable   map[string]bool      // IDs of rows of the entries' table that cannot be decoded

	targetVersions map[string]uint64  // target weight version, by model
	lag            map[string]uint64  // how many versions behind the target requests accept, by model
	work           map[string]float64 // mean work of recent submissions, by model
	assignedWork   map[string]float64 // work by which engines are assigned, by model

	table            *routetable.Table // newest configuration
	unauditedChanges []AuditRecord     // configuration changes not yet in the audit trail

	lastDemands      []weights.Demand // demands of the models, as last computed
	demandsStale     bool             // the inputs of lastDemands have changed since
	assignmentsStale bool             // demands, upstreams or pools have changed since engines were assigned

	retention time.Duration // time from acceptance until a submission is deleted
	sweeping  bool
	nextSweep time.Time // earliest time of the next sweep

	tablesRead       map[string]bool      // tables that have been read
	unavailableSince map[string]time.Time // start of the outage of each unavailable table

	draining bool
}

func newState(name, startID string, d Decoder, retention time.Duration) *state {
	return &state{name: name, startID: startID, decoder: d, retention: retention, members: membership.NewView(),
		heads: map[string]submission.HeadRow{}, orphans: map[string]time.Time{}, retryAt: map[string]time.Time{}, running: map[string]bool{},
		entries: map[string]entryRecord{}, missing: map[string]time.Time{}, unusable: map[string]bool{},
		targetVersions: map[string]uint64{}, lag: map[string]uint64{}, work: map[string]float64{}, assignedWork: map[string]float64{}, tablesRead: map[string]bool{}, unavailableSince: map[string]time.Time{}}
}

// reduce applies ev and returns the effects to execute.
func (s *state) reduce(ev any) []effect {
	switch e := ev.(type) {
	case feed.Update:
		return s.onUpdate(e)
	case tick:
		return append(s.onTick(e.At), s.relay(e)...)
	case accepted:
		return s.onAccepted(e)
	case takenOver:
		return s.onTakenOver(e)
	case runEnded:
		return s.onRunEnded(e)
	case swept:
		return s.onSwept(e)
	case drain:
		return s.onDrain()
	}
	return nil
}

func (s *state) onUpdate(u feed.Update) []effect {
	if u.Err != nil {
		if _, ongoing := s.unavailableSince[u.Table]; !ongoing {
			s.unavailableSince[u.Table] = u.At
			return []effect{logInfo{"store lost", []any{"table", u.Table, "err", u.Err}}}
		}
		return nil
	}
	var effs []effect
	since, wasUnavailable := s.unavailableSince[u.Table]
	longOutage := wasUnavailable && u.At.Sub(since) > minOutage
	if wasUnavailable {
		delete(s.unavailableSince, u.Table)
		effs = append(effs, logInfo{"store regained", []any{"table", u.Table, "away", u.At.Sub(since)}}, setReachable{u.At})
	}
	s.tablesRead[u.Table] = true
	switch u.Table {
	case s.decoder.OperatorTable:
		effs = append(effs, s.onOperator(u)...)
	case s.decoder.EntriesTable:
		effs = append(effs, s.onEntries(u, longOutage)...)
	case membership.Table:
		effs = append(effs, s.onMembers(u, longOutage, since)...)
	case submission.HeadsTable:
		effs = append(effs, s.onHeads(u)...)
	}
	if s.tablesRead[s.decoder.OperatorTable] && s.tablesRead[s.decoder.EntriesTable] {
		effs = append(effs, markReady{})
	}
	return effs
}

func (s *state) onOperator(u feed.Update) []effect {
	var effs []effect
	for _, ch := range u.Changes {
		if ch.Deleted {
			continue
		}
		if t, ok, err := s.decoder.Configuration(ch.Row); ok {
			if err != nil {
				effs = append(effs, logInfo{"configuration not understood", []any{"row_version", ch.Version, "err", err}})
				continue
			}
			if s.table != nil && t.Version <= s.table.Version {
				continue // versions never decrease
			}
			s.assignmentsStale, s.demandsStale = true, true
			s.recordChange(t, u.At)
			effs = append(effs, setTable{t})
		} else if model, version, ok := s.decoder.TargetVersion(ch.Row); ok && version > s.targetVersions[model] {
			s.targetVersions[model], s.demandsStale = version, true
			effs = append(effs, logInfo{"version named", []any{"model", model, "version", version}}, setTargetVersions{maps.Clone(s.targetVersions)})
		}
	}
	return effs
}

func (s *state) onTick(now time.Time) []effect {
	effs := s.removeMissing(now)
	if s.tablesRead[membership.Table] {
		effs = append(effs, s.publishMembers(now))
	}
	if s.draining {
		return effs
	}
	effs = append(effs, s.takeOver(now)...)
	effs = append(effs, s.sweep(now)...)
	effs = append(effs, s.audit(now)...)
	if s.demandsStale {
		before := s.lastDemands
		s.lastDemands, s.demandsStale = s.demands(), false
		effs = append(effs, setOpenSubmissions{s.openSubmissions()})
		s.assignmentsStale = s.assignmentsStale || !slices.Equal(before, s.lastDemands)
	}
	if s.assignmentsStale {
		s.assignmentsStale = false
		effs = append(effs, assignEngines{s.lastDemands})
	}
	return append(effs, planOrders{now, s.lastDemands})
}

// onDrain hands over the submissions that run here. Their texts continue at another
// instance from where they are, so waiting for them to end would gain nothing.
func (s *state) onDrain() []effect {
	s.draining = true
	effs := []effect{announceDrain{}}
	for id := range s.running {
		effs = append(effs, releaseRun{s.heads[id]})
	}
	return effs
}
