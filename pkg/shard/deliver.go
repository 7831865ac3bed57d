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

// unrecordedPause is the pause before a group's record is tried again.
const unrecordedPause = 200 * time.Millisecond

// ack is how the delivery of a recorded group ended.
type ack struct {
	group   int
	row     platform.Op // deletes the delivery's record
	failed  bool        // the trainer did not answer
	learned bool        // the trainer holds it; else it found it too old
}

// deliver records a complete group, its shard's progress and the condition
// that the step is open in one transaction, and then sends the samples.
func (r *run) deliver(ctx context.Context, e step.Deliver) error {
	renewal, err := r.renewal(r.progress.Record(e.Group))
	if err != nil {
		return err
	}
	open := platform.Check(step.HeadKey(r.id.Step), r.headRow)
	d := r.cfg.Samples.NewRecord(r.entry, r.deliveryID(e.Group), e.Samples...)
	version, err := r.cfg.Samples.CommitRecord(ctx, r.entry, d, renewal, open)
	var ce *platform.ConflictError
	switch {
	case err == nil && version > 0:
		r.held.Fencing, r.progress = version, r.progress.Record(e.Group)
		r.step.Reduce(step.Recorded{Group: e.Group})
		r.send(ctx, e.Group, d, version)
		return nil
	case errors.As(err, &ce) && ce.Key == open.Key:
		return errStepClosed
	case errors.As(err, &ce) && ce.Key == r.keeper.Name:
		return errShardLost
	}
	r.step.Reduce(step.RecordFailed{Group: e.Group, RetryAt: r.cfg.Clock.Now().Add(unrecordedPause)})
	if errors.Is(err, delivery.ErrTooStale) {
		r.cfg.Stale.Inc(int64(len(e.Samples)))
		return nil
	}
	return r.reread(ctx)
}

// deliveryID names the delivery of a group: the same in every step that the
// group is submitted in.
func (r *run) deliveryID(group int) string {
	return fmt.Sprintf("%s.%s.%s", r.spec.Customer, r.spec.Entry, r.spec.Groups[group].ID)
}

// renewal returns the operation that renews the shard's lease with progress.
func (r *run) renewal(p step.Progress) (platform.Op, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return platform.Op{}, err
	}
	return r.keeper.RenewOp(r.held, data)
}

// reread finds out after a write of unknown outcome what the table holds: the
// lease is taken again, with the progress kept in it. Groups found recorded
// are sent by resend.
func (r *run) reread(ctx context.Context) error {
	if err := r.renew(ctx); errors.Is(err, lease.ErrHeld) {
		return errShardLost
	}
	for _, g := range r.progress.Recorded {
		r.step.Reduce(step.Recorded{Group: g})
	}
	r.resend(ctx)
	return nil
}

// send delivers a recorded group and tells the loop how that ended. Once the
// loop is over, what the trainer holds is only forgotten here; the next
// holder finds the record gone.
func (r *run) send(ctx context.Context, group int, d delivery.Record, version uint64) {
	r.sending[group] = true
	r.cfg.Samples.RunAsync(ctx, d, func(ctx context.Context) error {
		learned, err := r.cfg.Samples.Deliver(ctx, d)
		a := ack{group: group, failed: err != nil, learned: learned, row: platform.Delete(d.Key, version)}
		select {
		case r.acked <- a:
			return err
		case <-r.over:
		}
		if err != nil {
			return err
		}
		return r.cfg.Samples.DeleteRecord(ctx, d.Key)
	})
}

// resend sends the recorded groups that no delivery of this run is under way
// for: those of the holder before, or whose delivery or record's answer was
// lost. A group whose record is gone was delivered by the sweeper.
func (r *run) resend(ctx context.Context) {
	for _, g := range r.progress.Recorded {
		if r.sending[g] {
			continue
		}
		row, err := r.cfg.Platform.Get(ctx, delivery.Key(r.deliveryID(g)))
		switch {
		case errors.Is(err, platform.ErrNotFound):
			r.sending[g] = true
			r.acks = append(r.acks, ack{group: g, learned: true, row: platform.Check(delivery.Key(r.deliveryID(g)), 0)})
		case err == nil:
			d := delivery.Record{Key: row.Key}
			if json.Unmarshal(row.Value, &d) == nil {
				r.send(ctx, g, d, row.Version)
			}
		}
	}
}

// keepAcks keeps what deliveries brought, each in a transaction that deletes
// the record and moves the shard's progress on.
func (r *run) keepAcks(ctx context.Context, more ...ack) error {
	pending := append(r.acks, more...)
	r.acks = nil
	for i, a := range pending {
		done, err := r.keepAck(ctx, a)
		if err != nil {
			return err
		}
		if !done {
			r.acks = append(r.acks, pending[i:]...)
			return nil // tried again at the next renewal
		}
	}
	if r.uncounted {
		return r.closeIfComplete(ctx)
	}
	return nil
}

// keepAck keeps one ack, or reports false if the platform did not answer. A
// delivery that failed is left to resend.
func (r *run) keepAck(ctx context.Context, a ack) (bool, error) {
	if a.failed {
		delete(r.sending, a.group)
		return true, nil
	}
	next := r.progress.Ack(a.group)
	if !a.learned {
		next = r.progress.Refuse(a.group)
	}
	renewal, err := r.renewal(next)
	if err != nil {
		return false, err
	}
	rows, err := r.cfg.Platform.Commit(ctx, renewal, a.row)
	var ce *platform.ConflictError
	if errors.As(err, &ce) && ce.Key == a.row.Key {
		rows, err = r.cfg.Platform.Commit(ctx, renewal) // the sweeper deleted the record
	}
	switch {
	case err == nil:
		r.held.Fencing, r.progress = rows[0].Version, next
	case errors.As(err, &ce):
		return false, errShardLost
	default:
		if err := r.renew(ctx); errors.Is(err, lease.ErrHeld) {
			return false, errShardLost
		}
		if slices.Contains(r.progress.Recorded, a.group) {
			return false, nil
		}
	}
	delete(r.sending, a.group)
	if a.learned {
		r.step.Reduce(step.Acked{Group: a.group})
		r.uncounted = true
	} else {
		r.step.Reduce(step.Refused{Group: a.group})
	}
	return true, nil
}

// closeIfComplete closes the step once the trainer holds the desired groups. If
// the platform does not answer it is called again at the next renewal.
func (r *run) closeIfComplete(ctx context.Context) error {
	n, err := step.CountDelivered(ctx, r.cfg.Platform, r.id.Step)
	if err != nil {
		return nil
	}
	if n < r.head.Desired {
		r.uncounted = false
		return nil
	}
	if err := r.close(ctx, step.Complete); err != nil {
		return nil
	}
	return errStepClosed
}
