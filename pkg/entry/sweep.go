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

// sweep sends the samples whose records are older than e.OlderThan and, if e.Purge is set,
// deletes expired steps, members and claims. It does nothing unless this instance holds the
// sweeper lease. If two instances sweep at once, because a paused holder has not noticed
// that its lease expired, a sample may be sent twice, which its trainer recognises by the
// ID.
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

// purge deletes steps, members and claims whose retention has ended.
func (in *Instance) purge(ctx context.Context, now time.Time) error {
	if err := in.purgeSteps(ctx, now.Add(-in.cfg.StepRetention)); err != nil {
		return err
	}
	if err := in.purgeMembers(ctx, now.Add(-in.cfg.MemberRetention)); err != nil {
		return err
	}
	return in.purgeClaims(ctx, now)
}

// Limits of one purge of claims, chosen so that it finishes within a platform timeout. The
// next purge continues.
const (
	claimDaysPurged = 7   // days scanned before the retention period
	claimsPerCommit = 100 // rows deleted in one transaction
	maxClaimCommits = 10  // transactions in one purge
)

// purgeClaims deletes the claims of days before the retention period. A call whose claim is
// deleted would run again, as docs/OPERATIONS.md says.
func (in *Instance) purgeClaims(ctx context.Context, now time.Time) error {
	commits := 0
	for ago := claim.RetentionDays + 1; ago <= claim.RetentionDays+claimDaysPurged; ago++ {
		prefix := claim.Key(now.AddDate(0, 0, -ago), "")
		for ; commits < maxClaimCommits; commits++ {
			rows, err := in.cfg.Platform.ScanLimit(ctx, prefix, claimsPerCommit)
			if err != nil {
				return err
			}
			if len(rows) == 0 {
				break
			}
			if err := in.deleteAll(ctx, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// deleteAll deletes rows in one transaction. If one of them has changed since it was read,
// none is deleted.
func (in *Instance) deleteAll(ctx context.Context, rows []platform.Row) error {
	ops := make([]platform.Op, len(rows))
	for i, row := range rows {
		ops[i] = platform.Delete(row.Key, row.Version)
	}
	_, err := in.cfg.Platform.Commit(ctx, ops...)
	return err
}

// purgeSteps deletes steps closed before closedBefore. It deletes the head of a step last,
// so that the next purge finds what an interrupted one left.
func (in *Instance) purgeSteps(ctx context.Context, closedBefore time.Time) error {
	heads, err := step.List(ctx, in.cfg.Platform)
	if err != nil {
		return err
	}
	for key, h := range heads {
		if h.Closed == "" || !h.ClosedAt.Before(closedBefore) {
			continue
		}
		if err := in.deleteStep(ctx, key, h); err != nil {
			return err
		}
	}
	return nil
}

func (in *Instance) deleteStep(ctx context.Context, key string, h step.Head) error {
	shards, err := in.cfg.Platform.Scan(ctx, step.ShardsPrefix(key))
	if err != nil {
		return err
	}
	if err := in.deleteEach(ctx, shards...); err != nil {
		return err
	}
	if err := in.cfg.Platform.DeleteObject(ctx, step.ObjectName(key, h.Digest)); err != nil {
		return err
	}
	head, err := in.cfg.Platform.Get(ctx, step.HeadKey(key))
	if err != nil {
		return err
	}
	return in.deleteEach(ctx, head)
}

func (in *Instance) purgeMembers(ctx context.Context, expiredBefore time.Time) error {
	rows, err := in.cfg.Platform.Scan(ctx, memberPrefix)
	if err != nil {
		return err
	}
	for _, row := range in.splitQuarantineRows(rows) {
		if l, err := lease.Decode(row); err != nil || l.Live(expiredBefore) {
			continue
		}
		if err := in.deleteEach(ctx, row); err != nil {
			return err
		}
	}
	return nil
}

// deleteEach deletes rows one by one. A row that has changed since it was read is not
// deleted.
func (in *Instance) deleteEach(ctx context.Context, rows ...platform.Row) error {
	for _, row := range rows {
		_, err := in.cfg.Platform.Commit(ctx, platform.Delete(row.Key, row.Version))
		var ce *platform.ConflictError
		if err != nil && !errors.As(err, &ce) {
			return err
		}
	}
	return nil
}
