package node

import (
	"math/rand/v2"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// maxAddresses is how many addresses a caller is told at the most.
	maxAddresses = 64
	// minAddresses and addressShare are how many of the instances callers are
	// told: enough to bear the loss of some, and few enough that the instances'
	// connections to plain services are used again before they are closed.
	minAddresses = 6
	addressShare = 0.1
	// standbyShare is how many instances keep ready to be told, in parts of
	// those that are: as many as half of them may be lost at once.
	standbyShare = 1.5
)

// addressKey ranks the instances that callers are told.
const addressKey = "callers"

// Addresses returns where callers may connect, in random order: some of the live
// instances that are not draining, the same ones from every instance, larger ones
// rather than small. An instance that knows of nobody tells its own. One that has
// lost the store leaves itself out, as it can keep no submission. Once what it knows
// of the others is old it tells its own only, which is there for sure: while the store
// is away for all and instances are replaced, callers would run out of addresses.
func (n *Node) Addresses() []string {
	st := n.standing.Load()
	if st == nil || !n.membersCurrent.Load() {
		return n.ownAddress()
	}
	out := toldAddresses(st.callers(), func(m *membership.Member) bool {
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

// toldAddresses returns the addresses of the members that callers are told, of those
// ranked for them, without those that except reports: of those that are missed soon
// after they are gone if there are any, as others may have gone long since.
func toldAddresses(ranked []*membership.Member, except func(*membership.Member) bool) []string {
	count := toldCount(len(ranked))
	able := slices.DeleteFunc(slices.Clone(ranked), except)
	if slices.ContainsFunc(able, func(m *membership.Member) bool { return m.Advertisable }) {
		able = slices.DeleteFunc(able, func(m *membership.Member) bool { return !m.Advertisable })
	}
	var out []string
	for _, m := range able[:min(count, len(able))] {
		out = append(out, m.Address)
	}
	return out
}

// callersHead has owners rank the instances that callers are told.
var callersHead = submission.Head{Host: addressKey}

func rankedForCallers(live []*membership.Member) []*membership.Member {
	return owners(live, callersHead)
}

// toldCount returns how many of n instances callers are told.
func toldCount(n int) int {
	return min(max(minAddresses, int(addressShare*float64(n))), n, maxAddresses)
}

// duty returns what others rely on this instance for.
func (n *Node) duty() membership.Role {
	if n.readers.owning() > 0 {
		return membership.Owner
	}
	if st := n.standing.Load(); n.follower.IsRelay() || st != nil && st.standby() {
		return membership.Advertised
	}
	return membership.Idle
}

// standbyCount returns how many of n instances, in the order in which they are ranked for
// callers, are told or would be if some of these were gone.
func standbyCount(n int) int { return min(int(standbyShare*float64(toldCount(n))), n) }

// isStandby reports whether the instance named name is one of these among r.
func isStandby(name string, r *membership.Roster) bool {
	self, ok := r.Member(name)
	if !ok || self.Draining {
		return false
	}
	callers := able(r.Members)
	return route.WeightedRankOf(callers, memberName, memberCores, ownerKey(callersHead), self) < standbyCount(len(callers))
}
