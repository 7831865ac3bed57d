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
	// sweepPeriod is the time between two deletions of expired rows.
	sweepPeriod = time.Minute
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 200 * time.Millisecond
	// writeTimeout bounds one transaction.
	writeTimeout = 2 * time.Second
	// maxBatchRows bounds the rows written in one transaction.
	maxBatchRows = 50
)

// SyncerConfig configures a Syncer.
type SyncerConfig struct {
	Guard Config // the Syncer sets ClaimTrial and OnChange
	// Commit writes rows of the platform's store in one transaction.
	Commit func(ctx context.Context, ops ...platform.Op) ([]platform.Row, error)
	// Prefix is the prefix of the rows' keys.
	Prefix string
	// Writer identifies this process of the instance in the rows, for readers of the
	// table.
	Writer string
	// IsSweeper reports whether this instance deletes expired rows.
	IsSweeper func() bool
	// OnWriteError is called after a failed write with the number of rows pending.
	OnWriteError func(rows int, err error)
}

// Syncer writes the facts of a Guard as rows of the platform's store. The reader of the
// table passes the rows to Guard.Apply.
type Syncer struct {
	Guard *Guard
	cfg   SyncerConfig
	wake  clock.Wakeup
}

// NewSyncer returns a Syncer and its Guard. Facts are written only while Run runs.
func NewSyncer(cfg SyncerConfig) *Syncer {
	s := &Syncer{cfg: cfg, wake: clock.NewWakeup()}
	cfg.Guard.ClaimTrial, cfg.Guard.OnChange = s.claim, s.wake.Signal
	s.Guard = NewGuard(cfg.Guard)
	return s
}

// rowValue is the value of a row.
type rowValue struct {
	At       time.Time `json:"at"`
	By       string    `json:"by"`                 // process of the instance that wrote the row
	Unlikely bool      `json:"unlikely,omitempty"` // Row.UnlikelyCause
	Apart    []string  `json:"apart,omitempty"`    // Row.UnrelatedCrashes
}

func (s *Syncer) putOp(r Row) (platform.Op, error) {
	return platform.Put(s.cfg.Prefix+r.Key(), 0, rowValue{At: time.Now(), By: s.cfg.Writer, Unlikely: r.UnlikelyCause, Apart: r.UnrelatedCrashes})
}

// claim implements Config.ClaimTrial.
func (s *Syncer) claim(ctx context.Context, trial Fact) (uint64, error) {
	op, err := s.putOp(Row{Fact: trial})
	if err != nil {
		return 0, err
	}
	rows, err := s.cfg.Commit(ctx, op)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return conflict.Current.Version, ErrTrialClaimed
	case err != nil:
		return 0, err
	}
	return rows[0].Version, nil
}

// Run writes the facts of the Guard and deletes the rows that are no longer needed
// until ctx is done, and stops the Guard then. It always returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	defer s.Guard.Stop()
	sweepAt := time.Now().Add(sweepPeriod)
	for ctx.Err() == nil {
		now := time.Now()
		sweep := !now.Before(sweepAt)
		if sweep {
			sweepAt = now.Add(sweepPeriod)
		}
		p := s.Guard.Pending(now, sweep && s.cfg.IsSweeper())
		pause := sweepAt.Sub(now)
		if !p.NextAt.IsZero() {
			pause = min(pause, p.NextAt.Sub(now))
		}
		if err := s.write(ctx, p); err != nil {
			s.cfg.OnWriteError(len(p.Put)+len(p.Delete), err)
			pause = min(pause, writeRetryDelay)
		}
		s.wake.Wait(ctx, pause)
	}
	return nil
}

// write writes the pending rows in batches.
func (s *Syncer) write(ctx context.Context, p Pending) error {
	ops := make([]platform.Op, 0, len(p.Put)+len(p.Delete))
	facts := make(map[string]Fact, cap(ops))
	for _, r := range p.Put {
		op, err := s.putOp(r)
		if err != nil {
			return err
		}
		ops, facts[op.Key] = append(ops, op), r.Fact
	}
	for _, r := range p.Delete {
		op := platform.Delete(s.cfg.Prefix+r.Key(), r.Version)
		ops, facts[op.Key] = append(ops, op), r.Fact
	}
	for len(ops) > 0 {
		batch := ops[:min(len(ops), maxBatchRows)]
		err := s.commit(ctx, batch, facts)
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

// commit commits ops and records in the Guard which facts have rows and which are
// deleted. If another instance has written or deleted one of the rows meanwhile, commit
// records the state of that row and returns the *platform.ConflictError.
func (s *Syncer) commit(ctx context.Context, ops []platform.Op, facts map[string]Fact) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := s.cfg.Commit(ctx, ops...)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		s.applyResult(facts[conflict.Key], conflict.Current.Version)
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
		s.applyResult(facts[op.Key], version)
	}
	return nil
}

// applyResult records in the Guard that a fact's row has the given version, or is
// deleted if the version is 0.
func (s *Syncer) applyResult(f Fact, version uint64) {
	if version == 0 {
		s.Guard.MarkDeleted(f)
		return
	}
	s.Guard.MarkShared(f, version)
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

// Update holds changes of a table, separated into rows of facts and other rows.
type Update struct {
	Rows         []Row
	Others       []platform.Change
	DecodeErrors []error // of malformed keys and values of facts
}

// SplitChanges separates the changes of a table into rows of facts, whose keys begin
// with prefix, and others.
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

// parseRow decodes the row of a fact. key is its key without the prefix.
func parseRow(key string, ch platform.Change) (Row, error) {
	f, err := ParseKey(key)
	r := Row{Fact: f, Version: ch.Version, Deleted: ch.Deleted}
	if err != nil || ch.Deleted {
		return r, err
	}
	var v rowValue
	if err := json.Unmarshal(ch.Value, &v); err != nil {
		return r, fmt.Errorf("quarantine: decode row %s: %w", key, err)
	}
	r.UnlikelyCause, r.UnrelatedCrashes = v.Unlikely, v.Apart
	return r, nil
}
