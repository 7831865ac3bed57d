package node

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
)

// relayedMembers tracks what this instance, as a relay, passes on of the members table:
// which members are live and which are stale, without renewals of their rows, and the
// rows of quarantined requests.
type relayedMembers struct {
	quarantine map[string]platform.Row // by key

	// roster and rows are those last passed on. A nil roster means that nothing has
	// been passed on.
	roster            *membership.Roster
	rows              int
	quarantineChanged bool // rows of quarantined requests have changed since
}

// applyQuarantine applies changes of the rows of quarantined requests.
func (r *relayedMembers) applyQuarantine(changes []platform.Change, reset bool) {
	if reset || r.quarantine == nil {
		r.quarantineChanged = r.quarantineChanged || len(r.quarantine) > 0
		r.quarantine = map[string]platform.Row{}
	}
	for _, ch := range changes {
		if !strings.HasPrefix(ch.Key, QuarantinePrefix()) {
			continue
		}
		r.quarantineChanged = true
		if ch.Deleted {
			delete(r.quarantine, ch.Key)
			continue
		}
		r.quarantine[ch.Key] = ch.Row
	}
}

// relay returns the effect that passes on the members, if they have changed.
func (s *state) relay(t tick) []effect {
	r := &s.relayed
	if !t.Relays || !s.tablesRead[membership.Table] {
		r.roster = nil
		return nil
	}
	roster, rows := s.members.Roster(t.At, s.name), s.members.Len()
	if r.roster == roster && r.rows == rows && !r.quarantineChanged {
		return nil
	}
	r.roster, r.rows, r.quarantineChanged = roster, rows, false
	return []effect{relayMembers{states: s.members.RelayedMembers(t.At, s.name), quarantineRows: slices.Collect(maps.Values(r.quarantine)), at: t.At}}
}

// relayMembers publishes the members to the instances that follow tables through this
// one.
type relayMembers struct {
	states         []membership.RelayedMember
	quarantineRows []platform.Row
	at             time.Time
}

func (e relayMembers) execute(_ context.Context, n *Node) {
	rows := slices.Clone(e.quarantineRows)
	for _, rm := range e.states {
		value, err := n.encodedMembers.encode(rm)
		if err != nil {
			n.cfg.Logger.Error("encoding a member failed; not passing it on to followers", "member", rm.Name, "err", err)
			continue
		}
		rows = append(rows, platform.Row{Key: membership.Key(rm.Name), Value: value})
	}
	n.follower.SetDerived(membership.Table, rows, e.at)
}

// memberEncodings caches the encoding of members by name: of hundreds of members a few
// change at once. It is used only by the control goroutine.
type memberEncodings map[string]encodedMember

type encodedMember struct {
	membership.RelayedMember
	value []byte
}

func (m memberEncodings) encode(rm membership.RelayedMember) ([]byte, error) {
	if old, ok := m[rm.Name]; ok && old.RelayedMember == rm {
		return old.value, nil
	}
	value, err := rm.Encode()
	if err != nil {
		return nil, err
	}
	m[rm.Name] = encodedMember{rm, value}
	return value, nil
}

// Watch serves an instance that follows tables through this one. It is called for each
// such instance.
func (n *Node) Watch(ctx context.Context, tables []peer.WatchedTable, send func(peer.WatchUpdate) error) error {
	return n.follower.Watch(ctx, tables, send)
}

// Source returns the source through which the instance follows the store's tables.
func (n *Node) Source() watch.Source { return n.follower.Source() }
