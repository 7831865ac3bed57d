package storepath

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// failureTTL is how long the error of a failed ping is returned to later requests: as
// long as the time between two checks while the store is unreachable.
const failureTTL = unreachablePause

// sharedPing shares pings of the direct path among all who request them here: this
// instance, and peers that check their paths. A failure is reused for failureTTL, and
// requests that arrive while a ping is young wait for it. Without this, each instance
// would call a store that refuses them all for itself and on behalf of others: 160 calls
// per second from each, which from 295 instances is three times as many as the store
// serves.
type sharedPing struct {
	ping func(ctx context.Context) error

	mu       sync.Mutex
	last     *pingCall // started last; nil if it has ended
	failure  error     // error of the last failed ping
	failedAt time.Time
}

// pingCall is one ping. Its outcome is written before done is closed.
type pingCall struct {
	startedAt time.Time
	done      chan struct{}
	// cancelled means that the caller that made the ping left before it was answered, so
	// that the outcome says nothing about the store.
	cancelled bool
	err       error
}

// shareUntil returns until when others wait for this ping. After that they start another,
// because this one may hang while the next one is answered.
func (c *pingCall) shareUntil() time.Time { return c.startedAt.Add(failureTTL) }

// Ping pings the store, waits for a young ping in flight, or returns the error of a
// recent one.
func (p *sharedPing) Ping(ctx context.Context) error {
	_, err := p.timedPing(ctx)
	return err
}

// timedPing is Ping, and returns when the ping was sent that was answered. That may be
// long after the call, if an earlier ping hangs.
func (p *sharedPing) timedPing(ctx context.Context) (sentAt time.Time, err error) {
	for {
		c, own, err := p.startPing(time.Now())
		if err != nil {
			return time.Time{}, err
		}
		if own {
			err := p.ping(ctx)
			p.endPing(c, err, ctx.Err() != nil, time.Now())
			return c.startedAt, err
		}
		if err, ok := c.wait(ctx); ok {
			return c.startedAt, err
		}
	}
}

// wait waits for the outcome of another caller's ping. It reports false if the ping must
// be requested again.
func (c *pingCall) wait(ctx context.Context) (error, bool) {
	timer := time.NewTimer(time.Until(c.shareUntil()))
	defer timer.Stop()
	select {
	case <-c.done:
		return c.err, !c.cancelled
	case <-timer.C:
		return nil, false
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err()), true
	}
}

// startPing returns the ping to wait for, or one for the caller to make, with own set, or
// the error of a ping that failed recently.
func (p *sharedPing) startPing(now time.Time) (c *pingCall, own bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil && now.Sub(p.failedAt) < failureTTL {
		return nil, false, p.failure
	}
	if p.last != nil && now.Before(p.last.shareUntil()) {
		return p.last, false, nil
	}
	p.last = &pingCall{startedAt: now, done: make(chan struct{})}
	return p.last, true, nil
}

// endPing records the outcome of c. A cancelled ping says nothing about the store.
func (p *sharedPing) endPing(c *pingCall, err error, cancelled bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.err, c.cancelled = err, cancelled && err != nil
	close(c.done)
	if p.last == c {
		p.last = nil
	}
	if err != nil && !c.cancelled {
		p.failure, p.failedAt = err, now
	}
}
