package entry

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/claim"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// sweep clears up, if this instance holds the sweeper lease: it sends
// samples whose record is older than e.olderThan and, if asked to, removes
// steps and members long gone. Two sweepers at once (a paused holder that has not yet
// seen its lease lapse) would only send a sample twice, which its trainer
// does not learn twice.
func (in *Instance) sweep(ctx context.Context, e control.Sweep) (int, error) {
	now := in.cfg.Clock.Now()
	if _, err := lease.Acquire(ctx, in.cfg.Platform, control.SweeperLease, in.cfg.ID, now, now.Add(3*in.cfg.SweepInterval), nil); err != nil {
		if errors.Is(err, lease.ErrHeld) {
			return 0, nil
		}
		return 0, err
	}
	if e.Purge {
		if err := in.purge(ctx, now); err != nil {
			return 0, err
		}
	}
	return in.samples.Sweep(ctx, e.OlderThan)
}

// purge removes steps and members long gone.
func (in *Instance) purge(ctx context.Context, now time.Time) error {
	if err := in.sweepSteps(ctx, now.Add(-in.cfg.StepRetention)); err != nil {
		return err
	}
	if err := in.sweepMembers(ctx, now.Add(-in.cfg.MemberRetention)); err != nil {
		return err
	}
	return in.sweepClaims(ctx, now)
}

// Bounds of one sweep of old claims, so that it fits in a platform timeout;
// the next goes on.
const (
	claimDaysSwept  = 7   // days looked at, before those kept
	claimsPerRemove = 100 // rows removed in one transaction
	claimRemoves    = 10  // transactions in one sweep
)

// sweepClaims removes claims of days no longer kept. A call with such a key
// would run again, as docs/OPERATIONS.md says.
func (in *Instance) sweepClaims(ctx context.Context, now time.Time) error {
	removes := 0
	for ago := claim.RetentionDays + 1; ago <= claim.RetentionDays+claimDaysSwept; ago++ {
		prefix := claim.Key(now.AddDate(0, 0, -ago), "")
		for ; removes < claimRemoves; removes++ {
			rows, err := in.cfg.Platform.ScanLimit(ctx, prefix, claimsPerRemove)
			if err != nil {
				return err
			}
			if len(rows) == 0 {
				break
			}
			if err := in.removeAll(ctx, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// removeAll deletes rows as they were read in one transaction, or none if one
// has changed since.
func (in *Instance) removeAll(ctx context.Context, rows []platform.Row) error {
	ops := make([]platform.Op, len(rows))
	for i, row := range rows {
		ops[i] = platform.Delete(row.Key, row.Version)
	}
	_, err := in.cfg.Platform.Commit(ctx, ops...)
	return err
}

// sweepSteps removes steps closed before closedBefore: first their shards
// and Spec, then their heads, so that what is left of a sweep cut short is
// found again.
func (in *Instance) sweepSteps(ctx context.Context, closedBefore time.Time) error {
	heads, err := step.List(ctx, in.cfg.Platform)
	if err != nil {
		return err
	}
	for key, h := range heads {
		if h.Closed == "" || !h.ClosedAt.Before(closedBefore) {
			continue
		}
		if err := in.removeStep(ctx, key, h); err != nil {
			return err
		}
	}
	return nil
}

func (in *Instance) removeStep(ctx context.Context, key string, h step.Head) error {
	shards, err := in.cfg.Platform.Scan(ctx, step.ShardsPrefix(key))
	if err != nil {
		return err
	}
	if err := in.remove(ctx, shards...); err != nil {
		return err
	}
	if err := in.cfg.Platform.DeleteObject(ctx, step.ObjectName(key, h.Digest)); err != nil {
		return err
	}
	head, err := in.cfg.Platform.Get(ctx, step.HeadKey(key))
	if err != nil {
		return err
	}
	return in.remove(ctx, head)
}

func (in *Instance) sweepMembers(ctx context.Context, expiredBefore time.Time) error {
	rows, err := in.cfg.Platform.Scan(ctx, memberPrefix)
	if err != nil {
		return err
	}
	for _, row := range in.splitMembers(rows) {
		if l, err := lease.Decode(row); err != nil || l.Live(expiredBefore) {
			continue
		}
		if err := in.remove(ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes rows as they were read; a row changed since is left alone.
func (in *Instance) remove(ctx context.Context, rows ...platform.Row) error {
	for _, row := range rows {
		_, err := in.cfg.Platform.Commit(ctx, platform.Delete(row.Key, row.Version))
		var ce *platform.ConflictError
		if err != nil && !errors.As(err, &ce) {
			return err
		}
	}
	return nil
}
