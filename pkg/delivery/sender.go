// Package delivery delivers samples to their trainers. It writes a record to the platform's
// table before the first send and deletes it after the trainer's acknowledgement. If an
// instance fails, another one finds in the records what is left to send. A sample may be
// sent more than once, but trainers identify samples by ID.
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
	HTTP         *http.Client         // client for requests to trainers
	View         func() *control.View // returns the current control state
	NewAttemptID func() string        // returns a unique ID for an attempt to create a record
	Go           func(func() error)   // runs a send in the background
	SendContext  context.Context      // sends are cancelled with it; another instance sends the rest
	Counters     Counters
}

// Counters holds the counters of samples.
type Counters struct {
	Delivered   metrics.Counter // accepted by trainers
	Stale       metrics.Counter // rejected because they are too old
	Lost        metrics.Counter // not recorded and therefore not delivered
	Retries     metrics.Counter // repeated sends
	Redelivered metrics.Counter // delivered by Sweep
}

// Sender records and sends samples. It is safe for concurrent use.
type Sender struct{ cfg Config }

// NewSender returns a Sender with configuration cfg.
func NewSender(cfg Config) *Sender { return &Sender{cfg: cfg} }

// NewRecord returns a record of samples with a key made from id. It does not write the
// record.
func (s *Sender) NewRecord(e catalogue.Entry, id string, samples ...trainer.Sample) Record {
	return Record{Key: Key(id), Samples: samples, Trainer: e.Trainer, Entry: e.Name, MaxVersionLag: e.MaxVersionLag,
		Holder: s.cfg.NewAttemptID(), CreatedAt: s.cfg.Clock.Now()}
}

// maxSends is the maximum number of sends of a record by Deliver. If the last one fails,
// the record is left to Sweep.
const maxSends = 3

// sendBackoff is the backoff before the second send. The third waits twice as long.
const sendBackoff = 50 * time.Millisecond

// SendTimeout is the timeout of the sends of a sample after the response to its request.
// Samples not sent by then are left to Sweep.
const SendTimeout = 30 * time.Second

// ErrAlreadyRecorded means that another request has recorded the same samples. That request
// sends them.
var ErrAlreadyRecorded = errors.New("delivery: samples already recorded by another request")

// ErrTooStale means that a sample is older than its catalogue entry allows.
var ErrTooStale = errors.New("delivery: weight version of the sample is too old")

// RecordAndSend records and sends one sample, and returns its ID, or "" if the sample is
// too old. It waits neither for the trainer nor for a platform that is unavailable.
func (s *Sender) RecordAndSend(ctx context.Context, e catalogue.Entry, smp trainer.Sample) string {
	r := s.NewRecord(e, smp.ID, smp)
	switch _, err := s.CommitRecord(ctx, e, r); {
	case errors.Is(err, ErrTooStale):
		s.cfg.Counters.Stale.Inc(1)
		return ""
	case errors.Is(err, ErrAlreadyRecorded):
	case err != nil:
		s.RunAsync(ctx, r, func(ctx context.Context) error { return s.recordThenSend(ctx, e, r) })
	default:
		s.RunAsync(ctx, r, func(ctx context.Context) error { return s.send(ctx, r) })
	}
	return smp.ID
}

// RunAsync runs send in the background with SendTimeout. It logs an error of send with r's
// key.
func (s *Sender) RunAsync(ctx context.Context, r Record, send func(context.Context) error) {
	s.cfg.Go(func() error {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), SendTimeout)
		defer cancel()
		if err := send(ctx); err != nil {
			s.cfg.Logger.Warn("samples left for the sweeper", "record", r.Key, "err", err)
		}
		return nil
	})
}

