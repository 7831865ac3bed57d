package shard

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// readHead reads the step's head again; it returns errStepClosed once the step has.
func (r *run) readHead(ctx context.Context) error {
	head, row, err := step.ReadHead(ctx, r.cfg.Platform, r.id.Step)
	if err != nil {
		return err // what was read before still stands
	}
	r.head, r.headRow = head, row
	if r.head.Closed != "" {
		return errStepClosed
	}
	return nil
}

// renew takes or renews the lease, and reads back the progress kept with it.
func (r *run) renew(ctx context.Context) error {
	held, err := r.keeper.Acquire(ctx, nil)
	if err != nil {
		return err
	}
	r.held = held
	r.nextRenew = r.cfg.Clock.Now().Add(r.keeper.TTL / control.RenewalsPerTTL)
	if now := r.cfg.Clock.Now(); now.Before(r.head.Deadline) && r.head.Deadline.Before(r.nextRenew) {
		r.nextRenew = r.head.Deadline // when upkeep closes the step
	}
	if len(held.Data) > 0 {
		return json.Unmarshal(held.Data, &r.progress)
	}
	return nil
}

// upkeep renews the lease when due, sees whether the step has closed, and
// raises the floor of versions that samples may have.
func (r *run) upkeep(ctx context.Context) error {
	now := r.cfg.Clock.Now()
	view := r.cfg.View()
	if newest := view.NewestVersions[r.entry.Pool]; newest > r.entry.MaxVersionLag {
		r.step.Reduce(step.MinVersionRaised{Version: newest - r.entry.MaxVersionLag})
	}
	if now.Before(r.nextRenew) {
		return nil
	}
	if !now.Before(r.head.Deadline) {
		if err := r.close(ctx, step.DeadlinePassed); err == nil {
			return errStepClosed
		}
	}
	if err := r.readHead(ctx); errors.Is(err, errStepClosed) || errors.Is(err, platform.ErrNotFound) {
		return errStepClosed
	}
	switch err := r.renew(ctx); {
	case errors.Is(err, lease.ErrHeld):
		return errShardLost
	case err != nil && !now.Before(r.held.ValidUntil):
		return errShardLost
	case err != nil:
		r.nextRenew = now.Add(r.cfg.TickInterval) // the platform is away; the lease still holds
	}
	if err := r.keepAcks(ctx); err != nil {
		return err
	}
	r.resend(ctx)
	if r.uncounted {
		return r.closeIfComplete(ctx)
	}
	return nil
}
