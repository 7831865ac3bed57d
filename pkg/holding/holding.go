// Package holding limits the data that requests hold in memory, so that callers and
// upstreams that read slowly cannot exhaust it. Each request holds up to a reserve without
// asking. What exceeds the reserves has a limit that all requests share, fairly among
// customers, and may be taken from a less urgent request that has not been sent yet.
package holding

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"
)

// Errors of Hold, Grow and MarkSent.
var (
	// ErrNoRoom means that the data does not fit. It may fit later.
	ErrNoRoom = errors.New("holding: no room for the data")
	// ErrTooLarge wraps ErrNoRoom. It means that the data never fits, because the request
	// would exceed its reserve by more than the limit.
	ErrTooLarge = fmt.Errorf("%w: more than the limit", ErrNoRoom)
	// ErrDisplaced means that the hold has been taken for a more urgent request.
	ErrDisplaced = errors.New("holding: displaced by a more urgent request")
	// ErrStalled means that every hold beyond its reserve waits to grow, so that none would
	// be released: the newest of them must give up what it has for the others to go on.
	ErrStalled = errors.New("holding: gave way to older holds that wait for room")
	// ErrReleased means that the hold has been released.
	ErrReleased = errors.New("holding: released")
)

// demandLifetime is how long a customer whose request was refused counts as requesting
// room. Refused callers that retry after half a second do so within it.
const demandLifetime = time.Second

// Config configures a Budget.
type Config struct {
	// Limit is how many bytes all requests together may hold beyond their reserves.
	Limit int64
	// Reserve is how many bytes each request may hold without asking.
	Reserve int64
	// CustomerShare is the share of Limit that a customer may hold while others hold or
	// request some of it.
	CustomerShare float64
}

// Budget accounts for the bytes that requests of customers of type K hold. It is safe for
// concurrent use. Use New to create one.
type Budget[K comparable] struct {
	cfg Config

	mu       sync.Mutex
	now      time.Time // latest time passed to Hold or Advance
	holds    int
	bytes    int64 // held, including reserves
	charged  int64 // held beyond reserves
	accounts map[K]*account
	unsent   map[*Hold[K]]struct{} // those with charged bytes that may be displaced
	waiting  map[*Hold[K]]struct{} // those that failed to grow
	created  uint64                // number of holds created
	room     chan struct{}         // closed when room may have become available; nil if no caller waits
}

// account is what a customer holds and requests.
type account struct {
	charged   int64
	waiting   int       // holds that failed to grow
	refusedAt time.Time // when a request was last refused or displaced; zero if never
}

// Hold is the data that one request holds. The methods of a nil Hold do nothing and return
// no error. It is safe for concurrent use.
type Hold[K comparable] struct {
	budget      *Budget[K]
	customer    K
	priority    int
	order       uint64 // position among the holds created
	bytes       int64
	waiting     bool // failed to grow
	stalled     bool // the next Grow returns ErrStalled
	state       state
	onDisplaced func()
}

type state int

const (
	unsent state = iota // may be displaced
	sent
	displaced
	released
)

// New returns a Budget of which nothing is held.
func New[K comparable](cfg Config) *Budget[K] {
	return &Budget[K]{cfg: cfg, accounts: map[K]*account{}, unsent: map[*Hold[K]]struct{}{}, waiting: map[*Hold[K]]struct{}{}}
}

// Hold holds n bytes for a request of a customer at now. Priority 0 is the most urgent. If
// the bytes do not fit, a less urgent request that has not been sent is displaced; if none
// makes enough room, the error is ErrNoRoom or ErrTooLarge. The caller must release the
// Hold.
func (b *Budget[K]) Hold(customer K, priority int, n int64, now time.Time) (*Hold[K], error) {
	h := &Hold[K]{budget: b, customer: customer, priority: priority}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.created++
	h.order = b.created
	if err := b.grow(h, n); err != nil {
		if mayFitLater(err) {
			b.recordDemand(customer)
		}
		return nil, err
	}
	b.holds++
	return h, nil
}

// Grow holds n more bytes. If they do not fit, nothing changes, and the error is ErrNoRoom
// or ErrTooLarge; after ErrNoRoom the customer counts as requesting room until the hold
// grows, stops waiting or is released. Only a hold that has not been sent displaces others. The error of a displaced
// or released hold is ErrDisplaced or ErrReleased.
func (h *Hold[K]) Grow(n int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch h.state {
	case displaced:
		return ErrDisplaced
	case released:
		return ErrReleased
	}
	err := b.grow(h, n)
	if h.stalled && mayFitLater(err) {
		b.setWaiting(h, false)
		return ErrStalled
	}
	b.setWaiting(h, mayFitLater(err))
	if h.waiting {
		b.breakStall()
	}
	return err
}

