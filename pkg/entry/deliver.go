package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/lease"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

const deliveryPrefix = "delivery/"

// Delivery is the record of one sample awaiting its trainer's
// acknowledgement, in the platform's table. It is created before the first
// send and deleted once the trainer holds the sample, so that the rows
// present are exactly the samples to deliver again after a failure. The
// trainer keys samples by ID, so a second send is never learned twice.
type Delivery struct {
	Sample    trainer.Sample `json:"sample"`
	Trainer   string         `json:"trainer"`
	Holder    string         `json:"holder"` // entry instance that created it
	CreatedAt time.Time      `json:"created_at"`
}

// deliveryTries bounds the sends of one sample on the request path; a
// sample still unacknowledged after them stays recorded for redelivery.
const deliveryTries = 3

// sendTimeout bounds the sends of one sample after its request answered;
// a sample still unsent then is left to the sweeper.
const sendTimeout = 30 * time.Second

// deliver records smp and then sends it to the entry's trainer on the
// sends group, so that the caller does not wait for the trainer. A sample
// whose record exists already, made by another request with the same ID,
// is sent by whoever holds that record, not again here.
func (in *Instance) deliver(ctx context.Context, e catalogue.Entry, smp trainer.Sample) error {
	d := Delivery{Sample: smp, Trainer: e.Trainer, Holder: in.cfg.ID, CreatedAt: in.cfg.Clock.Now()}
	key := deliveryPrefix + smp.ID
	op, err := platform.Put(key, 0, d)
	if err != nil {
		return err
	}
	rctx, cancel := context.WithTimeout(ctx, in.cfg.PlatformTimeout)
	_, err = in.cfg.Platform.Commit(rctx, op)
	cancel()
	var ce *platform.ConflictError
	switch {
	case errors.As(err, &ce):
		return nil
	case err != nil:
		// The record may or may not have been written. Send all the same:
		// the trainer keys samples by ID, and a record left behind is swept.
		in.cfg.Logger.Debug("sample record outcome unknown; sending", "sample", smp.ID, "err", err)
	}
	in.sends.Go(func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		if err := in.send(ctx, key, d); err != nil {
			in.cfg.Logger.Warn("sample left for the sweeper", "sample", smp.ID, "err", err)
		}
		return nil
	})
	return nil
}

// send delivers the recorded sample d, then deletes its record.
func (in *Instance) send(ctx context.Context, key string, d Delivery) error {
	tc := trainer.NewClient(d.Trainer, in.http)
	var err error
	for try := 0; try < deliveryTries; try++ {
		if try > 0 {
			in.stats.deliveryRetries.Inc(1)
			select {
			case <-time.After(time.Duration(try) * 50 * time.Millisecond):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if _, err = tc.Deliver(ctx, trainer.Group{Samples: []trainer.Sample{d.Sample}}); err == nil {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("deliver %s: %w", d.Sample.ID, err)
	}
	in.stats.samples.Inc(1)
	return in.forget(ctx, key)
}

// forget deletes the record at key, reading its version first, since a
// lost reply may have hidden it from the writer.
func (in *Instance) forget(ctx context.Context, key string) error {
	row, err := in.cfg.Platform.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("forget %s: %w", key, err)
	}
	_, err = in.cfg.Platform.Commit(ctx, platform.Op{Key: key, ExpectVersion: row.Version, Delete: true})
	return err
}

// sweeperLease is the lease whose holder sweeps delivery records.
const sweeperLease = "lease/sweeper"

// sweep sends every sample whose record is older than olderThan, if this
// instance holds the sweeper lease. Two sweepers at once (a paused holder
// that has not yet seen its lease lapse) would only send a sample twice,
// which its trainer does not learn twice.
func (in *Instance) sweep(ctx context.Context, olderThan time.Time) (int, error) {
	now := in.cfg.Clock.Now()
	if _, err := lease.Acquire(ctx, in.cfg.Platform, sweeperLease, in.cfg.ID, now, now.Add(3*in.cfg.SweepInterval), nil); err != nil {
		if errors.Is(err, lease.ErrHeld) {
			return 0, nil
		}
		return 0, err
	}
	rows, err := in.cfg.Platform.Scan(ctx, deliveryPrefix)
	if err != nil {
		return 0, err
	}
	sent := 0
	for _, row := range rows {
		var d Delivery
		if err := json.Unmarshal(row.Value, &d); err != nil || !d.CreatedAt.Before(olderThan) {
			continue
		}
		if err := in.send(ctx, row.Key, d); err != nil {
			return sent, err
		}
		in.stats.redelivered.Inc(1)
		sent++
	}
	return sent, nil
}
