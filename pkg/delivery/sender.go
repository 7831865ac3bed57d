// Package delivery brings samples to their trainers, each learned once: a record
// in the platform's table is made before the first send and deleted after the
// trainer's acknowledgement, so that whatever becomes of an instance another one
// finds what is left to send.
package delivery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Config configures a Sender.
type Config struct {
	Platform     *platform.Client
	Clock        clock.Clock
	Logger       *log.Logger
	HTTP         *http.Client         // to trainers
	View         func() *control.View // the control state in force
	NewAttemptID func() string        // names one attempt of this process to make a record
	Go           func(func() error)   // runs sends that nobody waits for
	SendContext  context.Context      // sends end with it; another instance sends what they leave
	Counters     Counters
}

// Counters count samples.
type Counters struct {
	Delivered   metrics.Counter // that trainers have learned
	Stale       metrics.Counter // refused as too old
	Lost        metrics.Counter // that could not be recorded
	Retries     metrics.Counter // sends that were repeated
	Redelivered metrics.Counter // sent by a sweep
}

// Sender records samples and sends them. It is safe for concurrent use.
type Sender struct{ cfg Config }

// NewSender returns a Sender.
func NewSender(cfg Config) *Sender { return &Sender{cfg: cfg} }

// NewRecord returns the record of samples, under a key made from id.
func (s *Sender) NewRecord(e catalogue.Entry, id string, samples ...trainer.Sample) Record {
	return Record{Key: Key(id), Samples: samples, Trainer: e.Trainer, Entry: e.Name, MaxVersionLag: e.MaxVersionLag,
		Holder: s.cfg.NewAttemptID(), CreatedAt: s.cfg.Clock.Now()}
}

// deliveryTries bounds the sends of one sample on the request path; a
// sample still unacknowledged after them stays recorded for redelivery.
const deliveryTries = 3

// deliveryPause is the pause before the second send; the third waits twice
// as long.
const deliveryPause = 50 * time.Millisecond

// SendTimeout bounds the sends of one sample after its request answered;
// a sample still unsent then is left to the sweeper.
const SendTimeout = 30 * time.Second

// ErrAlreadyRecorded means that the record of the same samples exists already,
// made by another request; whoever made it sends them.
var ErrAlreadyRecorded = errors.New("delivery: samples recorded by another request")

// ErrTooStale means that a sample is older than its catalogue entry allows.
var ErrTooStale = errors.New("delivery: sample is of a weight version that is too old")

// RecordAndSend records and sends one finished sample, and returns its ID, or ""
// if it was refused as too stale. The caller does not wait for the trainer,
// nor for a platform that does not answer.
func (s *Sender) RecordAndSend(ctx context.Context, e catalogue.Entry, smp trainer.Sample) string {
	d := s.NewRecord(e, smp.ID, smp)
	switch _, err := s.CommitRecord(ctx, e, d); {
	case errors.Is(err, ErrTooStale):
		s.cfg.Counters.Stale.Inc(1)
		return ""
	case errors.Is(err, ErrAlreadyRecorded):
	case err != nil:
		s.RunAsync(ctx, d, func(ctx context.Context) error { return s.recordThenSend(ctx, e, d) })
	default:
		s.RunAsync(ctx, d, func(ctx context.Context) error { return s.send(ctx, d) })
	}
	return smp.ID
}

// RunAsync runs send on the group, bounded by SendTimeout.
func (s *Sender) RunAsync(ctx context.Context, d Record, send func(context.Context) error) {
	s.cfg.Go(func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), SendTimeout)
		defer cancel()
		if err := send(ctx); err != nil {
			s.cfg.Logger.Warn("samples left for the sweeper", "record", d.Key, "err", err)
		}
		return nil
	})
}

