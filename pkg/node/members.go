package node

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
)

// onMembers applies changes of the members table. After an outage of the table that
// started at since, members get time to renew their rows.
func (s *state) onMembers(u feed.Update, longOutage bool, since time.Time) []effect {
	var effs []effect
	split := quarantine.SplitChanges(u.Changes, QuarantinePrefix())
	s.relayed.applyQuarantine(u.Changes, u.Reset)
	apply := s.members.Apply
	if u.Relayed {
		apply = s.members.ApplyRelayed
	}
	if err := apply(split.Others, u.Reset, u.At); err != nil {
		effs = append(effs, logInfo{"malformed member row; ignoring it", []any{"err", err}})
	}
	if u.Reset || len(split.Rows) > 0 || len(split.DecodeErrors) > 0 {
		effs = append(effs, applyQuarantineRows{update: split, reset: u.Reset, at: u.At})
	}
	if longOutage {
		s.members.ExtendAfterOutage(since, u.At)
	}
	return append(effs, s.publishMembers(u.At))
}

// publishMembers returns the effect that publishes the live members at now, and whether
// their addresses may be given to callers.
func (s *state) publishMembers(now time.Time) setMembers {
	return setMembers{live: s.members.Roster(now, s.name), rowCount: s.members.Len(),
		current: s.members.Current(now, s.unavailableSince[membership.Table], s.name)}
}
