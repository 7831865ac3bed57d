package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// QuarantinePrefix begins the keys of the rows that tell which requests crash
// upstreams. They lie in the members' table, as each instance follows that anyway.
func QuarantinePrefix() string { return membership.Prefix() + "quarantine/" }

const (
	// quarantineSweep is how often an instance looks for rows that are not needed any
	// longer.
	quarantineSweep = time.Minute
	// quarantinePause is the pause after rows could not be written.
	quarantinePause = 200 * time.Millisecond
	// quarantineBatch bounds the rows that are written in one transaction.
	quarantineBatch = 50
)

// quarantineRows keeps a guard's facts in the platform's store.
type quarantineRows struct {
	node  *Node
	guard *quarantine.Guard
	wake  wakeup
}

// quarantineRow is the value of a row, for those who read it: its key tells all.
type quarantineRow struct {
	At time.Time `json:"at"`
	By string    `json:"by"` // start of the instance that wrote it
}

func newQuarantineRows(n *Node) *quarantineRows {
	q := &quarantineRows{node: n, wake: newWakeup()}
	q.guard = quarantine.NewGuard(quarantine.Config{
		Gone:    n.cfg.Engines.Gone,
		Leaving: n.isLeaving,
		Claim:   q.claim,
		Start:   func(f func() error) { n.group.Go(f) },
		Changed: q.wake.ring,
		Observe: n.observer.quarantined,
	})
	return q
}

// isLeaving reports whether an upstream leaves by its own account: that it drains, or
// that its entry is gone.
func (n *Node) isLeaving(e upstream.Entry) bool {
	now, ok := n.registry.Entry(e.ID)
	return !ok || now.Draining && now.SameStart(e)
}

// claim implements quarantine.Config's Claim.
func (q *quarantineRows) claim(ctx context.Context, trial quarantine.Fact) (uint64, error) {
	op, err := q.put(trial)
	if err != nil {
		return 0, err
	}
	rows, err := q.node.cfg.Store.Commit(ctx, op)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflict.Current.Version, quarantine.ErrClaimed
	case err != nil:
		return 0, err
	}
	return rows[0].Version, nil
}

func (q *quarantineRows) put(f quarantine.Fact) (platform.Op, error) {
	return platform.Put(QuarantinePrefix()+f.Key(), 0, quarantineRow{At: time.Now(), By: q.node.start})
}

// keep writes what the guard learns, and deletes what it needs no longer, until ctx
// ends.
func (q *quarantineRows) keep(ctx context.Context) error {
	sweepAt := time.Now().Add(quarantineSweep)
	for ctx.Err() == nil {
		now := time.Now()
		p := q.guard.Pending(now, !now.Before(sweepAt) && q.sweeps())
		if !now.Before(sweepAt) {
			sweepAt = now.Add(quarantineSweep)
		}
		wait := sweepAt.Sub(now)
		if !p.NextAt.IsZero() {
			wait = min(wait, p.NextAt.Sub(now))
		}
		if !q.write(ctx, p) {
			wait = min(wait, quarantinePause)
		}
		q.wake.wait(ctx, wait)
	}
	return nil
}

// sweeps reports whether this instance deletes the rows that nobody needs.
func (q *quarantineRows) sweeps() bool {
	st := q.node.standing.Load()
	return st != nil && isAmongFirst(q.node.cfg.Name, st.roster, 1, QuarantinePrefix())
}

// write writes what is pending, and reports whether all of it is done.
func (q *quarantineRows) write(ctx context.Context, p quarantine.Pending) bool {
	ops := make([]platform.Op, 0, len(p.Put)+len(p.Delete))
	facts := make(map[string]quarantine.Fact, cap(ops))
	for _, f := range p.Put {
		op, err := q.put(f)
		if err != nil {
			q.node.cfg.Logger.Error("quarantine row", "err", err)
			continue
		}
		ops, facts[op.Key] = append(ops, op), f
	}
	for _, r := range p.Delete {
		op := platform.Delete(QuarantinePrefix()+r.Key(), r.Version)
		ops, facts[op.Key] = append(ops, op), r.Fact
	}
	for len(ops) > 0 {
		batch := ops[:min(len(ops), quarantineBatch)]
		err := q.commit(ctx, batch, facts)
		var conflict *platform.ConflictError
		switch {
		case errors.As(err, &conflict):
			ops = without(ops, conflict.Key)
		case err != nil:
			q.node.cfg.Logger.Debug("quarantine rows not written", "rows", len(ops), "err", err)
			return false
		default:
			ops = ops[len(batch):]
		}
	}
	return true
}

// commit commits ops, and tells the guard which of their facts are shared or gone. A
// row that another instance has written or deleted meanwhile ends it with a conflict,
// and is settled.
func (q *quarantineRows) commit(ctx context.Context, ops []platform.Op, facts map[string]quarantine.Fact) error {
	rows, err := q.node.cfg.Store.Commit(ctx, ops...)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		q.settled(facts[conflict.Key], conflict.Current.Version)
		return err
	}
	if err != nil {
		return err
	}
	for i, op := range ops {
		version := rows[i].Version
		if op.Delete {
			version = 0
		}
		q.settled(facts[op.Key], version)
	}
	return nil
}

// settled tells the guard that a fact's row has the version given, or is gone if that
// is zero.
func (q *quarantineRows) settled(f quarantine.Fact, version uint64) {
	if version == 0 {
		q.guard.Dropped(f)
		return
	}
	q.guard.Shared(f, version)
}

func without(ops []platform.Op, key string) []platform.Op {
	out := make([]platform.Op, 0, len(ops))
	for _, op := range ops {
		if op.Key != key {
			out = append(out, op)
		}
	}
	return out
}

// splitMembers returns the changes of members' rows in u, and those of rows of the
// quarantine.
func splitMembers(u feed.Update) (members []platform.Change, q learnQuarantine) {
	q = learnQuarantine{reset: u.Reset, at: u.At}
	for _, ch := range u.Changes {
		key, ok := strings.CutPrefix(ch.Key, QuarantinePrefix())
		if !ok {
			members = append(members, ch)
			continue
		}
		f, err := quarantine.ParseKey(key)
		if err != nil {
			q.unreadable = append(q.unreadable, err)
			continue
		}
		q.rows = append(q.rows, quarantine.Row{Fact: f, Version: ch.Version, Deleted: ch.Deleted})
	}
	return members, q
}

// learnQuarantine has the guard take rows that were read.
type learnQuarantine struct {
	rows       []quarantine.Row
	reset      bool
	at         time.Time
	unreadable []error
}

func (e learnQuarantine) carryOut(_ context.Context, n *Node) {
	if len(e.unreadable) > 0 {
		n.cfg.Logger.Warn("quarantine rows not understood", "err", errors.Join(e.unreadable...))
	}
	n.quarantine.guard.Apply(e.rows, e.reset, e.at)
}

// Release lets a content out of quarantine at all instances, and returns how many
// facts were known of it. It counts anew from then on.
func Release(ctx context.Context, store platform.Store, content quarantine.Fingerprint) (int, error) {
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
