package node

import (
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// adopt takes over open submissions that no live instance runs. Of the live
// instances the one that the submission ranks first adopts it, and each next
// one after successionPeriod more, should those before it not manage to.
func (s *state) adopt(now time.Time) []effect {
	if !s.read[membership.Table] || len(s.awaySince) > 0 {
		return nil
	}
	live := s.members.Roster(now, s.name)
	var effs []effect
	for id, o := range s.heads {
		theirs := live.HasStartID(o.Owner) && o.Owner != s.start
		if !o.Open() || s.running[id] || theirs && o.Claimed {
			delete(s.orphans, id)
			continue
		}
		since, ok := s.orphans[id]
		if !ok {
			since = now
			s.orphans[id] = now
		}
		if now.Before(s.retryAt[id]) || now.Sub(since) < s.patience(o, theirs, live) {
			continue
		}
		s.running[id] = true
		effs = append(effs, note{"adopting", []any{"submission", id, "owner", o.Owner, "orphan_for", now.Sub(since)}}, adopt{o})
	}
	return effs
}

// patience is how long this instance leaves an orphan to others. live says that
// its owner is among the members, but has not claimed it.
func (s *state) patience(o submission.HeadRow, live bool, members *membership.Roster) time.Duration {
	name := membership.NameOf(o.Owner)
	if name == s.name {
		return 0 // this start, or an earlier one of the same instance
	}
	wait := s.rank(o, members)
	_, known := s.members.StartIDOf(name)
	switch {
	case live:
		return claimPatience + wait
	case o.Owner == "", known:
		return wait // given up by its owner, which has started again or lapsed
	}
	return orphanPatience + wait
}

// rank is how long this instance leaves an orphan to those before it in rank.
func (s *state) rank(o submission.HeadRow, members *membership.Roster) time.Duration {
	i := 0
	for _, m := range s.ranks.owners(members, o.Head) {
		if m.Name == s.name {
			break
		}
		if m.StartID != o.Owner {
			i++
		}
	}
	return time.Duration(i) * successionPeriod
}

// ownerKey names the submissions that are run by one instance.
func ownerKey(h submission.Head) string {
	if h.Model != "" {
		return h.Model
	}
	return h.Host + h.Path
}

// owners returns the members that may own a submission, first the one that
// should. Those of one model go to the same instance, so that its connections
// to the engines are used again and again, and larger instances own more.
func owners(members []*membership.Member, h submission.Head) []*membership.Member {
	return route.RankWeighted(able(members), memberName, memberCores, ownerKey(h))
}

// able returns the members that take on work: those that do not drain.
func able(members []*membership.Member) []*membership.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *membership.Member) bool { return m.Draining })
}
