package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const deliveryPrefix = "delivery/"

// Delivery is the record of samples awaiting their trainer's
// acknowledgement, in the platform's table. It is created before the first
// send and deleted once the trainer holds the samples, so that the rows
// present are exactly the samples to deliver again after a failure. The
// trainer keys samples by ID, so a second send is never learned twice.
type Delivery struct {
	Key     string           `json:"-"`
	Samples []trainer.Sample `json:"samples"`
	Trainer string           `json:"trainer"`
	Entry   string           `json:"entry"` // the catalogue entry the samples are for
	// MaxVersionLag is the entry's bound when the record was made.
	MaxVersionLag uint64    `json:"max_version_lag"`
	Holder        string    `json:"holder"` // the instance and request that created it
	CreatedAt     time.Time `json:"created_at"`
}

// deliveryTries bounds the sends of one sample on the request path; a
// sample still unacknowledged after them stays recorded for redelivery.
const deliveryTries = 3

// deliveryPause is the pause before the second send; the third waits twice
// as long.
const deliveryPause = 50 * time.Millisecond

// sendTimeout bounds the sends of one sample after its request answered;
// a sample still unsent then is left to the sweeper.
const sendTimeout = 30 * time.Second

// errRecorded means that the record of the same samples exists already,
// made by another request; whoever made it sends them.
var errRecorded = errors.New("samples recorded by another request")

// sample records and sends one finished sample, and returns its ID, or ""
// if it was refused as too stale. The caller does not wait for the trainer,
// nor for a platform that does not answer.
func (in *Instance) sample(ctx context.Context, e catalogue.Entry, smp trainer.Sample) string {
	d := in.newDelivery(e, smp.ID, smp)
	switch _, err := in.record(ctx, e, d); {
	case errors.Is(err, errTooStale):
		in.stats.samplesStale.Inc(1)
		return ""
	case errors.Is(err, errRecorded):
	case err != nil:
		in.later(ctx, d, func(ctx context.Context) error { return in.recordThenSend(ctx, e, d) })
	default:
		in.later(ctx, d, func(ctx context.Context) error { return in.send(ctx, d) })
	}
	return smp.ID
}

// newDelivery returns the record of samples, under a key made from id.
func (in *Instance) newDelivery(e catalogue.Entry, id string, samples ...trainer.Sample) Delivery {
	return Delivery{Key: deliveryPrefix + id, Samples: samples, Trainer: e.Trainer, Entry: e.Name, MaxVersionLag: e.MaxVersionLag,
		Holder: fmt.Sprintf("%s/%s/%d", in.cfg.ID, in.life, in.attempts.Add(1)), CreatedAt: in.cfg.Clock.Now()}
}

// later runs send on the sends group, bounded by sendTimeout.
func (in *Instance) later(ctx context.Context, d Delivery, send func(context.Context) error) {
	in.sends.Go(func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
		defer cancel()
		if err := send(ctx); err != nil {
			in.cfg.Logger.Warn("samples left for the sweeper", "record", d.Key, "err", err)
		}
		return nil
	})
}

// record writes d in one transaction that commits only if the pool's weight
// target is still the one the samples were checked against, so that no
// sample is recorded that is older than its bound at that moment. It
// returns errTooStale for such a sample and errRecorded if another request
// made the record; with any other error the outcome is unknown, and record
// may be called again. Further ops commit together with the record. The
// version returned is that of the rows written, or 0 if an earlier call,
// whose reply was lost, wrote them.
func (in *Instance) record(ctx context.Context, e catalogue.Entry, d Delivery, ops ...platform.Op) (version uint64, err error) {
	put, err := platform.Put(d.Key, 0, d)
	if err != nil {
		return 0, err
	}
	targetKey := weights.TargetPrefix + e.Pool
	view := in.View()
	newest, target := view.Newest[e.Pool], view.Versions[targetKey]
	for {
		if oldest := d.oldest(); oldest == 0 || oldest+e.MaxVersionLag < newest {
			return 0, errTooStale
		}
		rows, err := in.cfg.Platform.Commit(ctx, append([]platform.Op{put, platform.Check(targetKey, target)}, ops...)...)
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return rows[0].Version, nil
		case !errors.As(err, &ce):
			return 0, err
		case ce.Key == targetKey:
			t, err := weights.Decode(ce.Current)
			if err != nil {
				return 0, err
			}
			newest, target = t.Version, ce.Current.Version
		case ce.Key == d.Key && d.wrote(ce.Current):
			return 0, nil
		case ce.Key == d.Key:
			return 0, errRecorded
		default:
			return 0, err
		}
	}
}

// oldest returns the oldest weight version that produced any of d's
// samples, or 0 if a sample names none.
func (d Delivery) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, s := range d.Samples {
		oldest = min(oldest, s.Oldest())
	}
	return oldest
}

// wrote reports whether row was written by the request that made d.
func (d Delivery) wrote(row platform.Row) bool {
	var other Delivery
	return json.Unmarshal(row.Value, &other) == nil && other.Holder == d.Holder
}

// recordPause is the pause between tries to record samples while the
// platform does not answer.
const recordPause = 100 * time.Millisecond

// recordThenSend records d, trying until the platform answers, then sends.
// Without a record nothing is sent: it would be of unknown age.
func (in *Instance) recordThenSend(ctx context.Context, e catalogue.Entry, d Delivery) error {
	for {
		switch _, err := in.record(ctx, e, d); {
		case err == nil:
			return in.send(ctx, d)
		case errors.Is(err, errRecorded):
			return nil
		case errors.Is(err, errTooStale):
			in.stats.samplesStale.Inc(1)
			return nil
		}
		if !clock.Sleep(ctx, recordPause) {
			in.stats.samplesLost.Inc(1)
			return ctx.Err()
		}
	}
}

// send delivers the recorded samples of d, then deletes their record.
func (in *Instance) send(ctx context.Context, d Delivery) error {
	if _, err := in.deliver(ctx, d); err != nil {
		return err
	}
	return in.forget(ctx, d.Key)
}

// deliver sends the recorded samples of d to their trainer, and reports
// whether it learned them all or found some too old. If they have grown too
// old since they were recorded they are not sent.
func (in *Instance) deliver(ctx context.Context, d Delivery) (learned bool, err error) {
	if e, ok := in.View().Entries[d.Entry]; ok && in.View().OutOfBound(e, d.oldest()) {
		in.stats.samplesStale.Inc(int64(len(d.Samples)))
		return false, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(in.sendsCtx, cancel)()
	tc := trainer.NewClient(d.Trainer, in.http)
	var ack trainer.Ack
	for try := range deliveryTries {
		if try > 0 {
			in.stats.deliveryRetries.Inc(1)
			if !clock.Sleep(ctx, time.Duration(try)*deliveryPause) {
				return false, ctx.Err()
			}
		}
		if ack, err = tc.Deliver(ctx, trainer.Group{Samples: d.Samples, MaxVersionLag: d.MaxVersionLag}); err == nil {
			in.stats.samples.Inc(int64(len(d.Samples) - len(ack.Stale)))
			in.stats.samplesStale.Inc(int64(len(ack.Stale)))
			return len(ack.Stale) == 0, nil
		}
	}
	return false, fmt.Errorf("deliver %s: %w", d.Key, err)
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
	_, err = in.cfg.Platform.Commit(ctx, platform.Delete(key, row.Version))
	return err
}
