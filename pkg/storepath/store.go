package storepath

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// PeerStore is the store as a peer reaches it.
type PeerStore interface {
	platform.Store
	// Ping asks whether the peer reaches the store.
	Ping(ctx context.Context) error
}

// Config configures a Store.
type Config struct {
	Direct platform.Store
	// Ping asks the store for something small on a connection of its own, as open
	// ones may have gone silent.
	Ping func(ctx context.Context) error
	// Peers returns the addresses of peers to ask, the ones to ask first first.
	Peers func() []string
	// Peer returns the store as the peer at an address reaches it.
	Peer func(address string) PeerStore
	// Go starts a goroutine of the instance's group.
	Go func(func() error)
	// OnCall is told of each call by its way, with its error; nil for nobody.
	OnCall func(w AccessPath, err error)
	// OnChange is told when the way changes, and why; nil for nobody.
	OnChange func(from, to AccessPath, why string)
}

// Store is the platform's store by the way that reaches it. An outcome that is
// unknown on the way is unknown to the caller; nothing is sent a second time.
// Call New, then Run. It is safe for concurrent use.
type Store struct {
	cfg  Config
	look chan string // asks for a look at the ways, and tells why

	checking atomic.Bool // a look at the ways is under way beside Run

	mu    sync.Mutex
	path  Selector
	calls map[*call]bool
	lost  chan struct{} // closed while no way leads to the store
}

var _ platform.Store = (*Store)(nil)

// call is a call under way.
type call struct {
	way    AccessPath
	begun  time.Time
	cancel context.CancelFunc
}

// New returns a Store that takes the direct way.
func New(cfg Config) *Store {
	if cfg.OnCall == nil {
		cfg.OnCall = func(AccessPath, error) {}
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(AccessPath, AccessPath, string) {}
	}
	return &Store{cfg: cfg, look: make(chan string, 1), calls: map[*call]bool{}, lost: make(chan struct{})}
}

// Lost reports whether no way leads to the store.
func (s *Store) Unreachable() bool { return s.Path().Kind == Unreachable }

// WhileReachable returns a context that ends when no way leads to the store.
func (s *Store) WhileReachable(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	lost := s.lost
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	s.cfg.Go(func() error {
		select {
		case <-lost:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	return ctx, cancel
}

// changed takes up another way than from. s.mu is held.
func (s *Store) changed(from AccessPath) {
	switch {
	case s.path.Path().Kind == Unreachable:
		close(s.lost)
	case from.Kind == Unreachable:
		s.lost = make(chan struct{})
	}
}

// Path returns the way that calls take now.
func (s *Store) Path() AccessPath {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Path()
}

// begin registers a call and returns the store by its way. Overdue is looked at
// when the store has held the call for wait and given no answer after it.
func (s *Store) begin(ctx context.Context, wait time.Duration) (context.Context, *call, platform.Store, func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	c := &call{begun: time.Now(), cancel: cancel}
	s.mu.Lock()
	c.way = s.path.Path()
	s.calls[c] = true
	s.mu.Unlock()
	timer := time.AfterFunc(wait+AnswerTimeout, func() {
		s.mu.Lock()
		look := s.path.Overdue(c.way, c.begun.Add(wait), time.Now())
		s.mu.Unlock()
		if look {
			s.askLook("no answer")
		}
	})
	store := s.cfg.Direct
	if c.way.Kind == ThroughPeer {
		store = s.cfg.Peer(c.way.Peer)
	}
	return ctx, c, store, timer.Stop
}

// end takes the outcome of a call whose caller waited with ctx.
func (s *Store) end(ctx context.Context, c *call, err error) {
	c.cancel()
	s.mu.Lock()
	delete(s.calls, c)
	s.mu.Unlock()
	s.cfg.OnCall(c.way, err)
	if !errors.Is(err, platform.ErrUnavailable) {
		s.answered(c.way, "answered")
		return
	}
	if ctx.Err() != nil {
		return // its caller gave it up
	}
	s.mu.Lock()
	look := s.path.Failed(c.way, time.Now())
	s.mu.Unlock()
	if look {
		s.askLook(err.Error())
	}
}

// answered tells that the store was answered by way w.
func (s *Store) answered(w AccessPath, why string) {
	now := time.Now()
	s.mu.Lock()
	changed := s.path.Answered(w, now)
	if changed {
		s.changed(w)
		s.giveUp(w, now.Add(-AnswerTimeout))
	}
	s.mu.Unlock()
	if changed {
		s.cfg.OnChange(w, AccessPath{}, why)
	}
}

// giveUp ends the calls by way w that were begun before a time: they would wait in
// vain. s.mu is held.
func (s *Store) giveUp(w AccessPath, before time.Time) {
	for c := range s.calls {
		if c.way == w && c.begun.Before(before) {
			c.cancel()
		}
	}
}

// askLook has Run look at the ways.
func (s *Store) askLook(why string) {
	select {
	case s.look <- why:
	default: // it is asked already
	}
}

// do makes one call of the store, which may hold it for wait.
func do[T any](ctx context.Context, s *Store, wait time.Duration, f func(context.Context, platform.Store) (T, error)) (T, error) {
	cctx, c, store, stop := s.begin(ctx, wait)
	v, err := f(cctx, store)
	stop()
	s.end(ctx, c, err)
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
