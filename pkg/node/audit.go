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
	// AuditTable is the table of the audit trail of configurations. Its rows are
	// never changed and stay for good; one is a few hundred bytes.
	AuditTable = "audit"
	// auditors is how many instances write a change to the audit trail, so that
	// the loss of one leaves no gap and the store is not asked by all.
	auditors = 3
	// auditAfter is how long after a change it is written: instances that start
	// together know each other by then, and few of them write.
	auditAfter = 2 * time.Second
	// auditTries and auditPause bound how long a change is tried to be written:
	// longer than most outages of the store.
	auditTries = 20
	auditPause = time.Second
)

// AuditRecord is a change of the configuration, as the audit trail keeps it: the first
// instance that wrote of a version tells.
type AuditRecord struct {
	Version         uint64    `json:"version"`
	PreviousVersion uint64    `json:"before"` // version in force there before; 0 for none
	SeenAt          time.Time `json:"seen_at"`
	SeenBy          string    `json:"seen_by"` // instance
	Routes          int       `json:"routes"`
	routetable.Diff
}

// auditKey returns the key of the change to version; keys are in order of version.
func auditKey(version uint64) string { return fmt.Sprintf("%s//%020d", AuditTable, version) }

// record writes down that t came into force, to be written to the audit trail.
func (s *state) record(t *routetable.Table, at time.Time) {
	c := AuditRecord{Version: t.Version, SeenAt: at, SeenBy: s.name, Routes: t.RouteCount(), Diff: t.Compare(s.table)}
	if s.table != nil {
		c.PreviousVersion = s.table.Version
	}
	s.table, s.unwritten = t, append(s.unwritten, c)
}

// audit has the changes written that no effect writes yet, if this instance is
// one of those that do.
func (s *state) audit(now time.Time) []effect {
	changes := s.unwritten
	if len(changes) == 0 || !s.read[membership.Table] || now.Sub(changes[len(changes)-1].SeenAt) < auditAfter {
		return nil
	}
	s.unwritten = nil
	if !isAmongFirst(s.name, s.members.Roster(now, s.name), auditors, AuditTable) {
		return nil
	}
	return []effect{writeAudit{changes}}
}

type writeAudit struct{ changes []AuditRecord }

func (e writeAudit) carryOut(ctx context.Context, n *Node) {
	n.group.Go(func() error {
		for _, c := range e.changes {
			if err := n.writeChange(ctx, c); err != nil {
				n.cfg.Logger.Warn("audit not written", "version", c.Version, "err", err)
			}
		}
		return nil
	})
}

// writeChange writes c, unless another instance has.
func (n *Node) writeChange(ctx context.Context, c AuditRecord) error {
	op, err := platform.Put(auditKey(c.Version), 0, c)
	if err != nil {
		return err
	}
	for range auditTries {
		_, err = n.cfg.Store.Commit(ctx, op)
		var ce *platform.ConflictError
		if err == nil || errors.As(err, &ce) {
			return nil
		}
		if !clock.Sleep(ctx, auditPause) {
			return ctx.Err()
		}
	}
	return err
}
