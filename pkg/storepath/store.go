package storepath

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// PeerStore is the store as reached through a peer.
type PeerStore interface {
	platform.Store
	// Ping checks whether the peer reaches the store.
	Ping(ctx context.Context) error
}

// Config configures a Store.
type Config struct {
	Direct platform.Store
	// Ping makes a small call to the store on a new connection, as open connections may
	// have gone silent.
	Ping func(ctx context.Context) error
	// Peers returns the addresses of peers, in the order in which to ping them.
	Peers func() []string
	// Peer returns the store as reached through the peer at address.
	Peer func(address string) PeerStore
	// Go starts a goroutine of the instance's group.
	Go func(func() error)
	// OnCall is called after each call with its path and error; it may be nil.
	OnCall func(ap AccessPath, err error)
	// OnChange is called when the path changes, with the reason; it may be nil.
	OnChange func(from, to AccessPath, reason string)
}

// Store gives access to the platform's store on the path that leads to it. An outcome
// that is unknown on the path is unknown to the caller; calls are never retried. Call
// New, then Run. It is safe for concurrent use.
type Store struct {
	cfg           Config
	checkRequests chan string // requests a check of the paths, with the reason

	// timedPing is Config.Ping with the time at which the ping was sent.
	timedPing func(ctx context.Context) (sentAt time.Time, err error)

	checking atomic.Bool // a check is running in a goroutine of its own

	mu          sync.Mutex
	selector    Selector
	calls       map[*call]bool
	unreachable chan struct{} // closed while the store is unreachable
}

var _ platform.Store = (*Store)(nil)

// call is a call in flight.
type call struct {
	path      AccessPath
	startedAt time.Time
	held      bool // the store may hold the call before it answers
	cancel    context.CancelFunc
}

// New returns a Store that uses the direct path.
func New(cfg Config) *Store {
	if cfg.OnCall == nil {
		cfg.OnCall = func(AccessPath, error) {}
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(AccessPath, AccessPath, string) {}
	}
	return &Store{cfg: cfg, checkRequests: make(chan string, 1), calls: map[*call]bool{}, unreachable: make(chan struct{}),
		timedPing: func(ctx context.Context) (time.Time, error) {
			sentAt := time.Now()
			return sentAt, cfg.Ping(ctx)
		}}
}

// Unreachable reports whether no path leads to the store.
func (s *Store) Unreachable() bool { return s.Path().Kind == Unreachable }

