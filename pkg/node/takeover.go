package node

import (
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// takeOver returns effects that take over open submissions which no live instance runs.
// The live instance that ranks first for a submission takes it over; each next one
// tries successionInterval later, in case those before it fail.
func (s *state) takeOver(now time.Time) []effect {
	if !s.tablesRead[membership.Table] || len(s.unavailableSince) > 0 {
		return nil
	}
	live := s.members.Roster(now, s.name)
	var effs []effect
	for id, head := range s.heads {
		ownedByOther := live.HasStartID(head.Owner) && head.Owner != s.startID
		if !head.Open() || s.running[id] || ownedByOther && head.Claimed {
			delete(s.orphans, id)
			continue
		}
		since, ok := s.orphans[id]
		if !ok {
			since = now
			s.orphans[id] = now
		}
		if now.Before(s.retryAt[id]) || now.Sub(since) < s.orphanWait(head, ownedByOther, live) {
			continue
		}
		s.running[id] = true
		effs = append(effs, logInfo{"adopting", []any{"submission", id, "owner", head.Owner, "orphan_for", now.Sub(since)}}, takeOver{head})
	}
	return effs
}

// orphanWait returns how long this instance waits before it takes over an orphan, which
// is an open submission that no live instance runs. ownerLive means that its owner is
// among the members but has not claimed it.
func (s *state) orphanWait(head submission.HeadRow, ownerLive bool, members *membership.Roster) time.Duration {
	name := membership.NameOf(head.Owner)
	if name == s.name {
		return 0 // this process, or an earlier one of the same instance
	}
	wait := s.rankDelay(head, members)
	_, known := s.members.StartIDOf(name)
	switch {
	case ownerLive:
		return claimTimeout + wait
	case head.Owner == "", known:
		return wait // released by its owner, which has restarted or is stale
	}
	return orphanDelay + wait
}

// rankDelay returns how long this instance waits for the live instances that rank before
// it as owners of an orphan, other than the owner itself.
func (s *state) rankDelay(head submission.HeadRow, members *membership.Roster) time.Duration {
	i := 0
	for _, m := range s.ownerRankings.owners(members, head.Head) {
		if m.Name == s.name {
			break
		}
		if m.StartID != head.Owner {
			i++
		}
	}
	return time.Duration(i) * successionInterval
}

// ownerKey returns the key for which owners are ranked. Submissions with the same key
// are run by one instance.
func ownerKey(h submission.Head) string {
	if h.Model != "" {
		return h.Model
	}
	return h.Host + h.Path
}

// owners returns the members that may own a submission, in order of preference.
// Submissions of one model go to the same instance, so that its connections to the
// engines are reused. Larger instances own more submissions.
func owners(members []*membership.Member, h submission.Head) []*membership.Member {
	return route.RankWeighted(nonDraining(members), memberName, memberCores, ownerKey(h))
}

// nonDraining returns the members that accept new work.
func nonDraining(members []*membership.Member) []*membership.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *membership.Member) bool { return m.Draining })
}
