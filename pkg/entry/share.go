package entry

import (
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/route"
)

// share returns how many of the u.MaxInFlight requests that may be in flight at u are
// available to this instance. MaxInFlight is divided evenly, and the remainder goes to the
// instances that rank first for u's address. As long as all instances see the same members,
// the shares add up to MaxInFlight. An instance that is not among the members it sees has
// no share, unless it is draining and must finish its requests in flight. share returns 0
// if u has no limit and -1 if this instance has no share.
func (in *Instance) share(v *View, u catalogue.Upstream) int {
	if u.MaxInFlight == 0 {
		return 0
	}
	members := v.Routable()
	self := func(m Member) bool { return m.ID == in.cfg.ID }
	switch {
	case !v.Draining && !slices.ContainsFunc(members, self):
		return -1
	case len(members) == 0: // the last instance is draining
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

// acquire reserves a slot at u within this instance's share. It is freed with
// in.load.Release(u.Address).
func (in *Instance) acquire(v *View, u catalogue.Upstream) bool {
	share := in.share(v, u)
	return share >= 0 && in.load.Acquire(u.Address, share)
}
