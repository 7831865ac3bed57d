package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/delivery"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// recordRetryDelay is the pause before recording a group's delivery is tried again.
const recordRetryDelay = 200 * time.Millisecond

// deliveryResult is the result of delivering a recorded group.
type deliveryResult struct {
	group    int
	recordOp platform.Op // deletes the record of the delivery, or checks that there is none
	failed   bool        // whether the trainer did not answer
	accepted bool        // whether the trainer holds the group; if not, it found the group too old
}

// deliver records a complete group and the progress of the shard in one transaction, on
// condition that the step is open, and then starts the delivery of the samples.
func (r *run) deliver(ctx context.Context, e step.Deliver) error {
	renewal, err := r.renewal(r.progress.Record(e.Group))
	if err != nil {
		return err
	}
	open := platform.Check(step.HeadKey(r.id.Step), r.headRow)
	rec := r.cfg.Samples.NewRecord(r.entry, r.deliveryID(e.Group), e.Samples...)
	version, err := r.cfg.Samples.CommitRecord(ctx, r.entry, rec, renewal, open)
	var ce *platform.ConflictError
	switch {
	case err == nil && version > 0:
		r.heldLease.Fencing, r.progress = version, r.progress.Record(e.Group)
		r.step.Reduce(step.Recorded{Group: e.Group})
		r.send(ctx, e.Group, rec, version)
		return nil
	case errors.As(err, &ce) && ce.Key == open.Key:
		return errStepClosed
	case errors.As(err, &ce) && ce.Key == r.leaseManager.Name:
		return errLeaseLost
	}
	r.step.Reduce(step.RecordFailed{Group: e.Group, RetryAt: r.cfg.Clock.Now().Add(recordRetryDelay)})
	if errors.Is(err, delivery.ErrTooStale) {
		r.cfg.Stale.Inc(int64(len(e.Samples)))
		return nil
	}
	return r.reread(ctx)
}

// deliveryID returns the ID of a group's delivery. It does not contain the step's ID,
// so that a group submitted again in another step has the same one.
func (r *run) deliveryID(group int) string {
	return fmt.Sprintf("%s.%s.%s", r.spec.Customer, r.spec.Entry, r.spec.Groups[group].ID)
}

// renewal returns the operation that renews the shard's lease with progress p.
func (r *run) renewal(p step.Progress) (platform.Op, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return platform.Op{}, err
	}
	return r.leaseManager.RenewOp(r.heldLease, data)
}

// reread reads the table after a write of unknown outcome: it acquires the lease again,
// with the progress stored in it. The groups found to be recorded are delivered by
// resend.
func (r *run) reread(ctx context.Context) error {
	if err := r.renew(ctx); errors.Is(err, lease.ErrHeld) {
		return errLeaseLost
	}
	for _, g := range r.progress.Recorded {
		r.step.Reduce(step.Recorded{Group: g})
	}
	r.resend(ctx)
	return nil
}

// send delivers a recorded group in the background and sends the result to the loop. If
// the loop has ended, it deletes the record itself after a successful delivery, and the
// next lease holder finds the record gone.
func (r *run) send(ctx context.Context, group int, rec delivery.Record, version uint64) {
	r.sending[group] = true
	r.cfg.Samples.RunAsync(ctx, rec, func(ctx context.Context) error {
		accepted, err := r.cfg.Samples.Deliver(ctx, rec)
		a := deliveryResult{group: group, failed: err != nil, accepted: accepted, recordOp: platform.Delete(rec.Key, version)}
		select {
		case r.delivered <- a:
			return err
		case <-r.loopDone:
		}
		if err != nil {
			return err
		}
		return r.cfg.Samples.DeleteRecord(ctx, rec.Key)
	})
}

// resend delivers the recorded groups that this run is not delivering: those of the
// previous lease holder, and those whose delivery failed or whose transaction got no
// answer. A group without a record was delivered by the sweeper.
func (r *run) resend(ctx context.Context) {
	for _, g := range r.progress.Recorded {
		if r.sending[g] {
			continue
		}
		row, err := r.cfg.Platform.Get(ctx, delivery.Key(r.deliveryID(g)))
		switch {
		case errors.Is(err, platform.ErrNotFound):
			r.sending[g] = true
			r.unrecordedResults = append(r.unrecordedResults, deliveryResult{group: g, accepted: true, recordOp: platform.Check(delivery.Key(r.deliveryID(g)), 0)})
		case err == nil:
			rec := delivery.Record{Key: row.Key}
			if json.Unmarshal(row.Value, &rec) == nil {
				r.send(ctx, g, rec, row.Version)
			}
		}
	}
}

// recordResults records the results of deliveries, each in a transaction that deletes
// the record of the delivery and updates the shard's progress.
func (r *run) recordResults(ctx context.Context, more ...deliveryResult) error {
	pending := append(r.unrecordedResults, more...)
	r.unrecordedResults = nil
	for i, a := range pending {
		done, err := r.recordResult(ctx, a)
		if err != nil {
			return err
		}
		if !done {
			r.unrecordedResults = append(r.unrecordedResults, pending[i:]...)
			return nil // the next renewal tries again
		}
	}
	if r.mayBeComplete {
		return r.closeIfComplete(ctx)
	}
	return nil
}

// recordResult records one result. It reports false if the platform did not answer. A
// failed delivery is left to resend.
func (r *run) recordResult(ctx context.Context, res deliveryResult) (bool, error) {
	if res.failed {
		delete(r.sending, res.group)
		return true, nil
	}
	next := r.progress.Ack(res.group)
	if !res.accepted {
		next = r.progress.Refuse(res.group)
	}
	renewal, err := r.renewal(next)
	if err != nil {
		return false, err
	}
	rows, err := r.cfg.Platform.Commit(ctx, renewal, res.recordOp)
	var ce *platform.ConflictError
	if errors.As(err, &ce) && ce.Key == res.recordOp.Key {
		rows, err = r.cfg.Platform.Commit(ctx, renewal) // the sweeper has deleted the record
	}
	switch {
	case err == nil:
		r.heldLease.Fencing, r.progress = rows[0].Version, next
	case errors.As(err, &ce):
		return false, errLeaseLost
	default:
		if err := r.renew(ctx); errors.Is(err, lease.ErrHeld) {
			return false, errLeaseLost
		}
		if slices.Contains(r.progress.Recorded, res.group) {
			return false, nil
		}
	}
	delete(r.sending, res.group)
	if res.accepted {
		r.step.Reduce(step.Acked{Group: res.group})
		r.mayBeComplete = true
	} else {
		r.step.Reduce(step.Refused{Group: res.group})
	}
	return true, nil
}

// closeIfComplete closes the step if the trainer holds the desired number of groups,
// and then returns errStepClosed. If the platform does not answer, it returns nil and
// is called again at the next renewal.
func (r *run) closeIfComplete(ctx context.Context) error {
	n, err := step.CountDelivered(ctx, r.cfg.Platform, r.id.Step)
	if err != nil {
		return nil
	}
	if n < r.head.Desired {
		r.mayBeComplete = false
		return nil
	}
	if err := r.close(ctx, step.Complete); err != nil {
		return nil
	}
	return errStepClosed
}
