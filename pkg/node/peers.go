package node

import (
	"math/rand/v2"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
)

// Peers returns the addresses of other instances through which this one may reach the
// store, in the order in which they should be tried.
func (n *Node) Peers() []string {
	st := n.ranking.Load()
	if st == nil {
		return nil
	}
	members := st.roster.Members
	return orderPeers(members, n.cfg.Name, n.cfg.DataCentre, rand.Perm(len(members)))
}

// orderPeers returns the addresses of the members other than self. It keeps the given
// order, except that one member of the own data centre comes first, because traffic
// between data centres is billed, then those of other data centres, because what cuts
// off an instance may have cut off its data centre, then the rest of the own one.
// Members that drain come last: they can reach the store for some seconds more, and
// while instances are stopped one after the other they may be the only ones that do.
func orderPeers(members []*membership.Member, self, dataCentre string, order []int) []string {
	var near, far, draining []string
	for _, i := range order {
		m := members[i]
		switch {
		case m.Name == self || m.PeerAddress == "":
		case m.Draining:
			draining = append(draining, m.PeerAddress)
		case m.DataCentre == dataCentre:
			near = append(near, m.PeerAddress)
		default:
			far = append(far, m.PeerAddress)
		}
	}
	first := min(1, len(near))
	return slices.Concat(near[:first], far, near[first:], draining)
}
