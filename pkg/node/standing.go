package node

import (
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// standing is where an instance stands among the live members. It is derived once
// from each roster: a ranking looks at every member, and its results are wanted many
// times a second (BenchmarkIdleAmongHundreds has what that saves).
type standing struct {
	roster  *membership.Roster
	callers []membership.Member // as ranked for callers, without those that drain
	standby bool                // callers are told of this instance, or soon may be
	orders  bool                // this instance asks for the lease of the orders
}

func newStanding(name string, r *membership.Roster) *standing {
	callers := rankedForCallers(r.Members)
	return &standing{roster: r, callers: callers, standby: contains(standbys(callers), name), orders: isAmongFirst(name, r, orderCandidates, ordersLease)}
}

// isAmongFirst reports whether the instance named name is one of the first n members
// of r as key ranks them.
func isAmongFirst(name string, r *membership.Roster, n int, key string) bool {
	ranked := route.Rank(r.Members, func(m membership.Member) string { return m.Name }, key)
	return contains(ranked[:min(len(ranked), n)], name)
}

func contains(members []membership.Member, name string) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Name == name })
}

// ranks holds the rankings of one roster's members as owners, so that each is made
// once however many submissions wait for an owner.
type ranks struct {
	roster *membership.Roster
	byKey  map[string][]membership.Member
}

// owners returns the members of r that may own a submission, first the one that
// should.
func (x *ranks) owners(r *membership.Roster, h submission.Head) []membership.Member {
	if x.roster != r {
		x.roster, x.byKey = r, map[string][]membership.Member{}
	}
	key := ownerKey(h)
	ranked, ok := x.byKey[key]
	if !ok {
		ranked = owners(r.Members, h)
		x.byKey[key] = ranked
	}
	return ranked
}
