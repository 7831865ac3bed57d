package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

const deliveryPrefix = "delivery/"

// Delivery is the record of one sample in the platform's table. It is
// created before the first send, so a sample is never produced twice under
// one ID, and marked Acked once the trainer holds it.
type Delivery struct {
	Sample  trainer.Sample `json:"sample"`
	Trainer string         `json:"trainer"`
	Acked   bool           `json:"acked"`
	Holder  string         `json:"holder"` // entry instance that created it
}

// deliveryTries bounds the sends of one sample on the request path; a
// sample still unacknowledged after them stays recorded for redelivery.
const deliveryTries = 3

// errAlreadyRecorded is returned when a sample's ID already has a record:
// another request with the same ID made it, so this one sends nothing.
var errAlreadyRecorded = errors.New("sample already recorded")

// deliver records smp and sends it to the entry's trainer until acked.
func (in *Instance) deliver(ctx context.Context, e catalogue.Entry, smp trainer.Sample) error {
	key := deliveryPrefix + smp.ID
	op, err := platform.Put(key, 0, Delivery{Sample: smp, Trainer: e.Trainer, Holder: in.cfg.ID})
	if err != nil {
		return err
	}
	rows, err := in.cfg.Platform.Commit(ctx, op)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return errAlreadyRecorded
	}
	if err != nil {
		return fmt.Errorf("record sample: %w", err)
	}
	return in.send(ctx, rows[0], Delivery{Sample: smp, Trainer: e.Trainer, Holder: in.cfg.ID})
}

// send delivers the recorded sample d, then marks its row acked.
func (in *Instance) send(ctx context.Context, row platform.Row, d Delivery) error {
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
	d.Acked = true
	op, err := platform.Put(row.Key, row.Version, d)
	if err != nil {
		return err
	}
	_, err = in.cfg.Platform.Commit(ctx, op)
	return err
}