// WhileReachable returns a context that ends when the store becomes unreachable.
func (s *Store) WhileReachable(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	unreachable := s.unreachable
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	s.cfg.Go(func() error {
		select {
		case <-unreachable:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	return ctx, cancel
}

// updateUnreachable closes or renews s.unreachable after the path has changed from from.
// s.mu is held.
func (s *Store) updateUnreachable(from AccessPath) {
	switch {
	case s.selector.Path().Kind == Unreachable:
		close(s.unreachable)
	case from.Kind == Unreachable:
		s.unreachable = make(chan struct{})
	}
}

// Path returns the path that calls use now.
func (s *Store) Path() AccessPath {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Path()
}

// startCall registers a call and returns its context, the call, the store as reached on
// its path, and a function that stops the timer for a late answer. wait is how long the
// store may hold the call; AnswerTimeout begins after it.
func (s *Store) startCall(ctx context.Context, wait time.Duration) (context.Context, *call, platform.Store, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{startedAt: time.Now(), held: wait > 0, cancel: cancel}
	s.mu.Lock()
	c.path = s.selector.Path()
	s.calls[c] = true
	s.mu.Unlock()
	timer := time.AfterFunc(wait+AnswerTimeout, func() {
		s.mu.Lock()
		due := s.selector.Overdue(c.path, c.startedAt.Add(wait), time.Now())
		s.mu.Unlock()
		if due {
			s.requestCheck("no answer")
		}
	})
	store := s.cfg.Direct
	if c.path.Kind == ThroughPeer {
		store = s.cfg.Peer(c.path.Peer)
	}
	return ctx, c, store, timer.Stop
}

// endCall records the outcome of a call whose caller waited with ctx.
func (s *Store) endCall(ctx context.Context, c *call, err error) {
	c.cancel()
	s.mu.Lock()
	delete(s.calls, c)
	s.mu.Unlock()
	s.cfg.OnCall(c.path, err)
	if !errors.Is(err, platform.ErrUnavailable) {
		s.answered(c.path, c.startedAt, "answered")
		return
	}
	if ctx.Err() != nil {
		return // the caller cancelled it
	}
	s.mu.Lock()
	due := s.selector.Failed(c.path, time.Now())
	s.mu.Unlock()
	if due {
		s.requestCheck(err.Error())
	}
}

// answered records that a call or ping on path ap that was sent at sentAt was answered. If
// that changes the path, the calls on ap are cancelled that began before sentAt or are
// older than AnswerTimeout: they were probably lost in the outage, and a write that waits
// for its timeout delays the results behind it. Calls that the store may hold, and that
// began later, are cancelled AnswerTimeout from now: the store may have lost them, and they
// would time out only a second or two later.
func (s *Store) answered(ap AccessPath, sentAt time.Time, reason string) {
	now := time.Now()
	s.mu.Lock()
	changed := s.selector.Answered(ap, now)
	if changed {
		s.updateUnreachable(ap)
		lostBefore := now.Add(-AnswerTimeout)
		if sentAt.After(lostBefore) {
			lostBefore = sentAt
		}
		s.cancelCalls(ap, lostBefore, false)
		time.AfterFunc(AnswerTimeout, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cancelCalls(ap, now, true)
		})
	}
	s.mu.Unlock()
	if changed {
		s.cfg.OnChange(ap, AccessPath{}, reason)
	}
}

// cancelCalls cancels the calls on path ap that started before the given time, as they
// would wait for an answer that does not come. With heldOnly, only those are cancelled
// that the store may hold. s.mu is held.
func (s *Store) cancelCalls(ap AccessPath, before time.Time, heldOnly bool) {
	for c := range s.calls {
		if c.path == ap && c.startedAt.Before(before) && (c.held || !heldOnly) {
			c.cancel()
		}
	}
}

// requestCheck makes Run check the paths.
func (s *Store) requestCheck(reason string) {
	select {
	case s.checkRequests <- reason:
	default: // a check is requested already
	}
}

// do makes one call to the store, which may hold it for wait before it answers.
func do[T any](ctx context.Context, s *Store, wait time.Duration, f func(context.Context, platform.Store) (T, error)) (T, error) {
	cctx, c, store, stop := s.startCall(ctx, wait)
	v, err := f(cctx, store)
	stop()
	s.endCall(ctx, c, err)
	return v, err
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, key string) (platform.Row, error) {
	return do(ctx, s, 0, func(ctx context.Context, st platform.Store) (platform.Row, error) { return st.Get(ctx, key) })
}

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, ops ...platform.Op) ([]platform.Row, error) {
	return do(ctx, s, 0, func(ctx context.Context, st platform.Store) ([]platform.Row, error) { return st.Commit(ctx, ops...) })
}

// ScanFrom implements platform.Scanner.
func (s *Store) ScanFrom(ctx context.Context, prefix, from string, limit int) (platform.Page, error) {
	return do(ctx, s, 0, func(ctx context.Context, st platform.Store) (platform.Page, error) {
		return st.ScanFrom(ctx, prefix, from, limit)
	})
}

// Changes implements platform.Follower.
func (s *Store) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Changes, error) {
	return do(ctx, s, wait, func(ctx context.Context, st platform.Store) (platform.Changes, error) {
		return st.Changes(ctx, table, after, wait)
	})
}

// PutObject implements platform.Objects.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := do(ctx, s, 0, func(ctx context.Context, st platform.Store) (struct{}, error) {
		return struct{}{}, st.PutObject(ctx, name, data)
	})
	return err
}

// GetObject implements platform.Objects.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	return do(ctx, s, 0, func(ctx context.Context, st platform.Store) ([]byte, error) { return st.GetObject(ctx, name) })
}

// DeleteObject implements platform.Objects.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	_, err := do(ctx, s, 0, func(ctx context.Context, st platform.Store) (struct{}, error) {
		return struct{}{}, st.DeleteObject(ctx, name)
	})
	return err
}
