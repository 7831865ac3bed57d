// Package waitqueue orders the requests that wait for capacity: by priority, then by
// weighted fair queueing among customers, then by deadline. It bounds their number and
// refuses those that cannot be served in time.
//
// One waiter at a time looks for capacity: the first in the order, when it has the turn.
// A waiter with the turn ends it with Take, NoRoom or Leave.
package waitqueue

import (
	"cmp"
	"container/heap"
	"errors"
	"math"
	"slices"
	"sync"
	"time"
)

// Errors of Join. The request has not run.
var (
	// ErrFull means that the queue is full of waiters that are at least as urgent.
	ErrFull = errors.New("waitqueue: full")
	// ErrTooLate means that the waiter's deadline would pass before its turn.
	ErrTooLate = errors.New("waitqueue: no capacity expected in time")
)

const (
	// intervalWeight is the weight of a new observation in the mean interval between two
	// waiters that found capacity. Single intervals vary as much as the times of requests.
	intervalWeight = 0.1
	// intervalLifetime is how long that mean is used without a new observation.
	intervalLifetime = 5 * time.Second
	// idleFlows is the number of customers without waiters whose virtual time is kept in
	// addition to that of as many as have waiters.
	idleFlows = 64
)

// Config configures a Queue.
type Config struct {
	// Limit is the greatest number of waiters.
	Limit int
	// CustomerShare is the share of a full queue above which a customer's waiters give way
	// to those of others.
	CustomerShare float64
}

// Signal tells a waiter of a change.
type Signal int

// The signals.
const (
	Turn      Signal = iota // the waiter is to look for capacity
	Displaced               // the waiter has been removed for another one
)

// Waiter describes a request that waits.
type Waiter[K comparable] struct {
	Priority int // 0 is the most urgent
	Customer K
	Work     float64 // expected work in any unit; counts as 1 if not positive
	Deadline time.Time
	// Notify is called with each signal, with the queue locked. It must not block. After
	// Turn there is no other signal until the waiter has ended the turn, and after
	// Displaced there is none.
	Notify func(Signal)
}

// Queue orders waiters, which belong to customers of type K. It is safe for concurrent
// use. Use New to create one.
type Queue[K comparable] struct {
	mu       sync.Mutex
	cfg      Config
	classes  []*class[K] // sorted by priority
	held     map[K]int   // waiters, by customer
	length   int
	joins    uint64
	turn     *Ticket[K] // has the turn; nil if none
	wakeup   bool       // Wake was called during the turn
	takenAt  time.Time  // when the last waiter found capacity; zero if there were no waiters since
	interval float64    // mean interval, in seconds, between two waiters that found capacity
	seenAt   time.Time  // when interval was updated
}

// class holds the waiters of one priority.
type class[K comparable] struct {
	priority int
	waiting  int
	now      float64        // virtual time: that at which the last waiter was served
	flows    flowHeap[K]    // flows with waiters
	known    map[K]*flow[K] // those and some without
}

// flow holds the waiters of one customer in a class.
type flow[K comparable] struct {
	class   *class[K]
	virtual float64      // virtual time at which its next waiter is served
	waiters []*Ticket[K] // sorted by deadline
	index   int          // in class.flows; -1 if it has no waiters
}

// Ticket is a waiter's place in a Queue.
type Ticket[K comparable] struct {
	Waiter[K]
	queue *Queue[K]
	flow  *flow[K] // nil if it has left the queue
	order uint64   // position among the waiters that joined
}

// New returns an empty Queue.
func New[K comparable](cfg Config) *Queue[K] {
	return &Queue[K]{cfg: cfg, held: map[K]int{}}
}

// SetLimit changes the greatest number of waiters. Those that wait stay.
func (q *Queue[K]) SetLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.Limit = n
}

