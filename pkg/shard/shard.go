// Package shard runs shards of training steps: under a shard's lease it has the
// samples of its groups made, records complete groups together with its progress
// and has them delivered, until the step closes.
package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// Config configures the runs of shards.
type Config struct {
	Platform     *platform.Client
	Clock        clock.Clock
	Logger       *log.Logger
	Holder       string               // of the shards' leases: names this process
	View         func() *control.View // the control state in force
	Samples      *delivery.Sender
	Generate     func(context.Context, Attempt) (trainer.Sample, error)
	Policy       step.Policy     // its MaxRunning is taken from the catalogue entry's limit
	TickInterval time.Duration   // period of a shard's decisions
	DrainTimeout time.Duration   // deliveries under way are waited for so long when the instance drains
	Stale        metrics.Counter // samples too old to be delivered
}

// Attempt is one try to make one sample of a step.
type Attempt struct {
	step.Attempt
	Entry       catalogue.Entry
	Spec        step.Spec
	UsedEngines []string          // engines that other attempts at the same item have used
	OnEngine    func(addr string) // is told of each engine that this one uses
}

// run is one run of a shard under the shard's lease. Its loop owns
// all of it; generations run on its group and report through ended.
type run struct {
	cfg     Config
	id      control.ShardID
	head    step.Head
	headRow uint64 // version of the head's row; it moves when the step closes
	spec    step.Spec
	entry   catalogue.Entry

	keeper    *lease.Manager
	held      lease.Held
	progress  step.Progress
	step      *step.Run
	nextRenew time.Time
	uncounted bool // the step may be complete, and has not been seen not to be

	sending map[int]bool // groups whose delivery this run has under way
	acks    []ack        // to be kept, after the platform did not answer

	group   errgroup.Group
	ended   chan step.AttemptEnded
	acked   chan ack
	over    chan struct{}              // closed when the loop is over
	cancels map[int]context.CancelFunc // by attempt number
	used    usedEngines
}

// Reasons a shard's run ends.
var (
	errStepClosed = errors.New("step closed")
	errShardLost  = errors.New("shard lease lost")
)

// Run runs a shard, whose lease lives for ttl, until the step closes, the lease
// is lost or ctx ends; then it gives the lease up.
func Run(ctx context.Context, cfg Config, id control.ShardID, ttl time.Duration) error {
	r := &run{cfg: cfg, id: id, ended: make(chan step.AttemptEnded, 64), acked: make(chan ack),
		over: make(chan struct{}), sending: map[int]bool{}, cancels: map[int]context.CancelFunc{},
		keeper: &lease.Manager{Table: cfg.Platform, Clock: cfg.Clock, Name: step.ShardKey(id.Step, id.Shard), Holder: cfg.Holder, TTL: ttl}}
	if err := r.open(ctx); err != nil {
		return err
	}
	err := r.loop(ctx)
	if errors.Is(err, context.Canceled) {
		r.settle(context.WithoutCancel(ctx))
	}
	close(r.over)
	for _, cancel := range r.cancels {
		cancel()
	}
	_ = r.group.Wait()
	_ = r.keeper.Release(context.WithoutCancel(ctx))
	return err
}

// settle waits a while for the deliveries under way and keeps what they bring,
// so that a holder that leaves in good order has nothing sent again by the
// next. After a kill the next holder can't tell, and sends again what is
// recorded; the trainer knows it by its ID.
func (r *run) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.DrainTimeout)
	defer cancel()
	for len(r.sending) > 0 {
		var err error
		select {
		case a := <-r.acked:
			err = r.keepAcks(ctx, a)
		case <-time.After(r.cfg.TickInterval):
			err = r.keepAcks(ctx) // those the platform did not answer for
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return
		}
	}
}

// open reads the step, takes the shard's lease, waiting for another's to
// lapse, and picks up its progress.
func (r *run) open(ctx context.Context) error {
	if err := r.readHead(ctx); err != nil {
		return err
	}
	b, err := r.cfg.Platform.GetObject(ctx, step.ObjectName(r.id.Step, r.head.Digest))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &r.spec); err != nil {
		return fmt.Errorf("step %s: %w", r.id.Step, err)
	}
	if r.entry, err = r.cfg.View().EntryFor(r.head.Customer, r.head.Entry); err != nil {
		return err
	}
	for {
		switch err := r.renew(ctx); {
		case err == nil:
			r.step = step.NewRun(r.spec, r.head.ShardGroups(r.id.Shard), r.progress, r.policy())
			return nil
		case !errors.Is(err, lease.ErrHeld):
			return err
		}
		if !clock.Sleep(ctx, r.keeper.TTL/control.RenewalsPerTTL) {
			return ctx.Err()
		}
		if err := r.readHead(ctx); err != nil {
			return err
		}
	}
}

// loop runs the shard until ctx ends or the run does. A call to the platform
// that is under way when ctx ends is seen through, so that its outcome is
// known to settle.
func (r *run) loop(ctx context.Context) error {
	calls := context.WithoutCancel(ctx)
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		var effs []step.Effect
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-r.ended:
			r.forget(ev.Attempt)
			r.step.Reduce(ev)
			effs = r.step.Reduce(step.Tick{At: r.cfg.Clock.Now()})
		case a := <-r.acked:
			if err := r.keepAcks(calls, a); err != nil {
				return err
			}
		case <-ticker.C:
			if err := r.upkeep(calls); err != nil {
				return err
			}
			effs = r.step.Reduce(step.Tick{At: r.cfg.Clock.Now()})
		}
		if err := r.carryOut(ctx, effs); err != nil {
			return err
		}
	}
}

func (r *run) carryOut(ctx context.Context, effs []step.Effect) error {
	for _, eff := range effs {
		switch e := eff.(type) {
		case step.Start:
			r.start(ctx, e.Attempt)
		case step.Cancel:
			r.forget(e.Attempt)
		case step.Deliver:
			if err := r.deliver(context.WithoutCancel(ctx), e); err != nil {
				return err
			}
		}
	}
	return nil
}

// policy is the policy of the step: the instance's, with its entry's limit.
func (r *run) policy() step.Policy {
	p := r.cfg.Policy
	p.MaxRunning = r.entry.Limits.MaxInFlight
	return p
}

// close closes the step for the given reason, unless it is closed.
func (r *run) close(ctx context.Context, why step.Reason) error {
	closed, err := step.Close(ctx, r.cfg.Platform, r.id.Step, why, r.cfg.Clock.Now())
	if closed {
		r.cfg.Logger.Info("step closed", "step", r.id.Step, "reason", why)
	}
	return err
}
