package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// shardID names one shard of a step.
type shardID struct {
	Step  string // step.Key
	Shard int
}

func (id shardID) String() string { return fmt.Sprintf("%s/%d", id.Step, id.Shard) }

// shardRun runs one shard of a step under the shard's lease. Its loop owns
// all of it; generations run on its group and report through ended.
type shardRun struct {
	in      *Instance
	id      shardID
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

// usedEngines holds the engines that the attempts at each item have used, so
// that a second attempt goes elsewhere. It is safe for concurrent use.
type usedEngines struct {
	mu      sync.Mutex
	engines map[step.Item][]string
}

func (u *usedEngines) add(it step.Item, addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.engines == nil {
		u.engines = map[step.Item][]string{}
	}
	u.engines[it] = append(u.engines[it], addr)
}

func (u *usedEngines) of(it step.Item) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.engines[it])
}

// Reasons a shard's run ends.
var (
	errStepClosed = errors.New("step closed")
	errShardLost  = errors.New("shard lease lost")
)

// runShard runs a shard until the step closes, the lease is lost or ctx
// ends; then it gives the lease up.
func (in *Instance) runShard(ctx context.Context, e runShard) error {
	id := e.id
	r := &shardRun{in: in, id: id, ended: make(chan step.Ended, 64), acked: make(chan ack),
		over: make(chan struct{}), sending: map[int]bool{}, cancels: map[int]context.CancelFunc{},
		keeper: &lease.Keeper{Table: in.cfg.Platform, Clock: in.cfg.Clock, Name: step.ShardKey(id.Step, id.Shard),
			Holder: in.cfg.ID + "/" + in.life, TTL: e.ttl}}
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
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), in.cfg.PlatformTimeout)
	defer cancel()
	_ = r.keeper.Release(rctx)
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
	b, err := r.in.getObject(ctx, step.ObjectName(r.id.Step, r.head.Digest))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, &r.spec); err != nil {
		return fmt.Errorf("step %s: %w", r.id.Step, err)
	}
	if r.entry, err = r.in.View().entryFor(r.head.Customer, r.head.Entry); err != nil {
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
		if err := sleep(ctx, r.keeper.TTL/3); err != nil {
			return err
		}
		if err := r.readHead(ctx); err != nil {
			return err
		}
	}
}

// stepPolicy is the policy of e's steps: the instance's, with e's limit.
func (in *Instance) stepPolicy(e catalogue.Entry) step.Policy {
	p := in.cfg.StepPolicy
	p.MaxRunning = e.Limits.MaxInFlight
	return p
}

func (r *shardRun) readHead(ctx context.Context) error {
	head, row, err := r.in.readHead(ctx, r.id.Step)
	if err != nil {
		return err // what was read before still stands
	}
	r.head, r.headRow = head, row
	if r.head.Closed != "" {
		return errStepClosed
	}
	return nil
}

// renew takes or renews the lease, and reads back the progress kept with it.
func (r *shardRun) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.in.cfg.PlatformTimeout)
	defer cancel()
	held, err := r.keeper.Take(ctx, nil)
	if err != nil {
		return err
	}
	r.held = held
	r.nextRenew = r.in.cfg.Clock.Now().Add(r.keeper.TTL / renewalsPerTTL)
	if now := r.in.cfg.Clock.Now(); now.Before(r.head.DueAt) && r.head.DueAt.Before(r.nextRenew) {
		r.nextRenew = r.head.DueAt // when upkeep closes the step
	}
	if len(held.Data) > 0 {
		return json.Unmarshal(held.Data, &r.progress)
	}
	return nil
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

// upkeep renews the lease when due, sees whether the step has closed, and
// raises the floor of versions that samples may have.
func (r *shardRun) upkeep(ctx context.Context) error {
	now := r.in.cfg.Clock.Now()
	view := r.in.View()
	if newest := view.Newest[r.entry.Pool]; newest > r.entry.MaxVersionLag {
		r.run.Reduce(step.Floor{Version: newest - r.entry.MaxVersionLag})
	}
	if now.Before(r.nextRenew) {
		return nil
	}
	if !now.Before(r.head.DueAt) {
		if err := r.in.closeStep(ctx, r.id.Step, step.Due); err == nil {
			return errStepClosed
		}
	}
	if err := r.readHead(ctx); errors.Is(err, errStepClosed) || errors.Is(err, platform.ErrNotFound) {
		return errStepClosed
	}
	switch err := r.renew(ctx); {
	case errors.Is(err, lease.ErrHeld):
		return errShardLost
	case err != nil && !now.Before(r.held.ValidUntil):
		return errShardLost
	case err != nil:
		r.nextRenew = now.Add(r.in.cfg.StepTick) // the platform is away; the lease still holds
	}
	if err := r.keepAcks(ctx); err != nil {
		return err
	}
	r.resend(ctx)
	if r.uncounted {
		return r.closeIfComplete(ctx)
	}
	return nil
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

// forget ends an attempt that is over or no longer wanted.
func (r *shardRun) forget(a step.Attempt) {
	if cancel, ok := r.cancels[a.Number]; ok {
		cancel()
		delete(r.cancels, a.Number)
	}
}

// start runs one generation on the group.
func (r *shardRun) start(ctx context.Context, a step.Attempt) {
	ctx, cancel := context.WithDeadline(ctx, r.head.DueAt)
	r.cancels[a.Number] = cancel
	r.group.Go(func() error {
		defer cancel()
		smp, err := r.generate(ctx, a)
		select {
		case r.ended <- step.Ended{Attempt: a, Sample: smp, Err: err, At: r.in.cfg.Clock.Now()}:
		case <-ctx.Done():
		}
		return nil
	})
}

// generate makes one sample. It is named by its group and place, so that a
// group submitted again in another step is not learned twice.
func (r *shardRun) generate(ctx context.Context, a step.Attempt) (trainer.Sample, error) {
	release, err := r.in.admitEntry(r.entry)
	if err != nil {
		return trainer.Sample{}, err
	}
	defer release()
	g := r.spec.Groups[a.Group]
	gen := &generation{in: r.in, entry: r.entry, emit: func(Event) error { return nil },
		tried: r.used.of(a.Item), using: func(addr string) { r.used.add(a.Item, addr) },
		req: GenerateRequest{Customer: r.spec.Customer, Entry: r.spec.Entry, Prompt: g.Prompt, MaxTokens: g.MaxTokens, Group: g.ID,
			RequestID: fmt.Sprintf("%s.%s.%d.%s.%d", r.spec.ID, g.ID, a.Index, r.in.life, a.Number)}}
	res, err := gen.run(ctx)
	if err != nil {
		return trainer.Sample{}, err
	}
	smp := gen.sample(res)
	smp.ID = fmt.Sprintf("%s.%s.%s.%d", r.spec.Customer, r.spec.Entry, g.ID, a.Index)
	return smp, nil
}

func (in *Instance) getObject(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, in.cfg.PlatformTimeout)
	defer cancel()
	return in.cfg.Platform.GetObject(ctx, name)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