// CommitRecord writes d in one transaction that commits only if the pool's weight
// target is still the one the samples were checked against, so that no
// sample is recorded that is older than its bound at that moment. It
// returns ErrTooStale for such a sample and ErrRecorded if another request
// made the record; with any other error the outcome is unknown, and CommitRecord
// may be called again. Further ops commit together with the record. The
// version returned is that of the rows written, or 0 if an earlier call,
// whose reply was lost, wrote them.
func (s *Sender) CommitRecord(ctx context.Context, e catalogue.Entry, d Record, ops ...platform.Op) (version uint64, err error) {
	put, err := platform.Put(d.Key, 0, d)
	if err != nil {
		return 0, err
	}
	targetKey := weights.TargetPrefix + e.Pool
	view := s.cfg.View()
	newest, target := view.NewestVersions[e.Pool], view.RowVersions[targetKey]
	for {
		if oldest := d.oldest(); oldest == 0 || oldest+e.MaxVersionLag < newest {
			return 0, ErrTooStale
		}
		rows, err := s.cfg.Platform.Commit(ctx, append([]platform.Op{put, platform.Check(targetKey, target)}, ops...)...)
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return rows[0].Version, nil
		case !errors.As(err, &ce):
			return 0, err
		case ce.Key == targetKey:
			t, err := weights.DecodeTarget(ce.Current)
			if err != nil {
				return 0, err
			}
			newest, target = t.Version, ce.Current.Version
		case ce.Key == d.Key && d.wrote(ce.Current):
			return 0, nil
		case ce.Key == d.Key:
			return 0, ErrAlreadyRecorded
		default:
			return 0, err
		}
	}
}

// recordPause is the pause between tries to record samples while the
// platform does not answer.
const recordPause = 100 * time.Millisecond

// recordThenSend records d, trying until the platform answers, then sends.
// Without a record nothing is sent: it would be of unknown age.
func (s *Sender) recordThenSend(ctx context.Context, e catalogue.Entry, d Record) error {
	for {
		switch _, err := s.CommitRecord(ctx, e, d); {
		case err == nil:
			return s.send(ctx, d)
		case errors.Is(err, ErrAlreadyRecorded):
			return nil
		case errors.Is(err, ErrTooStale):
			s.cfg.Counters.Stale.Inc(1)
			return nil
		}
		if !clock.Sleep(ctx, recordPause) {
			s.cfg.Counters.Lost.Inc(1)
			return ctx.Err()
		}
	}
}

// send delivers the recorded samples of d, then deletes their record.
func (s *Sender) send(ctx context.Context, d Record) error {
	if _, err := s.Deliver(ctx, d); err != nil {
		return err
	}
	return s.DeleteRecord(ctx, d.Key)
}

// Deliver sends the recorded samples of d to their trainer, and reports
// whether it learned them all or found some too old. If they have grown too
// old since they were recorded they are not sent.
func (s *Sender) Deliver(ctx context.Context, d Record) (learned bool, err error) {
	if e, ok := s.cfg.View().Entries[d.Entry]; ok && s.cfg.View().VersionTooOld(e, d.oldest()) {
		s.cfg.Counters.Stale.Inc(int64(len(d.Samples)))
		return false, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.cfg.SendContext, cancel)()
	tc := trainer.NewClient(d.Trainer, s.cfg.HTTP)
	var ack trainer.Ack
	for try := range deliveryTries {
		if try > 0 {
			s.cfg.Counters.Retries.Inc(1)
			if !clock.Sleep(ctx, time.Duration(try)*deliveryPause) {
				return false, ctx.Err()
			}
		}
		if ack, err = tc.Deliver(ctx, trainer.Group{Samples: d.Samples, MaxVersionLag: d.MaxVersionLag}); err == nil {
			s.cfg.Counters.Delivered.Inc(int64(len(d.Samples) - len(ack.Stale)))
			s.cfg.Counters.Stale.Inc(int64(len(ack.Stale)))
			return len(ack.Stale) == 0, nil
		}
	}
	return false, fmt.Errorf("deliver %s: %w", d.Key, err)
}

// DeleteRecord deletes the record at key, reading its version first, since a
// lost reply may have hidden it from the writer.
func (s *Sender) DeleteRecord(ctx context.Context, key string) error {
	row, err := s.cfg.Platform.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("forget %s: %w", key, err)
	}
	_, err = s.cfg.Platform.Commit(ctx, platform.Delete(key, row.Version))
	return err
}
