package storepath_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/storepath"
)

// silentStore is a store that answers at once, or, while it is silent, never: calls made
// while it is silent hang until their context ends.
type silentStore struct {
	platform.Store // methods that are not used
	silent         atomic.Bool
}

func (s *silentStore) Ping(ctx context.Context) error {
	if s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *silentStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := s.Ping(ctx); err != nil {
		return platform.Row{}, platform.ErrUnavailable
	}
	return platform.Row{Key: key, Version: 1}, nil
}

// Changes answers after wait.
func (s *silentStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) (platform.Changes, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return platform.Changes{}, platform.ErrUnavailable
	}
	time.Sleep(wait)
	return platform.Changes{Version: after}, nil
}

func newStore(t *testing.T, direct *silentStore, peers map[string]*silentStore) *storepath.Store {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	s := storepath.New(storepath.Config{Direct: direct, Ping: direct.Ping, Go: func(f func() error) { g.Go(f) },
		Peer: func(address string) storepath.PeerStore { return peers[address] },
		Peers: func() []string {
			var out []string
			for a := range peers {
				out = append(out, a)
			}
			return out
		}})
	g.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait() // its goroutines return nil
	})
	return s
}

func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %v: %s", limit, what)
		}
	}
}

// When the store falls silent for an instance, calls go on through a peer, including the
// call that hangs. When that peer falls silent, they go through another, and back to the
// direct path when the store answers again.
func TestSilentStore(t *testing.T) {
	direct := &silentStore{}
	peers := map[string]*silentStore{"p1": {}, "p2": {}}
	s := newStore(t, direct, peers)
	get := func() bool {
		_, err := s.Get(context.Background(), "k")
		return err == nil
	}
	if !get() {
		t.Fatal("Get on the direct path failed, want success")
	}
	direct.silent.Store(true)
	start := time.Now()
	within(t, 2*time.Second, "an answer through a peer", get)
	if took := time.Since(start); took > time.Second {
		t.Errorf("answer through a peer after %v, want at most 1 s", took)
	}
	peers[s.Path().Peer].silent.Store(true)
	before := s.Path()
	within(t, 2*time.Second, "an answer through the other peer", func() bool { return get() && s.Path() != before })
	direct.silent.Store(false)
	within(t, 3*time.Second, "the direct path", func() bool { return s.Path() == storepath.AccessPath{} })
}

// While the store is unreachable, waiting callers are released. It is used again within
// 0.35 s of its return, whenever that is between two checks, though calls made meanwhile
// hang.
func TestStoreReturns(t *testing.T) {
	for outage := 500 * time.Millisecond; outage <= time.Second; outage += 100 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			t.Parallel()
			testStoreReturns(t, outage)
		})
	}
}

// testStoreReturns makes the store silent until outage after its loss was noticed.
func testStoreReturns(t *testing.T, outage time.Duration) {
	direct := &silentStore{}
	s := newStore(t, direct, nil)
	direct.silent.Store(true)
	waiting, cancel := s.WhileReachable(context.Background())
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		_, err := s.Get(waiting, "hangs")
		return err
	})
	defer func() { _ = g.Wait() }() // it is cancelled with the other calls
	within(t, 2*time.Second, "the store is found unreachable", s.Unreachable)
	within(t, time.Second, "the waiting caller is released", func() bool { return waiting.Err() != nil })
	time.Sleep(outage)
	direct.silent.Store(false)
	start := time.Now()
	within(t, 2*time.Second, "the store is used again", func() bool { return !s.Unreachable() })
	if took := time.Since(start); took > 350*time.Millisecond {
		t.Errorf("store used again after %v, want at most 350 ms", took)
	}
}

