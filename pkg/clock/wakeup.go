package clock

import (
	"context"
	"time"
)

// Wakeup ends a wait early. Its users wait one at a time; a ring while nobody waits
// ends the next wait.
type Wakeup chan struct{}

// NewWakeup returns a Wakeup that has not rung.
func NewWakeup() Wakeup { return make(Wakeup, 1) }

// Signal ends the wait that is under way, or the next one.
func (w Wakeup) Signal() {
	select {
	case w <- struct{}{}:
	default: // it has rung already
	}
}

// Wait waits for d, until it rings or until ctx ends.
func (w Wakeup) Wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w:
	}
}
