package node

import (
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// memberRanking holds what an instance derives from the ranking of the live members.
// Each function computes its result once for each roster, on first use: among hundreds
// of members rosters change many times a second, and most instances need little of it.
type memberRanking struct {
	roster          *membership.Roster
	callers         func() []*membership.Member // members that do not drain, ranked for callers
	standby         func() bool                 // reports whether callers are, or soon may be, given this instance's address
	ordersCandidate func() bool                 // reports whether this instance is a candidate for the orders lease
}

func newMemberRanking(name string, r *membership.Roster) *memberRanking {
	return &memberRanking{roster: r,
		callers:         sync.OnceValue(func() []*membership.Member { return rankedForCallers(r.Members) }),
		standby:         sync.OnceValue(func() bool { return isStandby(name, r) }),
		ordersCandidate: sync.OnceValue(func() bool { return isAmongFirst(name, r, leaseCandidates, ordersLease) })}
}

// isAmongFirst reports whether the instance named name is one of the first n members of
// r in the ranking for key.
func isAmongFirst(name string, r *membership.Roster, n int, key string) bool {
	self, ok := r.Member(name)
	return ok && route.RankOf(r.Members, memberName, key, self) < n
}

func memberName(m *membership.Member) string { return m.Name }

func memberCores(m *membership.Member) float64 { return m.Cores }

// ownerRankings caches the rankings of one roster's members as owners, so that each is
// computed once, however many submissions wait for an owner.
type ownerRankings struct {
	roster *membership.Roster
	byKey  map[string][]*membership.Member
}

// owners returns the members of r that may own the submission, in order of preference.
func (o *ownerRankings) owners(r *membership.Roster, h submission.Head) []*membership.Member {
	if o.roster != r {
		o.roster, o.byKey = r, map[string][]*membership.Member{}
	}
	key := ownerKey(h)
	ranked, ok := o.byKey[key]
	if !ok {
		ranked = owners(r.Members, h)
		o.byKey[key] = ranked
	}
	return ranked
}