// CommitRecord writes r and commits ops in one transaction. The transaction succeeds only
// if the pool's target weight version is still the one that the samples were checked
// against, so that a recorded sample is within its limit at that moment.
//
// It returns ErrTooStale for samples beyond the limit and ErrAlreadyRecorded if another
// request created the record. After any other error it is unknown whether the record was
// written, and CommitRecord may be called again. The returned version is that of the rows
// written, or 0 if an earlier call wrote them and its response was lost.
func (s *Sender) CommitRecord(ctx context.Context, e catalogue.Entry, r Record, ops ...platform.Op) (version uint64, err error) {
	put, err := platform.Put(r.Key, 0, r)
	if err != nil {
		return 0, err
	}
	targetKey := weights.TargetPrefix + e.Pool
	view := s.cfg.View()
	newest, target := view.NewestVersions[e.Pool], view.RowVersions[targetKey]
	for {
		if oldest := r.oldest(); oldest == 0 || oldest+e.MaxVersionLag < newest {
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
		case ce.Key == r.Key && r.wrote(ce.Current):
			return 0, nil
		case ce.Key == r.Key:
			return 0, ErrAlreadyRecorded
		default:
			return 0, err
		}
	}
}

// recordRetryDelay is the delay between attempts to record samples while the platform is
// unavailable.
const recordRetryDelay = 100 * time.Millisecond

// recordThenSend records r, retrying until the platform is available, and then sends the
// samples. Samples are not sent without a record because their age could not be checked.
func (s *Sender) recordThenSend(ctx context.Context, e catalogue.Entry, r Record) error {
	for {
		switch _, err := s.CommitRecord(ctx, e, r); {
		case err == nil:
			return s.send(ctx, r)
		case errors.Is(err, ErrAlreadyRecorded):
			return nil
		case errors.Is(err, ErrTooStale):
			s.cfg.Counters.Stale.Inc(1)
			return nil
		}
		if !clock.Sleep(ctx, recordRetryDelay) {
			s.cfg.Counters.Lost.Inc(1)
			return ctx.Err()
		}
	}
}

// send sends the recorded samples of r and then deletes the record.
func (s *Sender) send(ctx context.Context, r Record) error {
	if _, err := s.Deliver(ctx, r); err != nil {
		return err
	}
	return s.DeleteRecord(ctx, r.Key)
}

// Deliver sends the recorded samples of r to their trainer, and reports whether the trainer
// accepted all of them. It returns false and no error if samples are too old. Samples that
// became too old after they were recorded are not sent.
func (s *Sender) Deliver(ctx context.Context, r Record) (accepted bool, err error) {
	if e, ok := s.cfg.View().Entries[r.Entry]; ok && s.cfg.View().VersionTooOld(e, r.oldest()) {
		s.cfg.Counters.Stale.Inc(int64(len(r.Samples)))
		return false, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.cfg.SendContext, cancel)()
	tc := trainer.NewClient(r.Trainer, s.cfg.HTTP)
	var ack trainer.Ack
	for try := range maxSends {
		if try > 0 {
			s.cfg.Counters.Retries.Inc(1)
			if !clock.Sleep(ctx, time.Duration(try)*sendBackoff) {
				return false, ctx.Err()
			}
		}
		if ack, err = tc.Deliver(ctx, trainer.Group{Samples: r.Samples, MaxVersionLag: r.MaxVersionLag}); err == nil {
			s.cfg.Counters.Delivered.Inc(int64(len(r.Samples) - len(ack.Stale)))
			s.cfg.Counters.Stale.Inc(int64(len(ack.Stale)))
			return len(ack.Stale) == 0, nil
		}
	}
	return false, fmt.Errorf("send samples of record %s: %w", r.Key, err)
}

// DeleteRecord deletes the record at key if it exists. It reads the record's version first,
// because the writer does not know it if the response to the write was lost.
func (s *Sender) DeleteRecord(ctx context.Context, key string) error {
	row, err := s.cfg.Platform.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("delete record %s: %w", key, err)
	}
	_, err = s.cfg.Platform.Commit(ctx, platform.Delete(key, row.Version))
	return err
}
