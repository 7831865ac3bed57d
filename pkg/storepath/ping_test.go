package storepath_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/storepath"
)

// Peers that ping the store through an instance all at once share one ping and its
// failure.
func TestOverlappingPingsShared(t *testing.T) {
	const (
		callers = 40
		slow    = 80 * time.Millisecond
	)
	var pings atomic.Int64
	refused := fmt.Errorf("%w: busy", platform.ErrNotApplied)
	address := servePings(t, func(context.Context) error {
		pings.Add(1)
		time.Sleep(slow)
		return refused
	})
	var requests errgroup.Group
	for range callers {
		requests.Go(func() error {
			if err := pingThrough(t, address, time.Second); !errors.Is(err, platform.ErrUnavailable) {
				return fmt.Errorf("ping: %v, want ErrUnavailable", err)
			}
			return nil
		})
	}
	if err := requests.Wait(); err != nil {
		t.Error(err)
	}
	if n := pings.Load(); n != 1 {
		t.Errorf("%d pings for %d callers, want 1", n, callers)
	}
}

// Later callers do not wait for a ping that hangs.
func TestHangingPingNotShared(t *testing.T) {
	var pings atomic.Int64
	address := servePings(t, func(ctx context.Context) error {
		if pings.Add(1) == 1 {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	})
	var first errgroup.Group
	first.Go(func() error { return pingThrough(t, address, 2*time.Second) })
	for pings.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	if err := pingThrough(t, address, time.Second); err != nil {
		t.Errorf("ping after %v: %v, want success", time.Since(start), err)
	}
	if err := first.Wait(); err == nil {
		t.Error("the hanging ping succeeded, want an error")
	}
}

// When the caller that made a ping leaves, the ping is made again for those that wait for
// it.
func TestCancelledPingRepeated(t *testing.T) {
	var pings atomic.Int64
	address := servePings(t, func(ctx context.Context) error {
		if pings.Add(1) == 1 {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	})
	var first errgroup.Group
	first.Go(func() error { return pingThrough(t, address, 60*time.Millisecond) })
	for pings.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := pingThrough(t, address, time.Second); err != nil {
		t.Error(err)
	}
	if err := first.Wait(); err == nil {
		t.Error("the cancelled ping succeeded, want an error")
	}
}

// servePings serves pings to peers and returns the address.
func servePings(t *testing.T, ping func(context.Context) error) string {
	var group errgroup.Group
	startGroup := func(f func() error) { group.Go(f) }
	links, err := storepath.Listen(storepath.LinksConfig{Listen: "127.0.0.1:0", Ping: ping, Go: startGroup})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	links.Serve(ctx, func() []string { return nil }, nil)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // its goroutines end with ctx and return nil
	})
	return links.Address()
}

// pingThrough pings the store through the instance at address, on a session of its own.
func pingThrough(t *testing.T, address string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	sessions := peer.NewSessions(time.Second)
	defer sessions.Close()
	return (&peer.StoreClient{Sessions: sessions, Address: address}).Ping(ctx)
}
