package shard

import (
	"context"
	"slices"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/step"
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
func (r *run) forget(a step.Attempt) {
	if cancel, ok := r.cancels[a.Number]; ok {
		cancel()
		delete(r.cancels, a.Number)
	}
}

// start runs one generation on the group.
func (r *run) start(ctx context.Context, a step.Attempt) {
	ctx, cancel := context.WithDeadline(ctx, r.head.Deadline)
	r.cancels[a.Number] = cancel
	r.group.Go(func() error {
		defer cancel()
		smp, err := r.cfg.Generate(ctx, Attempt{Attempt: a, Entry: r.entry, Spec: r.spec,
			UsedEngines: r.used.of(a.Item), OnEngine: func(addr string) { r.used.add(a.Item, addr) }})
		select {
		case r.ended <- step.AttemptEnded{Attempt: a, Sample: smp, Err: err, At: r.cfg.Clock.Now()}:
		case <-ctx.Done():
		}
		return nil
	})
}
