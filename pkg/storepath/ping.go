package storepath

import (
	"context"
	"sync"
	"time"
)

// failureHolds is how long a failed ping answers for the next: as long as looks for a
// way are apart while there is none.
const failureHolds = lostPause

// sharedPing is the ping of the direct way for all who ask for it here: this instance,
// and peers that look for a way. A failure holds for a while, so that a store that
// refuses all instances is not called by each of them for itself and for others: 160
// calls a second of each, of 295 three times as many as the store serves.
type sharedPing struct {
	ping func(ctx context.Context) error

	mu       sync.Mutex
	failure  error // the last, if it holds still
	failedAt time.Time
}

// Ping asks the store, unless it has just failed. A ping under way is not waited for
// by others: it may hang where the next one is answered.
func (p *sharedPing) Ping(ctx context.Context) error {
	if err := p.held(time.Now()); err != nil {
		return err
	}
	err := p.ping(ctx)
	if err != nil && ctx.Err() == nil { // else its caller gave it up
		p.mu.Lock()
		p.failure, p.failedAt = err, time.Now()
		p.mu.Unlock()
	}
	return err
}

// held returns the last failure if it holds at now.
func (p *sharedPing) held(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.failedAt) < failureHolds {
		return p.failure
	}
	return nil
}
