package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/waitqueue"
)

const (
	// waitersPerSlot is the number of waiters in a queue per slot of its pool. Requests wait
	// for half of their objective at most, in which a slot rarely serves more than two, even
	// if no other instance sends any.
	waitersPerSlot = 2
	// minWaiters is the least limit of a queue, for pools whose upstreams are not known yet.
	minWaiters = 8
	// customerShare is the share of a full queue that a customer keeps if others want it.
	customerShare = 0.5
	// maxQueues is the number of queues from which on unused ones are removed. Callers name
	// any model they like, and each has a queue.
	maxQueues = 64
)

// ErrDisplaced means that a request that waited for room gave way to a more urgent one, or
// to one of a customer with less than its share of the queue.
var ErrDisplaced = errors.New("forward: displaced from the wait queue")

// roomQueue is a queue of requests that wait for room at the upstreams of a pool.
type roomQueue struct {
	*waitqueue.Queue[string]
	timer *time.Timer // wakes the queue when an upstream may have room again
	users int         // requests that use the queue; guarded by queues.mu
}

// queueKey identifies a queue of a pool. Requests in one queue wait for the same room.
type queueKey struct {
	model string // requests for different models wait for different upstreams
	// size is the power of two next above the tokens of a request, where the memory of
	// upstreams is limited: the first of a queue must not keep others from room in which
	// only they fit. It is 0 elsewhere.
	size int
}

// queues holds the queues of requests that wait. Its zero value is ready for use.
type queues struct {
	mu     sync.Mutex
	byPool map[string]map[queueKey]*roomQueue // by pool
	count  int
}

// use returns the queue of a pool with the key. The caller calls done after its use.
func (qs *queues) use(pool string, key queueKey) *roomQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	q := qs.byPool[pool][key]
	if q == nil {
		if qs.count >= maxQueues {
			qs.removeUnused()
		}
		q = &roomQueue{Queue: waitqueue.New[string](waitqueue.Config{Limit: minWaiters, CustomerShare: customerShare})}
		q.timer = time.AfterFunc(time.Hour, q.Wake)
		q.timer.Stop()
		if qs.byPool == nil {
			qs.byPool = map[string]map[queueKey]*roomQueue{}
		}
		if qs.byPool[pool] == nil {
			qs.byPool[pool] = map[queueKey]*roomQueue{}
		}
		qs.byPool[pool][key] = q
		qs.count++
	}
	q.users++
	return q
}

// done ends the use of a queue.
func (qs *queues) done(q *roomQueue) {
	qs.mu.Lock()
	q.users--
	qs.mu.Unlock()
}

// removeUnused removes the queues that no request uses. qs.mu must be held.
func (qs *queues) removeUnused() {
	for pool, byKey := range qs.byPool {
		for key, q := range byKey {
			if q.users == 0 {
				q.timer.Stop()
				delete(byKey, key)
				qs.count--
			}
		}
		if len(byKey) == 0 {
			delete(qs.byPool, pool)
		}
	}
}

// wake wakes the queues of a pool, whose upstreams may have room.
func (qs *queues) wake(pool string) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for _, q := range qs.byPool[pool] {
		if q.users > 0 {
			q.Wake()
		}
	}
}

// QueueLimit returns the greatest number of requests that wait at an instance for a pool
// with the given number of slots.
func QueueLimit(slots int) int { return max(minWaiters, waitersPerSlot*slots) }

// wait is a request that needs room at an upstream of a contended pool.
type wait struct {
	pool     string
	key      queueKey
	plan     *Plan
	priority int
	customer string
	work     float64 // expected work, in seconds
	report   *Report // nil if it is not read
	// acquire reserves an upstream below maxLoad requests per slot if there is one that is
	// usable; 0 is no limit.
	acquire func(now time.Time, maxLoad float64) (*upstream.Reservation, bool)
}

// reserve returns a reservation for w, for which it waits in the queue of its pool if
// there is no room.
func (f *Forwarder) reserve(ctx context.Context, w wait) (*upstream.Reservation, error) {
	q := f.queues.use(w.pool, w.key)
	defer f.queues.done(q)
	now, limit := time.Now(), w.plan.WaitDeadline()
	if q.Len() == 0 || !now.Before(limit) {
		if rsv, ok := w.acquire(now, 0); ok {
			return rsv, nil
		}
	}
	if !now.Before(limit) {
		return nil, errNoCapacity
	}
	_, slots := f.cfg.Registry.NonDraining(w.pool)
	q.SetLimit(QueueLimit(slots))
	signals := make(chan waitqueue.Signal, 1)
	waiter := waitqueue.Waiter[string]{Priority: w.priority, Customer: w.customer, Work: w.work, Deadline: limit,
		Notify: func(s waitqueue.Signal) { signals <- s }}
	w.report.queueing(q.Ahead(waiter))
	ticket, err := q.Join(waiter, now)
	switch {
	case errors.Is(err, waitqueue.ErrFull):
		f.count("waitqueue.refused_full")
		return nil, err
	case err != nil:
		f.count("waitqueue.refused_late")
		return nil, err
	}
	f.count("waitqueue.joined")
	f.waiting.Add(1)
	w.report.joined(now)
	rsv, err := f.await(ctx, q, ticket, signals, w)
	f.waiting.Add(-1)
	w.report.waitedSince(now)
	metrics.GetOrRegisterTimer("waitqueue.waited", f.cfg.Metrics).UpdateSince(now)
	return rsv, err
}

// await waits until the ticket's request has a reservation or must not wait any longer.
func (f *Forwarder) await(ctx context.Context, q *roomQueue, ticket *waitqueue.Ticket[string], signals <-chan waitqueue.Signal, w wait) (*upstream.Reservation, error) {
	limit := time.NewTimer(time.Until(ticket.Deadline))
	defer limit.Stop()
	q.Wake() // for room that was found after the request had looked for it
	for {
		select {
		case s := <-signals:
			if s == waitqueue.Displaced {
				f.count("waitqueue.displaced")
				return nil, ErrDisplaced
			}
			now := time.Now()
			if rsv, ok := w.acquire(now, WaiterMaxLoad); ok {
				ticket.Take(now)
				return rsv, nil
			}
			q.timer.Reset(RoomAt(f.cfg.Registry, w.pool, now).Sub(now))
			ticket.NoRoom()
		case <-limit.C:
			ticket.Leave()
			return nil, errNoCapacity
		case <-ctx.Done():
			ticket.Leave()
			return nil, waitEnded(ctx)
		}
	}
}

// RoomAt returns when an upstream of the pool may have room again, besides when a request
// ends. Upstreams that are added, or used again after failures, are found after
// BusyBackoff.
func RoomAt(r *upstream.Registry, pool string, now time.Time) time.Time {
	next := now.Add(BusyBackoff)
	if at, ok := r.BusyUntil(pool, now); ok && at.Before(next) {
		return at
	}
	return next
}
