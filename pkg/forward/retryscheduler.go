package forward

import (
	"math"
	"sync"
	"time"
)

const (
	// countWindow is the time constant of the counts of served and rejected requests. It
	// spans some tens of requests at an instance, and is short enough to follow a burst.
	countWindow = time.Second
	// servedPrior is added to the number of served requests. An instance that gets a few
	// requests a second can infer little from one rejection.
	servedPrior = 3
	// maxDelayShare is the maximum retry delay as a fraction of the time until the caller's
	// deadline. The rest of that time is for the retry.
	maxDelayShare = 1.0 / 3
)

// RetryScheduler decides when rejected callers retry. After a burst that exceeds a pool's
// capacity, callers that all retried after the same delay would form another burst. Their
// retries are therefore spread over the time in which the pool serves as many requests as
// were rejected. The zero value is ready for use. RetryScheduler is safe for concurrent
// use.
type RetryScheduler struct {
	mu    sync.Mutex
	pools map[string]*poolCounts
}

// poolCounts holds exponentially decaying counts of a pool's requests.
type poolCounts struct {
	at               time.Time // when the counts were last updated
	served, rejected float64
}

// decay applies the decay until now.
func (c *poolCounts) decay(now time.Time) {
	if age := now.Sub(c.at); age > 0 {
		keep := math.Exp(-float64(age) / float64(countWindow))
		c.served, c.rejected, c.at = c.served*keep, c.rejected*keep, now
	}
}

// counts returns the counts of a pool at now. r.mu must be held.
func (r *RetryScheduler) counts(pool string, now time.Time) *poolCounts {
	if r.pools == nil {
		r.pools = map[string]*poolCounts{}
	}
	c := r.pools[pool]
	if c == nil {
		c = &poolCounts{at: now}
		r.pools[pool] = c
	}
	c.decay(now)
	return c
}

// Served counts a request that the pool served.
func (r *RetryScheduler) Served(pool string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(pool, now).served++
}

// Reject counts a request that the pool had no capacity for, and returns when its caller
// may retry. deadline is the caller's deadline. draw is a uniform random number in [0, 1).
func (r *RetryScheduler) Reject(pool string, now, deadline time.Time, draw float64) time.Time {
	r.mu.Lock()
	c := r.counts(pool, now)
	c.rejected++
	served, rejected := c.served, c.rejected
	r.mu.Unlock()
	most := time.Duration(maxDelayShare * float64(max(deadline.Sub(now), 0)))
	first := min(minRetryDelay, most)
	spread := min(most-first, time.Duration(rejected/(served+servedPrior)*float64(countWindow)))
	return now.Add(first + time.Duration(draw*float64(spread)))
}
