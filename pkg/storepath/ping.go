package storepath

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// failureHolds is how long a failed ping answers for the next: as long as looks for a
// way are apart while there is none.
const failureHolds = lostPause

// sharedPing is the ping of the direct way for all who ask for it here: this instance,
// and peers that look for a way. A failure holds for a while, and those who ask while a
// ping is young share it, so that a store that refuses all instances is not called by
// each of them for itself and for others: 160 calls a second of each, of 295 three
// times as many as the store serves.
type sharedPing struct {
	ping func(ctx context.Context) error

	mu       sync.Mutex
	last     *pingCall // begun last; nil for none
	failure  error     // of the last that failed, if it holds still
	failedAt time.Time
}

// pingCall is one ping. Its outcome is written before ended is closed.
type pingCall struct {
	begun time.Time
	ended chan struct{}
	// givenUp means that the one who made the call left before its outcome.
	givenUp bool
	err     error
}

// shareUntil returns until when others wait for the ping rather than begin one: it
// may hang where the next one is answered.
func (c *pingCall) shareUntil() time.Time { return c.begun.Add(failureHolds) }

// Ping asks the store, unless it has just failed, or waits for a young ping that is
// under way.
func (p *sharedPing) Ping(ctx context.Context) error {
	for {
		c, own, err := p.begin(time.Now())
		if err != nil {
			return err
		}
		if own {
			err := p.ping(ctx)
			p.end(c, err, ctx.Err() != nil, time.Now())
			return err
		}
		if err, ok := c.wait(ctx); ok {
			return err
		}
	}
}

// wait waits for the outcome of another's ping. It reports false if the ping is to be
// asked for again.
func (c *pingCall) wait(ctx context.Context) (error, bool) {
	old := time.NewTimer(time.Until(c.shareUntil()))
	defer old.Stop()
	select {
	case <-c.ended:
		return c.err, !c.givenUp
	case <-old.C:
		return nil, false
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err()), true
	}
}

// begin returns the ping to wait for, or the caller's own to make, or the failure
// that holds at now.
func (p *sharedPing) begin(now time.Time) (c *pingCall, own bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil && now.Sub(p.failedAt) < failureHolds {
		return nil, false, p.failure
	}
	if p.last != nil && now.Before(p.last.shareUntil()) {
		return p.last, false, nil
	}
	p.last = &pingCall{begun: now, ended: make(chan struct{})}
	return p.last, true, nil
}

// end takes the outcome of c. What is given up tells nothing of the store.
func (p *sharedPing) end(c *pingCall, err error, givenUp bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.err, c.givenUp = err, givenUp && err != nil
	close(c.ended)
	if p.last == c {
		p.last = nil
	}
	if err != nil && !c.givenUp {
		p.failure, p.failedAt = err, now
	}
}
