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
	// awayFrom is how long the store must have been unreachable for entries
	// that are missing afterwards to be kept for returnTime.
	awayFrom = 700 * time.Millisecond
	// returnTime is how long entries that lapsed while the store was away take
	// to come back: about two seconds.
	returnTime = 2200 * time.Millisecond
	// orphanPatience is how long a submission whose owner is not among the
	// members waits before it is adopted: the owner's row may be seen later
	// than the submission's.
	orphanPatience = 800 * time.Millisecond
	// claimPatience is how long an owner that another instance has chosen may
	// take to claim a submission: it learns of it in some ten milliseconds.
	claimPatience = 400 * time.Millisecond
	// successionPeriod is how long each instance in rank has to adopt before
	// the next may.
	successionPeriod = 600 * time.Millisecond
	// adoptPause is the pause before an adoption that failed is tried again.
	adoptPause = 300 * time.Millisecond
)

// Events, beside feed.Update.
type (
	// tick tells the time, and whether other instances follow tables through this one.
	tick struct {
		At     time.Time
		Relays bool
	}
	// accepted tells that this instance has accepted a submission.
	accepted struct {
		submission.HeadRow
		Spec submission.Spec
	}
	// adopted tells the outcome of an adopt.
	adopted struct {
		ID        string
		Owned     submission.HeadRow
		Spec      submission.Spec
		PriorWork submission.PriorWork
		Err       error
		At        time.Time
	}
	// runEnded tells that a submission runs no more here.
	runEnded struct {
		ID   string
		Head submission.HeadRow // as the run left it, if it knows
		Err  error
	}
	// swept tells the outcome of a sweep.
	swept struct {
		ID  string
		Err error
		At  time.Time
	}
	// drain tells that the instance is to stop.
	drain struct{}
)

// state is the control state of a node.
type state struct {
	name, start string
	decoder     Decoder

	members *membership.View
	ranks   ranks
	relayed relayedMembers
	heads   map[string]submission.HeadRow
	orphans map[string]time.Time // open submissions without a live owner, since when
	retryAt map[string]time.Time // of adoptions that failed
	running map[string]bool      // submissions that run here or are being adopted

	entries   map[string]registered
	missing   map[string]time.Time // entries that are gone, and kept until then
	graceTill time.Time            // entries that go until then may come back

	named map[string]uint64  // newest weight version, by model
	lag   map[string]uint64  // how many versions behind it requests accept, by model
	work  map[string]float64 // mean of the work of recent submissions, by model
	dealt map[string]float64 // the work by which engines are dealt to models

	table     *routetable.Table // newest configuration
	unwritten []AuditRecord     // of the configuration, not in the audit trail

	asked     []weights.Demand // of the models, as last worked out
	askedAnew bool             // what it is worked out from has changed since
	undealt   bool             // demands, upstreams or pools have changed since engines were dealt

	keepFor  time.Duration // how long submissions are kept after their acceptance
	sweeping bool
	sweepAt  time.Time // the next sweep, not before

	read      map[string]bool      // tables that have been read
	awaySince map[string]time.Time // tables that cannot be read

	draining bool
}

func newState(name, start string, d Decoder, keepFor time.Duration) *state {
	return &state{name: name, start: start, decoder: d, keepFor: keepFor, members: membership.NewView(),
		heads: map[string]submission.HeadRow{}, orphans: map[string]time.Time{}, retryAt: map[string]time.Time{}, running: map[string]bool{},
		entries: map[string]registered{}, missing: map[string]time.Time{},
		named: map[string]uint64{}, lag: map[string]uint64{}, work: map[string]float64{}, dealt: map[string]float64{}, read: map[string]bool{}, awaySince: map[string]time.Time{}}
}

// reduce applies ev and returns what to do.
func (s *state) reduce(ev any) []effect {
	switch e := ev.(type) {
	case feed.Update:
		return s.onUpdate(e)
	case tick:
		return append(s.onTick(e.At), s.relay(e)...)
	case accepted:
		return s.onAccepted(e)
	case adopted:
		return s.onAdopted(e)
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
		if _, away := s.awaySince[u.Table]; !away {
			s.awaySince[u.Table] = u.At
			return []effect{note{"store lost", []any{"table", u.Table, "err", u.Err}}}
		}
		return nil
	}
	var effs []effect
	since, wasAway := s.awaySince[u.Table]
	away := wasAway && u.At.Sub(since) > awayFrom
	if wasAway {
		delete(s.awaySince, u.Table)
		effs = append(effs, note{"store regained", []any{"table", u.Table, "away", u.At.Sub(since)}}, reached{u.At})
	}
	s.read[u.Table] = true
	switch u.Table {
	case s.decoder.OperatorTable:
		effs = append(effs, s.onOperator(u)...)
	case s.decoder.EntriesTable:
		effs = append(effs, s.onEntries(u, away)...)
	case membership.Table:
		effs = append(effs, s.onMembers(u, away, since)...)
	case submission.HeadsTable:
		effs = append(effs, s.onHeads(u)...)
	}
	if s.read[s.decoder.OperatorTable] && s.read[s.decoder.EntriesTable] {
		effs = append(effs, becomeReady{})
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
				effs = append(effs, note{"configuration not understood", []any{"row_version", ch.Version, "err", err}})
				continue
			}
			if s.table != nil && t.Version <= s.table.Version {
				continue // never back to an older one
			}
			s.undealt = true
			s.record(t, u.At)
			effs = append(effs, setTable{t})
		} else if model, version, ok := s.decoder.TargetVersion(ch.Row); ok && version > s.named[model] {
			s.named[model], s.askedAnew = version, true
			effs = append(effs, note{"version named", []any{"model", model, "version", version}}, setNamed{maps.Clone(s.named)})
		}
	}
	return effs
}

func (s *state) onTick(now time.Time) []effect {
	effs := s.dropMissing(now)
	if s.read[membership.Table] {
		effs = append(effs, s.tellMembers(now))
	}
	if s.draining {
		return effs
	}
	effs = append(effs, s.adopt(now)...)
	effs = append(effs, s.sweep(now)...)
	effs = append(effs, s.audit(now)...)
	if s.askedAnew {
		before := s.asked
		s.asked, s.askedAnew = s.demands(), false
		effs = append(effs, setOpenItems{s.openItems()})
		s.undealt = s.undealt || !slices.Equal(before, s.asked)
	}
	if s.undealt {
		s.undealt = false
		effs = append(effs, dealEngines{s.asked})
	}
	return append(effs, planOrders{now, s.asked})
}

// onDrain hands over what runs here. Its texts go on at another instance where
// they are, so that to wait for their end would gain nothing.
func (s *state) onDrain() []effect {
	s.draining = true
	effs := []effect{leave{}}
	for id := range s.running {
		effs = append(effs, releaseRun{s.heads[id]})
	}
	return effs
}
