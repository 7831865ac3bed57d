package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/control"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// shardRun runs one shard of a step under the shard's lease. Its loop owns
// all of it; generations run on its group and report through ended.
type shardRun struct {
	in      *Instance
	id      control.ShardID
	head    step.Head
	headRow uint64 // version of the head's row; it moves when the step closes
	spec    step.Spec
	entry   catalogue.Entry

	keeper    *lease.Keeper
	held      lease.Held
	progress  step.Progress
	run       *step.Run
	nextRenew time.Time
	uncounted bool // the step may be complete, and has not been seen not to be

	sending map[int]bool // groups whose delivery this run has under way
	acks    []ack        // to be kept, after the platform did not answer

	group   errgroup.Group
	ended   chan step.Ended
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

// runShard runs a shard until the step closes, the lease is lost or ctx
// ends; then it gives the lease up.
func (in *Instance) runShard(ctx context.Context, e control.RunShard) error {
	id := e.ID
	r := &shardRun{in: in, id: id, ended: make(chan step.Ended, 64), acked: make(chan ack),
		over: make(chan struct{}), sending: map[int]bool{}, cancels: map[int]context.CancelFunc{},
		keeper: &lease.Keeper{Table: in.cfg.Platform, Clock: in.cfg.Clock, Name: step.ShardKey(id.Step, id.Shard),
			Holder: in.cfg.ID + "/" + in.life, TTL: e.TTL}}
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
func (r *shardRun) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainSends)
	defer cancel()
	for len(r.sending) > 0 {
		var err error
		select {
		case a := <-r.acked:
			err = r.keepAcks(ctx, a)
		case <-time.After(r.in.cfg.StepTick):
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
func (r *shardRun) open(ctx context.Context) error {
	if err := r.readHead(ctx); err != nil {
		return err
	}
	b, err := r.in.cfg.Platform.GetObject(ctx, step.ObjectName(r.id.Step, r.head.Digest))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &r.spec); err != nil {
		return fmt.Errorf("step %s: %w", r.id.Step, err)
	}
	if r.entry, err = r.in.View().EntryFor(r.head.Customer, r.head.Entry); err != nil {
		return err
	}
	for {
		switch err := r.renew(ctx); {
		case err == nil:
			r.run = step.NewRun(r.spec, r.head.ShardGroups(r.id.Shard), r.progress, r.in.stepPolicy(r.entry))
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
func (r *shardRun) loop(ctx context.Context) error {
	calls := context.WithoutCancel(ctx)
	ticker := time.NewTicker(r.in.cfg.StepTick)
	defer ticker.Stop()
	for {
		var effs []step.Effect
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-r.ended:
			r.forget(ev.Attempt)
			r.run.Reduce(ev)
			effs = r.run.Reduce(step.Tick{At: r.in.cfg.Clock.Now()})
		case a := <-r.acked:
			if err := r.keepAcks(calls, a); err != nil {
				return err
			}
		case <-ticker.C:
			if err := r.upkeep(calls); err != nil {
				return err
			}
			effs = r.run.Reduce(step.Tick{At: r.in.cfg.Clock.Now()})
		}
		if err := r.carryOut(ctx, effs); err != nil {
			return err
		}
	}
}

func (r *shardRun) carryOut(ctx context.Context, effs []step.Effect) error {
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

// stepPolicy is the policy of e's steps: the instance's, with e's limit.
func (in *Instance) stepPolicy(e catalogue.Entry) step.Policy {
	p := in.cfg.StepPolicy
	p.MaxRunning = e.Limits.MaxInFlight
	return p
}
