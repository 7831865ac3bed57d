package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

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
