package node

import (
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// standing is where an instance stands among the live members. What it tells is worked
// out once for each roster, when it is wanted first: among hundreds of members rosters
// change many times a second, and most instances want little of it.
type standing struct {
	roster  *membership.Roster
	callers func() []*membership.Member // as ranked for callers, without those that drain
	standby func() bool                 // callers are told of this instance, or soon may be
	orders  func() bool                 // this instance asks for the lease of the orders
}

func newStanding(name string, r *membership.Roster) *standing {
	return &standing{roster: r,
		callers: sync.OnceValue(func() []*membership.Member { return rankedForCallers(r.Members) }),
		standby: sync.OnceValue(func() bool { return isStandby(name, r) }),
		orders:  sync.OnceValue(func() bool { return isAmongFirst(name, r, orderCandidates, ordersLease) })}
}

// isAmongFirst reports whether the instance named name is one of the first n members
// of r as key ranks them.
func isAmongFirst(name string, r *membership.Roster, n int, key string) bool {
	self, ok := r.Member(name)
	return ok && route.RankOf(r.Members, memberName, key, self) < n
}

func memberName(m *membership.Member) string { return m.Name }

func memberCores(m *membership.Member) float64 { return m.Cores }

// ranks holds the rankings of one roster's members as owners, so that each is made
// once however many submissions wait for an owner.
type ranks struct {
	roster *membership.Roster
	byKey  map[string][]*membership.Member
}

// owners returns the members of r that may own a submission, first the one that
// should.
func (x *ranks) owners(r *membership.Roster, h submission.Head) []*membership.Member {
	if x.roster != r {
		x.roster, x.byKey = r, map[string][]*membership.Member{}
	}
	key := ownerKey(h)
	ranked, ok := x.byKey[key]
	if !ok {
		ranked = owners(r.Members, h)
		x.byKey[key] = ranked
	}
	return ranked
}