// TryGrow is like Grow for a hold that is released if the bytes do not fit: it does not wait
// for room.
func (h *Hold[K]) TryGrow(n int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch h.state {
	case displaced:
		return ErrDisplaced
	case released:
		return ErrReleased
	}
	err := b.grow(h, n)
	if mayFitLater(err) {
		b.recordDemand(h.customer)
	}
	return err
}

// StopWaiting records that the request has given up to grow.
func (h *Hold[K]) StopWaiting() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state == unsent || h.state == sent {
		h.budget.setWaiting(h, false)
	}
}

// Shrink holds n bytes less.
func (h *Hold[K]) Shrink(n int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.state == unsent || h.state == sent {
		b.resize(h, max(h.bytes-n, 0))
	}
}

// MarkSent records that the request is about to be sent to an upstream, after which it is
// not displaced. The error is ErrDisplaced if it has been: the request must not be sent.
func (h *Hold[K]) MarkSent() error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	switch h.state {
	case displaced:
		return ErrDisplaced
	case unsent:
		h.state = sent
		delete(b.unsent, h)
	}
	return nil
}

// OnDisplaced has f called once when the hold is displaced, or at once if it has been. It
// replaces an f that has not been called. f is called with the budget locked: it must not
// block or call the budget.
func (h *Hold[K]) OnDisplaced(f func()) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.state == displaced {
		f()
		return
	}
	h.onDisplaced = f
}

// Displaced reports whether the hold was displaced. It stays so after a Release.
func (h *Hold[K]) Displaced() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.state == displaced
}

// Release releases the hold. Further calls have no effect.
func (h *Hold[K]) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.end(h, released)
}

// Room returns a channel that is closed when bytes are released. To wait for room, call it
// before Grow. Room may also become available without it, when the requests of other
// customers are no longer known.
func (b *Budget[K]) Room() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.room == nil {
		b.room = make(chan struct{})
	}
	return b.room
}

// Advance tells the time by which requests that are refused or displaced count for a while.
// Hold does so too, Grow and TryGrow do not.
func (b *Budget[K]) Advance(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
}

// advance is Advance with b.mu held.
func (b *Budget[K]) advance(now time.Time) {
	if now.After(b.now) {
		b.now = now
	}
}

// Stats describes what a Budget holds.
type Stats[K comparable] struct {
	Holds        int   // number of requests
	Bytes        int64 // held, including reserves
	Charged      int64 // bytes held beyond reserves; at most Config.Limit
	Largest      K     // customer with the most charged bytes; zero if there are none
	LargestBytes int64 // charged bytes of that customer
}

// Stats returns what b holds.
func (b *Budget[K]) Stats() Stats[K] {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats[K]{Holds: b.holds, Bytes: b.bytes, Charged: b.charged}
	for customer, a := range b.accounts {
		if a.charged > s.LargestBytes {
			s.Largest, s.LargestBytes = customer, a.charged
		}
	}
	return s
}

// mayFitLater reports whether err is ErrNoRoom and not ErrTooLarge.
func mayFitLater(err error) bool {
	return errors.Is(err, ErrNoRoom) && !errors.Is(err, ErrTooLarge)
}

// beyond returns how many of the bytes of a request exceed its reserve.
func (b *Budget[K]) beyond(bytes int64) int64 { return max(bytes-b.cfg.Reserve, 0) }

// grow adds n bytes to h, for which it may displace another hold. b.mu must be held.
func (b *Budget[K]) grow(h *Hold[K], n int64) error {
	n = max(n, 0)
	if n > b.cfg.Limit+b.cfg.Reserve-h.bytes {
		return ErrTooLarge
	}
	if need := b.beyond(h.bytes+n) - b.beyond(h.bytes); need > 0 && !b.fits(h.customer, need, nil) {
		v := b.victim(h, need)
		if v == nil {
			return ErrNoRoom
		}
		b.end(v, displaced)
		b.recordDemand(v.customer)
		if v.onDisplaced != nil {
			v.onDisplaced()
		}
	}
	b.resize(h, h.bytes+n)
	return nil
}

