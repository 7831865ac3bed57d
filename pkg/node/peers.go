package node

import (
	"math/rand/v2"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
)

// Peers returns the addresses at which other instances can be asked to reach the
// store for this one, the ones to ask first first.
func (n *Node) Peers() []string {
	st := n.standing.Load()
	if st == nil {
		return nil
	}
	members := st.roster.Members
	return peersToAsk(members, n.cfg.Name, n.cfg.DataCentre, rand.Perm(len(members)))
}

// peersToAsk returns the addresses of the members other than self in the order
// given, but one of the own data centre first, as bytes between data centres are
// paid for, then those of others, as what cuts off an instance may have cut off its
// data centre, and last those that drain: they reach the store for some seconds
// more, and while instances are stopped in turn they can be all that do.
func peersToAsk(members []*membership.Member, self, dataCentre string, order []int) []string {
	var near, far, leaving []string
	for _, i := range order {
		m := members[i]
		switch {
		case m.Name == self || m.PeerAddress == "":
		case m.Draining:
			leaving = append(leaving, m.PeerAddress)
		case m.DataCentre == dataCentre:
			near = append(near, m.PeerAddress)
		default:
			far = append(far, m.PeerAddress)
		}
	}
	first := min(1, len(near))
	return slices.Concat(near[:first], far, near[first:], leaving)
}
