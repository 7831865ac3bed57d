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

// QuarantinePrefix returns the key prefix of the rows that record which requests crash
// upstreams. They are in the members table because each instance follows that table
// anyway.
func QuarantinePrefix() string { return membership.Prefix() + "quarantine/" }

// newQuarantine returns the Syncer of the guard that keeps requests that crash
// upstreams away from them.
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
		Writer: n.startID,
		IsSweeper: func() bool {
			st := n.ranking.Load()
			return st != nil && isAmongFirst(n.cfg.Name, st.roster, 1, QuarantinePrefix())
		},
		OnWriteError: func(rows int, err error) {
			n.cfg.Logger.Debug("writing quarantine rows failed; retrying", "rows", rows, "err", err)
		},
	})
}

// isLeaving reports whether an upstream announced that it leaves: it drains, or its
// entry is gone.
func (n *Node) isLeaving(e upstream.Entry) bool {
	now, ok := n.registry.Entry(e.ID)
	return !ok || now.Draining && now.SameProcess(e)
}

// applyQuarantineRows applies rows that were read to the guard.
type applyQuarantineRows struct {
	update quarantine.Update
	reset  bool
	at     time.Time
}

func (e applyQuarantineRows) execute(_ context.Context, n *Node) {
	if len(e.update.DecodeErrors) > 0 {
		n.cfg.Logger.Warn("malformed quarantine rows; ignoring them", "err", errors.Join(e.update.DecodeErrors...))
	}
	n.quarantine.Guard.Apply(e.update.Rows, e.reset, e.at)
}

// ReleaseQuarantine lifts the quarantine of the content fingerprint at all instances,
// and returns how many rows about it were deleted. Crashes are counted from zero
// afterwards.
func ReleaseQuarantine(ctx context.Context, store platform.Store, content quarantine.Fingerprint) (int, error) {
	prefix := QuarantinePrefix() + content.String() + "/"
	page, err := store.ScanFrom(ctx, prefix, "", maxReleaseRows)
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

// maxReleaseRows is the maximum number of rows that ReleaseQuarantine deletes. One
// content has fewer, unless many instances could not reach the store.
const maxReleaseRows = 100