// Len returns the number of waiters.
func (q *Queue[K]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Join adds a waiter at now. It returns ErrTooLate or ErrFull if it must not wait. A full
// queue displaces another waiter for one that is more urgent, or whose customer has less
// than its share while the other's has more. The caller then calls Wake.
func (q *Queue[K]) Join(w Waiter[K], now time.Time) (*Ticket[K], error) {
	if w.Work <= 0 {
		w.Work = 1
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.class(w.Priority)
	f := c.known[w.Customer]
	if q.expectedAt(w, c, f, now).After(w.Deadline) {
		return nil, ErrTooLate
	}
	if q.length >= q.cfg.Limit {
		v := q.victim(w)
		if v == nil {
			return nil, ErrFull
		}
		q.remove(v)
		v.Notify(Displaced)
		f = c.known[w.Customer] // the class may have become empty
	}
	if f == nil {
		f = &flow[K]{class: c, index: -1}
		c.known[w.Customer] = f
	}
	q.joins++
	t := &Ticket[K]{Waiter: w, queue: q, flow: f, order: q.joins}
	q.insert(t)
	return t, nil
}

// Ahead returns how many waiters will be served before w if it joins now and none joins
// after it.
func (q *Queue[K]) Ahead(w Waiter[K]) int {
	if w.Work <= 0 {
		w.Work = 1
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.class(w.Priority)
	return q.aheadOf(w, c, c.known[w.Customer])
}

// Wake gives the turn to the first waiter, or has the turn given again after the current
// one. It is to be called when there may be capacity.
func (q *Queue[K]) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.turn != nil {
		q.wakeup = true
		return
	}
	q.giveTurn()
}

// Take removes the waiter, which has the turn, because it has found capacity at now. The
// next waiter gets the turn, as there may be more.
func (t *Ticket[K]) Take(now time.Time) {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	f, c := t.flow, t.flow.class
	c.now = max(c.now, f.virtual)
	f.virtual += t.Work
	q.remove(t)
	q.turn = nil
	q.giveTurn()
}

// NoRoom ends the turn of the waiter, which has found no capacity.
func (t *Ticket[K]) NoRoom() {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.turn = nil
	if q.wakeup {
		q.giveTurn()
	}
}

// Leave removes the waiter, whose request is given up. It reports false if it had been
// displaced. If it has the turn, the next waiter gets it.
func (t *Ticket[K]) Leave() bool {
	q := t.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.flow == nil {
		return false
	}
	q.remove(t)
	if q.turn == t {
		q.turn = nil
		q.giveTurn()
	}
	return true
}

// giveTurn gives the turn to the first waiter. q.mu must be held.
func (q *Queue[K]) giveTurn() {
	q.wakeup = false
	for _, c := range q.classes {
		if c.waiting > 0 {
			q.turn = c.flows[0].waiters[0]
			q.turn.Notify(Turn)
			return
		}
	}
}

// class returns the class of a priority. q.mu must be held.
func (q *Queue[K]) class(priority int) *class[K] {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class[K], p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class[K]{priority: priority, known: map[K]*flow[K]{}})
	}
	return q.classes[i]
}

// insert adds a ticket to its flow. q.mu must be held.
func (q *Queue[K]) insert(t *Ticket[K]) {
	f, c := t.flow, t.flow.class
	i, _ := slices.BinarySearchFunc(f.waiters, t, compareTickets[K])
	f.waiters = slices.Insert(f.waiters, i, t)
	if f.index < 0 {
		f.virtual = max(f.virtual, c.now)
		heap.Push(&c.flows, f)
	} else {
		heap.Fix(&c.flows, f.index)
	}
	c.waiting++
	q.length++
	q.held[t.Customer]++
}

// remove removes a ticket from the queue. q.mu must be held.
func (q *Queue[K]) remove(t *Ticket[K]) {
	f, c := t.flow, t.flow.class
	t.flow = nil
	i, _ := slices.BinarySearchFunc(f.waiters, t, compareTickets[K])
	f.waiters = slices.Delete(f.waiters, i, i+1)
	if len(f.waiters) == 0 {
		heap.Remove(&c.flows, f.index)
	} else {
		heap.Fix(&c.flows, f.index)
	}
	c.waiting--
	c.forget()
	q.length--
	if q.held[t.Customer]--; q.held[t.Customer] == 0 {
		delete(q.held, t.Customer)
	}
	if q.length == 0 {
		q.takenAt = time.Time{}
	}
}

// forget discards the flows without waiters that have no claim left, all of them if
// nobody waits.
func (c *class[K]) forget() {
	if c.waiting == 0 {
		clear(c.known)
		c.now = 0
		return
	}
	if len(c.known) <= 2*len(c.flows)+idleFlows {
		return
	}
	for customer, f := range c.known {
		if f.index < 0 && f.virtual <= c.now {
			delete(c.known, customer)
		}
	}
}

