package storepath_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/storepath"
)

// silentStore is a store that answers at once, or not at all while it is silent:
// also not later what it was asked meanwhile.
type silentStore struct {
	platform.Store // calls that the tests do not make
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
		_ = g.Wait() // its functions return nil
	})
	return s
}

func within(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// An instance that the store falls silent for goes on through a peer, also with the
// call that hangs; when that peer is paused it takes another, and the direct way
// when the store is back.
func TestSilentStore(t *testing.T) {
	direct := &silentStore{}
	peers := map[string]*silentStore{"p1": {}, "p2": {}}
	s := newStore(t, direct, peers)
	get := func() bool {
		_, err := s.Get(context.Background(), "k")
		return err == nil
	}
	if !get() {
		t.Fatal("the store is there and does not answer")
	}
	direct.silent.Store(true)
	begun := time.Now()
	within(t, 2*time.Second, "an answer through a peer", get)
	if took := time.Since(begun); took > time.Second {
		t.Errorf("an answer through a peer after %v", took)
	}
	peers[s.Path().Peer].silent.Store(true)
	before := s.Path()
	within(t, 2*time.Second, "an answer through the other peer", func() bool { return get() && s.Path() != before })
	direct.silent.Store(false)
	within(t, 3*time.Second, "the direct way", func() bool { return s.Path() == storepath.AccessPath{} })
}

// While the store is away for all, callers that wait are let go, and it is taken
// again soon after it is back, though what it was asked meanwhile hangs: whenever it
// comes back between two looks for it.
func TestLostStoreIsFoundSoon(t *testing.T) {
	for away := 500 * time.Millisecond; away <= time.Second; away += 100 * time.Millisecond {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			foundAgain(t, away)
		})
	}
}

// foundAgain has the store away for so long after its loss was noticed.
func foundAgain(t *testing.T, away time.Duration) {
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
	defer func() { _ = g.Wait() }() // it is given up with the others
	within(t, 2*time.Second, "the loss is noticed", s.Unreachable)
	within(t, time.Second, "who waits is let go", func() bool { return waiting.Err() != nil })
	time.Sleep(away)
	direct.silent.Store(false)
	begun := time.Now()
	within(t, 2*time.Second, "the store is taken again", func() bool { return !s.Unreachable() })
	if took := time.Since(begun); took > 350*time.Millisecond {
		t.Errorf("taken again after %v", took)
	}
}