// A call for changes that is sent just before the store's return, and lost, must not wait
// for its whole timeout: a configuration written meanwhile would be in force 2.5 s later.
func TestLostCallForChanges(t *testing.T) {
	for before := time.Duration(0); before <= 600*time.Millisecond; before += 10 * time.Millisecond {
		t.Run(before.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &silentStore{}
				s := newStore(t, direct, nil)
				direct.silent.Store(true)
				var get errgroup.Group
				get.Go(func() error {
					_, err := s.Get(context.Background(), "k")
					return err
				})
				within(t, 2*time.Second, "the store is found unreachable", s.Unreachable)
				_ = get.Wait() // it is cancelled
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				var g errgroup.Group
				g.Go(func() error {
					_, err := s.Changes(ctx, "t", 1, 700*time.Millisecond)
					return err
				})
				time.Sleep(before + 5*time.Millisecond) // until the call is sent
				direct.silent.Store(false)
				start := time.Now()
				if err := g.Wait(); err == nil {
					t.Fatal("got an answer to a lost call")
				}
				if took := time.Since(start); took > 800*time.Millisecond {
					t.Errorf("lost call ended %v after the store's return, want at most 800 ms", took)
				}
			})
		})
	}
}

// Guards against a write that is lost just before the store's return and waits for its
// timeout of a second, with all results behind it. Pings are shared, so that one that hangs
// is followed by another within the same call.
func TestLostCallEndsOnReturn(t *testing.T) {
	for before := time.Millisecond; before < 400*time.Millisecond; before += 3 * time.Millisecond {
		t.Run(before.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct := &silentStore{}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				var g errgroup.Group
				s, err := storepath.Listen(storepath.LinksConfig{Direct: direct, Ping: direct.Ping, Go: func(f func() error) { g.Go(f) }})
				if err != nil {
					t.Fatal(err)
				}
				s.Serve(ctx, func() []string { return nil }, nil)
				t.Cleanup(func() {
					cancel()
					_ = g.Wait() // its goroutines return nil
				})
				direct.silent.Store(true)
				if _, err := s.Get(ctx, "k"); err == nil {
					t.Fatal("got an answer from a silent store")
				}
				within(t, 2*time.Second, "the store is found unreachable", s.Unreachable)
				time.Sleep(700 * time.Millisecond) // until pings overlap
				var call errgroup.Group
				call.Go(func() error {
					_, err := s.Get(ctx, "k")
					return err
				})
				time.Sleep(before)
				direct.silent.Store(false)
				returnedAt := time.Now()
				if err := call.Wait(); err == nil {
					t.Fatal("got an answer to a lost call")
				}
				if took := time.Since(returnedAt); took > 200*time.Millisecond {
					t.Errorf("lost call ended %v after the store's return, want at most 200 ms", took)
				}
			})
		})
	}
}

// Guards against a call for changes that is lost although the ping by which the store's return
// is noticed, and which was sent before it, is answered.
func TestLostCallForChangesAfterPing(t *testing.T) {
	for before := 5 * time.Millisecond; before <= 400*time.Millisecond; before += 5 * time.Millisecond {
		t.Run(before.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				direct, returned := &silentStore{}, make(chan struct{})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				var g errgroup.Group
				s := storepath.New(storepath.Config{Direct: direct, Go: func(f func() error) { g.Go(f) }, Peers: func() []string { return nil },
					Ping: func(ctx context.Context) error {
						select {
						case <-returned: // those on their way are answered
							return nil
						case <-ctx.Done():
							return ctx.Err()
						}
					}})
				g.Go(func() error { return s.Run(ctx) })
				defer func() {
					cancel()
					_ = g.Wait() // its goroutines return nil
				}()
				direct.silent.Store(true)
				if _, err := s.Get(ctx, "k"); err == nil {
					t.Fatal("got an answer from a silent store")
				}
				within(t, 2*time.Second, "the store is found unreachable", s.Unreachable)
				time.Sleep(time.Second) // until pings overlap
				var call errgroup.Group
				call.Go(func() error {
					_, err := s.Changes(ctx, "t", 1, 700*time.Millisecond)
					return err
				})
				time.Sleep(before)
				direct.silent.Store(false)
				close(returned)
				returnedAt := time.Now()
				if err := call.Wait(); err == nil {
					t.Fatal("got an answer to a lost call")
				}
				if took := time.Since(returnedAt); took > 800*time.Millisecond {
					t.Errorf("lost call ended %v after the store's return, want at most 800 ms", took)
				}
			})
		})
	}
}
