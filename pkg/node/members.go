package node

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
)

// onMembers takes changes of the members' rows. After the table was away, since the
// time given, members get time to renew theirs.
func (s *state) onMembers(u feed.Update, away bool, since time.Time) []effect {
	var effs []effect
	q := quarantine.SplitChanges(u.Changes, QuarantinePrefix())
	s.relayed.learn(u.Changes, u.Reset)
	apply := s.members.Apply
	if u.Relayed {
		apply = s.members.ApplyRelayed
	}
	if err := apply(q.Others, u.Reset, u.At); err != nil {
		effs = append(effs, note{"member not understood", []any{"err", err}})
	}
	if u.Reset || len(q.Rows) > 0 || len(q.DecodeErrors) > 0 {
		effs = append(effs, learnQuarantine{update: q, reset: u.Reset, at: u.At})
	}
	if away {
		s.members.ExtendAfterOutage(since, u.At)
	}
	return append(effs, s.tellMembers(u.At))
}

// tellMembers returns who is live at now, and whether that may be told to callers.
func (s *state) tellMembers(now time.Time) setMembers {
	return setMembers{live: s.members.Roster(now, s.name), rows: s.members.Size(),
		current: s.members.Current(now, s.awaySince[membership.Table], s.name)}
}
