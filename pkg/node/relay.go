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

// relayedMembers is what is passed on of the members' table to those who follow it
// through this instance: who is there and who has lapsed, without renewals, and the rows
// of quarantined requests.
type relayedMembers struct {
	quarantine map[string]platform.Row // by key

	// roster and rows are what was passed on last, roster nil for nothing.
	roster *membership.Roster
	rows   int
	anew   bool // rows of quarantined requests have changed since
}

// learn takes rows of quarantined requests.
func (r *relayedMembers) learn(changes []platform.Change, reset bool) {
	if reset || r.quarantine == nil {
		r.anew = r.anew || len(r.quarantine) > 0
		r.quarantine = map[string]platform.Row{}
	}
	for _, ch := range changes {
		if !strings.HasPrefix(ch.Key, QuarantinePrefix()) {
			continue
		}
		r.anew = true
		if ch.Deleted {
			delete(r.quarantine, ch.Key)
			continue
		}
		r.quarantine[ch.Key] = ch.Row
	}
}

// relay returns what is to be passed on of the members, if that has changed.
func (s *state) relay(t tick) []effect {
	r := &s.relayed
	if !t.Relays || !s.read[membership.Table] {
		r.roster = nil
		return nil
	}
	roster, rows := s.members.Roster(t.At, s.name), s.members.Size()
	if r.roster == roster && r.rows == rows && !r.anew {
		return nil
	}
	r.roster, r.rows, r.anew = roster, rows, false
	return []effect{relayMembers{told: s.members.RelayedMembers(t.At, s.name), others: slices.Collect(maps.Values(r.quarantine)), at: t.At}}
}

// relayMembers passes on what is known of the members.
type relayMembers struct {
	told   []membership.RelayedMember
	others []platform.Row
	at     time.Time
}

func (e relayMembers) carryOut(_ context.Context, n *Node) {
	rows := slices.Clone(e.others)
	for _, t := range e.told {
		value, err := n.told.encode(t)
		if err != nil {
			n.cfg.Logger.Error("member not passed on", "member", t.Name, "err", err)
			continue
		}
		rows = append(rows, platform.Row{Key: membership.Key(t.Name), Value: value})
	}
	n.follower.SetDerived(membership.Table, rows, e.at)
}

// toldMembers keeps members as they were last encoded: of hundreds a few change at once.
// It belongs to the control goroutine.
type toldMembers map[string]toldMember

type toldMember struct {
	membership.RelayedMember
	value []byte
}

func (m toldMembers) encode(t membership.RelayedMember) ([]byte, error) {
	if old, ok := m[t.Name]; ok && old.RelayedMember == t {
		return old.value, nil
	}
	value, err := t.Encode()
	if err != nil {
		return nil, err
	}
	m[t.Name] = toldMember{t, value}
	return value, nil
}

// Watch answers those who follow tables through this instance.
func (n *Node) Watch(ctx context.Context, tables []peer.WatchedTable, send func(peer.WatchUpdate) error) error {
	return n.follower.Watch(ctx, tables, send)
}

// Source returns what the instance follows the store's tables by.
func (n *Node) Source() watch.Source { return n.follower.Source() }
