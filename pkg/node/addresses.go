package node

import (
	"math/rand/v2"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// maxAddresses is the maximum number of addresses given to a caller.
	maxAddresses = 64
	// minAddresses and addressShare determine how many instances are advertised to
	// callers: enough that the loss of some is tolerable, and few enough that
	// connections from the instances to plain services are reused before they are
	// closed for idleness.
	minAddresses = 6
	addressShare = 0.1
	// standbyFactor is the number of instances that are ready to be advertised,
	// relative to the number advertised. Up to half of the advertised ones may be lost
	// at once.
	standbyFactor = 1.5
)

// addressRankKey is the key by which instances are ranked for callers.
const addressRankKey = "callers"

// Addresses returns the addresses that callers may connect to, in random order. They
// are those of some of the live instances that do not drain, the same from every
// instance, with a preference for larger instances.
//
// An instance that knows of no other member returns its own address. One that cannot
// reach the store leaves itself out, because it cannot accept submissions. If the
// member table has been unavailable too long, an instance returns only its own address,
// which is certain to be live: otherwise, when the store is unavailable for all
// instances while instances are replaced, callers would run out of usable addresses.
func (n *Node) Addresses() []string {
	st := n.ranking.Load()
	if st == nil || !n.membersCurrent.Load() {
		return n.ownAddress()
	}
	out := advertisedAddresses(st.callers(), func(m *membership.Member) bool {
		return m.Name == n.cfg.Name && (!n.Ready() || n.cfg.StoreReachability.Unreachable())
	})
	if len(out) == 0 {
		return n.ownAddress()
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (n *Node) ownAddress() []string {
	if !n.Ready() {
		return nil
	}
	return []string{n.cfg.Address}
}

// advertisedAddresses returns the addresses given to callers, from the members as
// ranked for callers, without those for which except returns true. If any are
// advertisable, which means that a failure is detected quickly, only those are used:
// the others may have been gone for long.
func advertisedAddresses(ranked []*membership.Member, except func(*membership.Member) bool) []string {
	count := advertisedCount(len(ranked))
	usable := slices.DeleteFunc(slices.Clone(ranked), except)
	if slices.ContainsFunc(usable, func(m *membership.Member) bool { return m.Advertisable }) {
		usable = slices.DeleteFunc(usable, func(m *membership.Member) bool { return !m.Advertisable })
	}
	var out []string
	for _, m := range usable[:min(count, len(usable))] {
		out = append(out, m.Address)
	}
	return out
}

// callersHead makes owners rank the instances for callers.
var callersHead = submission.Head{Host: addressRankKey}

func rankedForCallers(live []*membership.Member) []*membership.Member {
	return owners(live, callersHead)
}

// advertisedCount returns how many of n instances are advertised to callers.
func advertisedCount(n int) int {
	return min(max(minAddresses, int(addressShare*float64(n))), n, maxAddresses)
}

// role returns what other processes rely on this instance for.
func (n *Node) role() membership.Role {
	if n.reader.runCount() > 0 {
		return membership.Owner
	}
	if st := n.ranking.Load(); n.follower.IsRelay() || st != nil && st.standby() {
		return membership.Advertised
	}
	return membership.Idle
}

// standbyCount returns how many of n instances, in rank order for callers, are
// advertised or would be if some of them were lost.
func standbyCount(n int) int { return min(int(standbyFactor*float64(advertisedCount(n))), n) }

// isStandby reports whether the instance named name is one of the standbyCount first
// members of r.
func isStandby(name string, r *membership.Roster) bool {
	self, ok := r.Member(name)
	if !ok || self.Draining {
		return false
	}
	callers := nonDraining(r.Members)
	return route.WeightedRankOf(callers, memberName, memberCores, ownerKey(callersHead), self) < standbyCount(len(callers))
}
