package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

const (
	// sweepPeriod is how often an instance looks for rows that are not needed any longer.
	sweepPeriod = time.Minute
	// writePause is the pause after rows could not be written.
	writePause = 200 * time.Millisecond
	// writeTime bounds one write.
	writeTime = 2 * time.Second
	// batchRows bounds the rows that are written in one transaction.
	batchRows = 50
)

// SyncerConfig configures a Keeper.
type SyncerConfig struct {
	Guard Config // its Claim and Changed are the Keeper's
	// Commit writes rows of the platform's store.
	Commit func(ctx context.Context, ops ...platform.Op) ([]platform.Row, error)
	// Prefix begins the keys of the rows.
	Prefix string
	// Writer is the start of the instance, for those who read the rows.
	Writer string
	// IsSweeper reports whether this instance deletes the rows that nobody needs.
	IsSweeper func() bool
	// OnWriteError is told of a write that failed.
	OnWriteError func(rows int, err error)
}

// Syncer keeps the facts of a Guard as rows of the platform's store. Whoever reads the
// rows hands them to Learn.
type Syncer struct {
	Guard *Guard
	cfg   SyncerConfig
	wake  clock.Wakeup
}

// NewSyncer returns a Keeper and its Guard. Call Run.
func NewSyncer(cfg SyncerConfig) *Syncer {
	k := &Syncer{cfg: cfg, wake: clock.NewWakeup()}
	cfg.Guard.ClaimTrial, cfg.Guard.OnChange = k.claim, k.wake.Signal
	k.Guard = NewGuard(cfg.Guard)
	return k
}

// rowValue is the value of a row.
type rowValue struct {
	At       time.Time `json:"at"`
	By       string    `json:"by"` // start of the instance that wrote it
	Unlikely bool      `json:"unlikely,omitempty"`
	Apart    []string  `json:"apart,omitempty"`
}

func (k *Syncer) put(r Row) (platform.Op, error) {
	return platform.Put(k.cfg.Prefix+r.Key(), 0, rowValue{At: time.Now(), By: k.cfg.Writer, Unlikely: r.UnlikelyCause, Apart: r.UnrelatedCrashes})
}

// claim implements Config's Claim.
func (k *Syncer) claim(ctx context.Context, trial Fact) (uint64, error) {
	op, err := k.put(Row{Fact: trial})
	if err != nil {
		return 0, err
	}
	rows, err := k.cfg.Commit(ctx, op)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflict.Current.Version, ErrTrialClaimed
	case err != nil:
		return 0, err
	}
	return rows[0].Version, nil
}

// Run writes what the Guard learns, and deletes what it needs no longer, until ctx
// ends.
func (k *Syncer) Run(ctx context.Context) error {
	sweepAt := time.Now().Add(sweepPeriod)
	for ctx.Err() == nil {
		now := time.Now()
		sweep := !now.Before(sweepAt)
		if sweep {
			sweepAt = now.Add(sweepPeriod)
		}
		p := k.Guard.Pending(now, sweep && k.cfg.IsSweeper())
		wait := sweepAt.Sub(now)
		if !p.NextAt.IsZero() {
			wait = min(wait, p.NextAt.Sub(now))
		}
		if err := k.write(ctx, p); err != nil {
			k.cfg.OnWriteError(len(p.Put)+len(p.Delete), err)
			wait = min(wait, writePause)
		}
		k.wake.Wait(ctx, wait)
	}
	return nil
}

// write writes what is pending.
func (k *Syncer) write(ctx context.Context, p Pending) error {
	ops := make([]platform.Op, 0, len(p.Put)+len(p.Delete))
	facts := make(map[string]Fact, cap(ops))
	for _, r := range p.Put {
		op, err := k.put(r)
		if err != nil {
			return err
		}
		ops, facts[op.Key] = append(ops, op), r.Fact
	}
	for _, r := range p.Delete {
		op := platform.Delete(k.cfg.Prefix+r.Key(), r.Version)
		ops, facts[op.Key] = append(ops, op), r.Fact
	}
	for len(ops) > 0 {
		batch := ops[:min(len(ops), batchRows)]
		err := k.commit(ctx, batch, facts)
		var conflict *platform.ConflictError
		switch {
		case errors.As(err, &conflict):
			ops = without(ops, conflict.Key)
		case err != nil:
			return err
		default:
			ops = ops[len(batch):]
		}
	}
	return nil
}

// commit commits ops, and tells the Guard which of their facts are shared or gone. A
// row that another instance has written or deleted meanwhile ends it with a conflict,
// and is settled.
func (k *Syncer) commit(ctx context.Context, ops []platform.Op, facts map[string]Fact) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	rows, err := k.cfg.Commit(ctx, ops...)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		k.settled(facts[conflict.Key], conflict.Current.Version)
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
		k.settled(facts[op.Key], version)
	}
	return nil
}

// settled tells the Guard that a fact's row has the version given, or is gone if that
// is zero.
func (k *Syncer) settled(f Fact, version uint64) {
	if version == 0 {
		k.Guard.MarkDeleted(f)
		return
	}
	k.Guard.MarkShared(f, version)
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

// Update is what was read of a table: the rows of facts in it, and the other rows.
type Update struct {
	Rows         []Row
	Others       []platform.Change
	DecodeErrors []error // of keys that tell no fact
}

// SplitChanges parts changes of a table into rows of facts, whose keys begin with prefix, and
// others.
func SplitChanges(changes []platform.Change, prefix string) Update {
	var u Update
	for _, ch := range changes {
		key, ok := strings.CutPrefix(ch.Key, prefix)
		if !ok {
			u.Others = append(u.Others, ch)
			continue
		}
		r, err := parseRow(key, ch)
		if err != nil {
			u.DecodeErrors = append(u.DecodeErrors, err)
			continue
		}
		u.Rows = append(u.Rows, r)
	}
	return u
}

// parseRow reads the row of a fact, whose key ends in key.
func parseRow(key string, ch platform.Change) (Row, error) {
	f, err := ParseKey(key)
	r := Row{Fact: f, Version: ch.Version, Deleted: ch.Deleted}
	if err != nil || ch.Deleted {
		return r, err
	}
	var v rowValue
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		return r, fmt.Errorf("quarantine: %s: %w", key, err)
	}
	r.UnlikelyCause, r.UnrelatedCrashes = v.Unlikely, v.Apart
	return r, nil
}
