package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

const (
	// AuditTable is the table of the audit trail of configurations. Its rows are never
	// changed or deleted. A row is a few hundred bytes.
	AuditTable = "audit"
	// auditors is the number of instances that write a change to the audit trail: more
	// than one, so that the loss of one leaves no gap, but not all, to limit the load
	// of the store.
	auditors = 3
	// auditDelay is the delay between a change and writing it. Instances that start
	// together know of each other by then, so that few of them write.
	auditDelay = 2 * time.Second
	// auditAttempts and auditRetryDelay limit how long writing a change is retried. It
	// is longer than most outages of the store.
	auditAttempts   = 20
	auditRetryDelay = time.Second
)

// AuditRecord is a change of the configuration in the audit trail. The record of a
// version is that of the first instance that wrote it.
type AuditRecord struct {
	Version         uint64    `json:"version"`
	PreviousVersion uint64    `json:"before"` // version previously in force at that instance; 0 for none
	SeenAt          time.Time `json:"seen_at"`
	SeenBy          string    `json:"seen_by"` // name of the instance
	Routes          int       `json:"routes"`
	routetable.Diff
}

// auditKey returns the key of the change to version. Keys sort by version.
func auditKey(version uint64) string { return fmt.Sprintf("%s//%020d", AuditTable, version) }

// recordChange makes t the newest configuration and queues the change for the audit
// trail.
func (s *state) recordChange(t *routetable.Table, at time.Time) {
	r := AuditRecord{Version: t.Version, SeenAt: at, SeenBy: s.name, Routes: t.RouteCount(), Diff: t.Compare(s.table)}
	if s.table != nil {
		r.PreviousVersion = s.table.Version
	}
	s.table, s.unauditedChanges = t, append(s.unauditedChanges, r)
}

// audit returns the effect that writes the queued changes, if this instance is one of
// the auditors.
func (s *state) audit(now time.Time) []effect {
	changes := s.unauditedChanges
	if len(changes) == 0 || !s.tablesRead[membership.Table] || now.Sub(changes[len(changes)-1].SeenAt) < auditDelay {
		return nil
	}
	s.unauditedChanges = nil
	if !isAmongFirst(s.name, s.members.Roster(now, s.name), auditors, AuditTable) {
		return nil
	}
	return []effect{writeAudit{changes}}
}

// writeAudit writes changes to the audit trail.
type writeAudit struct{ changes []AuditRecord }

func (e writeAudit) execute(ctx context.Context, n *Node) {
	n.group.Go(func() error {
		for _, r := range e.changes {
			if err := n.writeChange(ctx, r); err != nil {
				n.cfg.Logger.Warn("configuration change not written to the audit trail; giving up", "version", r.Version, "err", err)
			}
		}
		return nil
	})
}

// writeChange writes r, unless another instance has already.
func (n *Node) writeChange(ctx context.Context, r AuditRecord) error {
	op, err := platform.Put(auditKey(r.Version), 0, r)
	if err != nil {
		return err
	}
	for range auditAttempts {
		_, err = n.cfg.Store.Commit(ctx, op)
		var ce *platform.ConflictError
		if err == nil || errors.As(err, &ce) {
			return nil
		}
		if !clock.Sleep(ctx, auditRetryDelay) {
			return ctx.Err()
		}
	}
	return err
}
