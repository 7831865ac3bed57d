package entry

import (
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/route"
)

// share returns how many requests this instance may have in flight at u, of
// the u.MaxInFlight that the whole system may: an even part, the remainder
// going to the instances that u's address ranks first. While instances agree
// on membership the parts add up to MaxInFlight; an instance that is not among
// the members it sees has no part, but while it drains, to finish what it has
// in flight. It returns 0 if u has no limit, and -1 if
// this instance's part is none.
func (in *Instance) share(v *View, u catalogue.Upstream) int {
	if u.MaxInFlight == 0 {
		return 0
	}
	members := v.Routable()
	self := func(m Member) bool { return m.ID == in.cfg.ID }
	switch {
	case !v.Draining && !slices.ContainsFunc(members, self):
		return -1
	case len(members) == 0: // the last one, draining
		return u.MaxInFlight
	}
	part := u.MaxInFlight / len(members)
	rank := route.Rank(members, func(m Member) string { return m.ID }, u.Address)
	first := rank[:u.MaxInFlight%len(members)]
	if slices.ContainsFunc(first, self) {
		part++
	}
	if part == 0 {
		return -1
	}
	return part
}

// enter takes a place at u within this instance's share of it, to be given
// back by in.load.Release(u.Address).
func (in *Instance) enter(v *View, u catalogue.Upstream) bool {
	share := in.share(v, u)
	return share >= 0 && in.load.Acquire(u.Address, share)
}
