// Package shard runs shards of training steps. Under a shard's lease it generates the
// samples of the shard's groups, records complete groups together with its progress and
// delivers them, until the step closes.
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
	Holder       string               // name of this process as lease holder
	View         func() *control.View // returns the current control state
	Samples      *delivery.Sender
	Generate     func(context.Context, Attempt) (trainer.Sample, error)
	Policy       step.Policy     // MaxRunning is replaced by the catalogue entry's limit
	TickInterval time.Duration   // period of the shard's decisions
	DrainTimeout time.Duration   // bounds the wait for deliveries in progress when the instance drains
	Stale        metrics.Counter // counts samples too old to be delivered
}

// Attempt is one attempt to generate one sample of a step.
type Attempt struct {
	step.Attempt
	Entry       catalogue.Entry
	Spec        step.Spec
	UsedEngines []string          // addresses of engines used by other attempts at the same item
	OnEngine    func(addr string) // called with the address of each engine that this attempt uses
}

// run is one run of a shard under the shard's lease. Only its loop accesses its state;
// generations run in goroutines of group and report through ended.
type run struct {
	cfg     Config
	id      control.ShardID
	head    step.Head
	headRow uint64 // version of the head's row, which changes when the step closes
	spec    step.Spec
	entry   catalogue.Entry

	leaseManager  *lease.Manager
	heldLease     lease.Held
	progress      step.Progress
	step          *step.Run
	nextRenew     time.Time
	mayBeComplete bool // whether a group was delivered since the delivered groups were last counted

	sending           map[int]bool     // groups that this run is delivering
	unrecordedResults []deliveryResult // results to record again, after the platform did not answer

	group     errgroup.Group
	ended     chan step.AttemptEnded
	delivered chan deliveryResult
	loopDone  chan struct{}              // closed when the loop has ended
	cancels   map[int]context.CancelFunc // by attempt number
	used      usedEngines
}

// Errors that end a run.
var (
	errStepClosed = errors.New("step closed")
	errLeaseLost  = errors.New("shard lease lost")
)

// Run runs a shard under a lease with the given TTL until the step closes, the lease is
// lost or ctx is done, and then releases the lease. It returns the reason, which is
// never nil.
func Run(ctx context.Context, cfg Config, id control.ShardID, ttl time.Duration) error {
	r := &run{cfg: cfg, id: id, ended: make(chan step.AttemptEnded, 64), delivered: make(chan deliveryResult),
		loopDone: make(chan struct{}), sending: map[int]bool{}, cancels: map[int]context.CancelFunc{},
		leaseManager: &lease.Manager{Table: cfg.Platform, Clock: cfg.Clock, Name: step.ShardKey(id.Step, id.Shard), Holder: cfg.Holder, TTL: ttl}}
	if err := r.open(ctx); err != nil {
		return err
	}
	err := r.loop(ctx)
	if errors.Is(err, context.Canceled) {
		r.finishDeliveries(context.WithoutCancel(ctx))
	}
	close(r.loopDone)
	for _, cancel := range r.cancels {
		cancel()
	}
	_ = r.group.Wait()
	_ = r.leaseManager.Release(context.WithoutCancel(ctx))
	return err
}

// finishDeliveries waits for the deliveries in progress, for Config.DrainTimeout at
// most, and records their results, so that the next lease holder need not send these
// groups again. After a crash the next holder sends all recorded groups again, and the
// trainer recognizes them by their IDs.
func (r *run) finishDeliveries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.DrainTimeout)
	defer cancel()
	for len(r.sending) > 0 {
		var err error
		select {
		case a := <-r.delivered:
			err = r.recordResults(ctx, a)
		case <-time.After(r.cfg.TickInterval):
			err = r.recordResults(ctx) // results that the platform did not answer for
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return
		}
	}
}

// open reads the step, waits until the shard's lease can be acquired, and loads the
// progress stored in it.
func (r *run) open(ctx context.Context) error {
	if err := r.readHead(ctx); err != nil {
		return err
	}
	b, err := r.cfg.Platform.GetObject(ctx, step.ObjectName(r.id.Step, r.head.Digest))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &r.spec); err != nil {
		return fmt.Errorf("step %s: decode spec: %w", r.id.Step, err)
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
		if !clock.Sleep(ctx, r.leaseManager.TTL/control.RenewalsPerTTL) {
			return ctx.Err()
		}
		if err := r.readHead(ctx); err != nil {
			return err
		}
	}
}

// loop runs the shard until ctx is done or an error ends the run. A call to the
// platform in progress when ctx is done is completed, so that finishDeliveries knows
// its outcome.
func (r *run) loop(ctx context.Context) error {
	callCtx := context.WithoutCancel(ctx)
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	for {
		var effects []step.Effect
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-r.ended:
			r.cancelAttempt(ev.Attempt)
			r.step.Reduce(ev)
			effects = r.step.Reduce(step.Tick{At: r.cfg.Clock.Now()})
		case a := <-r.delivered:
			if err := r.recordResults(callCtx, a); err != nil {
				return err
			}
		case <-ticker.C:
			if err := r.maintain(callCtx); err != nil {
				return err
			}
			effects = r.step.Reduce(step.Tick{At: r.cfg.Clock.Now()})
		}
		if err := r.runEffects(ctx, effects); err != nil {
			return err
		}
	}
}

func (r *run) runEffects(ctx context.Context, effects []step.Effect) error {
	for _, effect := range effects {
		switch e := effect.(type) {
		case step.Start:
			r.start(ctx, e.Attempt)
		case step.Cancel:
			r.cancelAttempt(e.Attempt)
		case step.Deliver:
			if err := r.deliver(context.WithoutCancel(ctx), e); err != nil {
				return err
			}
		}
	}
	return nil
}

// policy returns the instance's policy with the limit of the step's catalogue entry.
func (r *run) policy() step.Policy {
	p := r.cfg.Policy
	p.MaxRunning = r.entry.Limits.MaxInFlight
	return p
}

// close closes the step for the given reason, unless it is closed already.
func (r *run) close(ctx context.Context, reason step.Reason) error {
	closed, err := step.Close(ctx, r.cfg.Platform, r.id.Step, reason, r.cfg.Clock.Now())
	if closed {
		r.cfg.Logger.Info("step closed", "step", r.id.Step, "reason", reason)
	}
	return err
}
