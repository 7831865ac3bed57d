package node

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// QuarantinePrefix begins the keys of the rows that tell which requests crash
// upstreams. They lie in the members' table, as each instance follows that anyway.
func QuarantinePrefix() string { return membership.Prefix() + "quarantine/" }

// newQuarantine returns what keeps requests that crash upstreams from them.
func newQuarantine(n *Node) *quarantine.Syncer {
	return quarantine.NewSyncer(quarantine.SyncerConfig{
		Guard: quarantine.Config{
			NotListening: n.cfg.Upstreams.NotListening,
			IsLeaving:    n.isLeaving,
			Go:           func(f func() error) { n.group.Go(f) },
			OnEvent:      n.observer.quarantined,
		},
		Commit: n.cfg.Store.Commit,
		Prefix: QuarantinePrefix(),
		Writer: n.start,
		IsSweeper: func() bool {
			st := n.standing.Load()
			return st != nil && isAmongFirst(n.cfg.Name, st.roster, 1, QuarantinePrefix())
		},
		OnWriteError: func(rows int, err error) {
			n.cfg.Logger.Debug("quarantine rows not written", "rows", rows, "err", err)
		},
	})
}

// isLeaving reports whether an upstream leaves by its own account: that it drains, or
// that its entry is gone.
func (n *Node) isLeaving(e upstream.Entry) bool {
	now, ok := n.registry.Entry(e.ID)
	return !ok || now.Draining && now.SameProcess(e)
}

// learnQuarantine has the guard take rows that were read.
type learnQuarantine struct {
	update quarantine.Update
	reset  bool
	at     time.Time
}

func (e learnQuarantine) carryOut(_ context.Context, n *Node) {
	if len(e.update.DecodeErrors) > 0 {
		n.cfg.Logger.Warn("quarantine rows not understood", "err", errors.Join(e.update.DecodeErrors...))
	}
	n.quarantine.Guard.Apply(e.update.Rows, e.reset, e.at)
}

// ReleaseQuarantine lets a content out of quarantine at all instances, and returns how many
// facts were known of it. It counts anew from then on.
func ReleaseQuarantine(ctx context.Context, store platform.Store, content quarantine.Fingerprint) (int, error) {
	prefix := QuarantinePrefix() + content.String() + "/"
	page, err := store.ScanFrom(ctx, prefix, "", releaseRows)
	if err != nil || len(page.Rows) == 0 {
		return 0, err
	}
	ops := make([]platform.Op, len(page.Rows))
	for i, r := range page.Rows {
		ops[i] = platform.Delete(r.Key, r.Version)
	}
	_, err = store.Commit(ctx, ops...)
	return len(ops), err
}

// releaseRows is how many rows Release deletes at the most: more than there are of one
// content, unless many instances were without the store.
const releaseRows = 100
