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

// readHead reads the head of the step. It returns errStepClosed if the step is closed.
func (r *run) readHead(ctx context.Context) error {
	head, row, err := step.ReadHead(ctx, r.cfg.Platform, r.id.Step)
	if err != nil {
		return err // the head read before remains in use
	}
	r.head, r.headRow = head, row
	if r.head.Closed != "" {
		return errStepClosed
	}
	return nil
}

// renew acquires or renews the lease and loads the progress stored in it.
func (r *run) renew(ctx context.Context) error {
	heldLease, err := r.leaseManager.Acquire(ctx, nil)
	if err != nil {
		return err
	}
	r.heldLease = heldLease
	r.nextRenew = r.cfg.Clock.Now().Add(r.leaseManager.TTL / control.RenewalsPerTTL)
	if now := r.cfg.Clock.Now(); now.Before(r.head.Deadline) && r.head.Deadline.Before(r.nextRenew) {
		r.nextRenew = r.head.Deadline // maintain closes the step then
	}
	if len(heldLease.Data) > 0 {
		return json.Unmarshal(heldLease.Data, &r.progress)
	}
	return nil
}

// maintain raises the oldest weight version that samples may have. When a renewal is
// due, it closes the step if the deadline has passed, checks whether the step is
// closed, renews the lease, and repeats deliveries and records that failed.
func (r *run) maintain(ctx context.Context) error {
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
		return errLeaseLost
	case err != nil && !now.Before(r.heldLease.ValidUntil):
		return errLeaseLost
	case err != nil:
		r.nextRenew = now.Add(r.cfg.TickInterval) // the platform is unavailable; the lease is still held
	}
	if err := r.recordResults(ctx); err != nil {
		return err
	}
	r.resend(ctx)
	if r.mayBeComplete {
		return r.closeIfComplete(ctx)
	}
	return nil
}