// observe records that a waiter found capacity at now. q.mu must be held.
func (q *Queue[K]) observe(now time.Time) {
	if !q.takenAt.IsZero() {
		q.interval, q.seenAt = q.meanInterval(now), now
	}
	q.takenAt = now
}

// meanInterval returns the mean interval, in seconds, as it is if a waiter finds capacity
// at now. q.mu must be held.
func (q *Queue[K]) meanInterval(now time.Time) float64 {
	last := now.Sub(q.takenAt).Seconds()
	if q.seenAt.IsZero() || now.Sub(q.seenAt) > intervalLifetime {
		return last
	}
	return q.interval + intervalWeight*(last-q.interval)
}

// expectedAt estimates when waiter w, which would join class c and flow f, will be served.
// f is nil if it is not known. It is now if no interval is known. q.mu must be held.
func (q *Queue[K]) expectedAt(w Waiter[K], c *class[K], f *flow[K], now time.Time) time.Time {
	if q.seenAt.IsZero() || now.Sub(q.seenAt) > intervalLifetime {
		return now
	}
	ahead := q.aheadOf(w, c, f)
	interval := q.interval
	if !q.takenAt.IsZero() {
		interval = max(interval, q.meanInterval(now))
	}
	return now.Add(time.Duration(math.Min(float64(ahead)*interval, time.Hour.Seconds()) * float64(time.Second)))
}

// aheadOf returns how many waiters will be served before w, which would join class c and
// flow f. f is nil if it is not known. q.mu must be held.
func (q *Queue[K]) aheadOf(w Waiter[K], c *class[K], f *flow[K]) int {
	ahead := c.ahead(f, w.Work)
	for _, o := range q.classes {
		if o.priority >= c.priority {
			break
		}
		ahead += o.waiting
	}
	return ahead
}

// ahead returns how many waiters of c will be served before a new one with the given work
// that joins flow f, which may be nil.
func (c *class[K]) ahead(f *flow[K], work float64) int {
	n, start := 0, c.now // virtual time at which the new waiter is served
	if f != nil {
		n, start = len(f.waiters), max(c.now, f.virtual)+float64(len(f.waiters))*work
	}
	for _, o := range c.flows {
		if o != f && o.virtual <= start {
			n += min(len(o.waiters), 1+int((start-o.virtual)/o.waiters[0].Work))
		}
	}
	return n
}

// victim returns the waiter that a full queue displaces for w, or nil. q.mu must be held.
func (q *Queue[K]) victim(w Waiter[K]) *Ticket[K] {
	share := q.cfg.CustomerShare * float64(q.cfg.Limit)
	for _, c := range slices.Backward(q.classes) {
		if c.priority < w.Priority {
			break
		}
		if c.waiting == 0 {
			continue
		}
		mayGiveWay := func(f *flow[K]) bool { return true }
		if c.priority == w.Priority {
			if float64(q.held[w.Customer]+1) > share {
				break
			}
			mayGiveWay = func(f *flow[K]) bool {
				customer := f.waiters[0].Customer
				return customer != w.Customer && float64(q.held[customer]) > share
			}
		}
		if t := q.lastOfLongest(c, mayGiveWay); t != nil {
			return t
		}
	}
	return nil
}

// lastOfLongest returns the last waiter of the flow with the most waiters among those of c
// that satisfy ok. The waiter that has the turn is not returned. q.mu must be held.
func (q *Queue[K]) lastOfLongest(c *class[K], ok func(*flow[K]) bool) *Ticket[K] {
	var longest *flow[K]
	for _, f := range c.flows {
		if (longest == nil || len(f.waiters) > len(longest.waiters)) && f.waiters[len(f.waiters)-1] != q.turn && ok(f) {
			longest = f
		}
	}
	if longest == nil {
		return nil
	}
	return longest.waiters[len(longest.waiters)-1]
}

// compareTickets orders the waiters of one customer.
func compareTickets[K comparable](a, b *Ticket[K]) int {
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.order, b.order))
}

// flowHeap is a heap of flows with waiters by virtual time, then by the deadline of the
// first waiter.
type flowHeap[K comparable] []*flow[K]

func (h flowHeap[K]) Len() int { return len(h) }

func (h flowHeap[K]) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return compareTickets(h[i].waiters[0], h[j].waiters[0]) < 0
}

func (h flowHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *flowHeap[K]) Push(x any) {
	f := x.(*flow[K])
	f.index = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap[K]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	f.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
