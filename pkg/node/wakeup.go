package node

import (
	"context"
	"time"
)

// wakeup ends a wait early. Its users wait one at a time; a ring while nobody waits
// ends the next wait.
type wakeup chan struct{}

func newWakeup() wakeup { return make(wakeup, 1) }

func (w wakeup) ring() {
	select {
	case w <- struct{}{}:
	default: // it has rung already
	}
}

// wait waits for d, until it rings or until ctx ends.
func (w wakeup) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w:
	}
}
