package forward

import (
	"math"
	"sync"
	"time"
)

const (
	// returnWindow is over how long answers and rejections are counted: long
	// enough for some tens of requests at an instance, short enough to follow a
	// burst.
	returnWindow = time.Second
	// returnPrior is how many requests a pool is taken to have served beside those
	// counted: an instance that gets a few requests a second knows little from one
	// that found no room.
	returnPrior = 3
	// returnShare is the part of the time that a caller has left of which it waits
	// at the most; the rest is for the attempt that follows.
	returnShare = 1.0 / 3
)

// RetryScheduler decides when callers that were turned away come back. It answers a
// burst that leaves a pool more requests than it has room for: callers that all
// return after the same pause are a burst again, so they are spread over the time
// in which the pool serves as many as were turned away. Its zero value is ready
// for use; it is safe for concurrent use.
type RetryScheduler struct {
	mu    sync.Mutex
	pools map[string]*flow
}

// flow counts a pool's requests, older ones less.
type flow struct {
	at               time.Time // of the last count
	served, rejected float64
}

// fade lets the counts fade until now.
func (f *flow) fade(now time.Time) {
	if age := now.Sub(f.at); age > 0 {
		keep := math.Exp(-float64(age) / float64(returnWindow))
		f.served, f.rejected, f.at = f.served*keep, f.rejected*keep, now
	}
}

// flow returns the counts of a pool as of now. Its caller holds the lock.
func (r *RetryScheduler) flow(pool string, now time.Time) *flow {
	if r.pools == nil {
		r.pools = map[string]*flow{}
	}
	f := r.pools[pool]
	if f == nil {
		f = &flow{at: now}
		r.pools[pool] = f
	}
	f.fade(now)
	return f
}

// Served counts a request that the pool has served.
func (r *RetryScheduler) Served(pool string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flow(pool, now).served++
}

// Reject counts a request that the pool had no room for, and returns when its
// caller, who waits until deadline, may come back. draw is drawn evenly from
// [0, 1).
func (r *RetryScheduler) Reject(pool string, now, deadline time.Time, draw float64) time.Time {
	r.mu.Lock()
	f := r.flow(pool, now)
	f.rejected++
	served, rejected := f.served, f.rejected
	r.mu.Unlock()
	most := time.Duration(returnShare * float64(max(deadline.Sub(now), 0)))
	first := min(returnAfter, most)
	spread := min(most-first, time.Duration(rejected/(served+returnPrior)*float64(returnWindow)))
	return now.Add(first + time.Duration(draw*float64(spread)))
}