// fits reports whether a customer may hold need more charged bytes once the hold without,
// which may be nil, has ended. b.mu must be held.
func (b *Budget[K]) fits(customer K, need int64, without *Hold[K]) bool {
	total, own := b.charged+need, need
	if a := b.accounts[customer]; a != nil {
		own += a.charged
	}
	if without != nil {
		freed := b.beyond(without.bytes)
		total -= freed
		if without.customer == customer {
			own -= freed
		}
	}
	if total > b.cfg.Limit {
		return false
	}
	if float64(own) <= b.cfg.CustomerShare*float64(b.cfg.Limit) {
		return true
	}
	for other, a := range b.accounts {
		if other != customer && !b.idle(a) {
			return false
		}
	}
	return true
}

// victim returns the hold that is displaced so that h may grow by need charged bytes: the
// newest of the least urgent that are less urgent than h and large enough. It is nil if
// there is none, or if h has been sent. b.mu must be held.
func (b *Budget[K]) victim(h *Hold[K], need int64) *Hold[K] {
	if h.state != unsent {
		return nil
	}
	var best *Hold[K]
	for v := range b.unsent {
		if v.priority <= h.priority || best != nil && (v.priority < best.priority || v.priority == best.priority && v.order < best.order) {
			continue
		}
		if b.fits(h.customer, need, v) {
			best = v
		}
	}
	return best
}

// end releases the bytes of h and sets its last state. It has no effect on a hold that has
// ended. b.mu must be held.
func (b *Budget[K]) end(h *Hold[K], last state) {
	if h.state == displaced || h.state == released {
		return
	}
	b.setWaiting(h, false)
	b.resize(h, 0)
	h.state = last
	b.holds--
}

// resize sets the bytes of h. b.mu must be held.
func (b *Budget[K]) resize(h *Hold[K], bytes int64) {
	charged := b.beyond(bytes)
	change := charged - b.beyond(h.bytes)
	b.bytes += bytes - h.bytes
	h.bytes = bytes
	if change == 0 {
		return
	}
	a := b.account(h.customer)
	a.charged += change
	b.charged += change
	if change < 0 {
		b.announceRoom()
	}
	if b.idle(a) {
		delete(b.accounts, h.customer)
	}
	switch {
	case charged == 0:
		delete(b.unsent, h)
	case h.state == unsent:
		b.unsent[h] = struct{}{}
	}
}

// setWaiting records whether h failed to grow. b.mu must be held.
func (b *Budget[K]) setWaiting(h *Hold[K], waiting bool) {
	if h.waiting == waiting {
		return
	}
	h.waiting, h.stalled = waiting, false
	a := b.account(h.customer)
	if waiting {
		b.waiting[h] = struct{}{}
		a.waiting++
		return
	}
	delete(b.waiting, h)
	a.waiting--
	if b.idle(a) {
		delete(b.accounts, h.customer)
	}
	b.announceRoom() // others may have more while this customer requests none
}

// breakStall has the newest hold give up if all charged bytes are those of several holds
// that wait to grow. b.mu must be held.
func (b *Budget[K]) breakStall() {
	var newest *Hold[K]
	var charged int64
	holds := 0
	for h := range b.waiting {
		if h.stalled {
			return // its caller is about to give up
		}
		if own := b.beyond(h.bytes); own > 0 {
			charged += own
			holds++
			if newest == nil || h.order > newest.order {
				newest = h
			}
		}
	}
	if holds > 1 && charged == b.charged {
		newest.stalled = true
		b.announceRoom()
	}
}

// recordDemand records that a request of a customer was refused or displaced, and discards
// accounts that no longer matter. b.mu must be held.
func (b *Budget[K]) recordDemand(customer K) {
	b.account(customer).refusedAt = b.now
	maps.DeleteFunc(b.accounts, func(_ K, a *account) bool { return b.idle(a) })
}

// idle reports whether a customer neither holds nor requests charged bytes.
func (b *Budget[K]) idle(a *account) bool {
	return a.charged == 0 && a.waiting == 0 && (a.refusedAt.IsZero() || b.now.Sub(a.refusedAt) >= demandLifetime)
}

func (b *Budget[K]) account(customer K) *account {
	a := b.accounts[customer]
	if a == nil {
		a = &account{}
		b.accounts[customer] = a
	}
	return a
}

// announceRoom closes the channel of those that wait for room. b.mu must be held.
func (b *Budget[K]) announceRoom() {
	if b.room != nil {
		close(b.room)
		b.room = nil
	}
}
