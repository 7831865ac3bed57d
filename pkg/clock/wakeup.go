package clock

import (
	"context"
	"time"
)

// Wakeup ends a wait early. Only one goroutine may wait at a time; a signal while none
// waits ends the next wait.
type Wakeup chan struct{}

// NewWakeup returns a Wakeup without a signal.
func NewWakeup() Wakeup { return make(Wakeup, 1) }

// Signal ends the current wait, or the next one if none waits.
func (w Wakeup) Signal() {
	select {
	case w <- struct{}{}:
	default: // a signal is pending already
	}
}

// Wait waits for d, until a signal, or until ctx is done.
func (w Wakeup) Wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-w:
	}
}
