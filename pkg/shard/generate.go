package shard

import (
	"context"
	"slices"
	"sync"

	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// usedEngines holds the engines that the attempts at each item have used, so that
// another attempt uses a different one. It is safe for concurrent use.
type usedEngines struct {
	mu      sync.Mutex
	engines map[step.Item][]string
}

func (u *usedEngines) add(item step.Item, addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.engines == nil {
		u.engines = map[step.Item][]string{}
	}
	u.engines[item] = append(u.engines[item], addr)
}

func (u *usedEngines) get(item step.Item) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.engines[item])
}

// cancelAttempt cancels an attempt and releases its context. It does nothing if the
// attempt is not known.
func (r *run) cancelAttempt(a step.Attempt) {
	if cancel, ok := r.cancels[a.Number]; ok {
		cancel()
		delete(r.cancels, a.Number)
	}
}

// start runs one generation in a goroutine of the run's group, until the deadline of
// the step at most.
func (r *run) start(ctx context.Context, a step.Attempt) {
	ctx, cancel := context.WithDeadline(ctx, r.head.Deadline)
	r.cancels[a.Number] = cancel
	r.group.Go(func() error {
		defer cancel()
		sample, err := r.cfg.Generate(ctx, Attempt{Attempt: a, Entry: r.entry, Spec: r.spec,
			UsedEngines: r.used.get(a.Item), OnEngine: func(addr string) { r.used.add(a.Item, addr) }})
		select {
		case r.ended <- step.AttemptEnded{Attempt: a, Sample: sample, Err: err, At: r.cfg.Clock.Now()}:
		case <-ctx.Done():
		}
		return nil
	})
}
