package entry

import (
	"context"
	"slices"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// newHints returns the hints with which in notifies its peers of changes.
func newHints(in *Instance) *peer.Hints {
	return peer.NewHints(peer.HintsConfig{
		Listener: in.cfg.PeerListener, Listen: in.cfg.PeerListen, KeepAlive: in.cfg.PeerKeepAlive,
		Go:      func(f func() error) { in.group.Go(f) },
		Targets: in.hintTargets,
		Receive: func(ctx context.Context, h *peerpb.Hint) {
			in.post(ctx, control.PeerNotified{Revision: h.CatalogueRevision, Draining: h.Draining, Steps: h.Steps})
		},
	})
}

// hintTargets returns the peer addresses to which in sends hints.
func (in *Instance) hintTargets() []string {
	members := in.View().Members
	self := slices.IndexFunc(members, func(m Member) bool { return m.ID == in.cfg.ID })
	var out []string
	for _, m := range peer.Fingers(members, self) {
		if m.ID != in.cfg.ID && m.PeerAddress != "" {
			out = append(out, m.PeerAddress)
		}
	}
	return out
}

// hintMessage returns the peer message for e.
func (in *Instance) hintMessage(e control.NotifyPeers) *peerpb.Hint {
	return &peerpb.Hint{From: in.cfg.ID, CatalogueRevision: e.Revision, Draining: e.Draining, Steps: e.Steps}
}
