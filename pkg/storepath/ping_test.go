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

// Peers that ask an instance for its way to the store all at once, while a ping takes
// long and then fails, share that ping and its failure.
func TestPingsThatOverlapAreShared(t *testing.T) {
	const (
		askers = 40
		slow   = 80 * time.Millisecond
	)
	var pings atomic.Int64
	refused := fmt.Errorf("%w: busy", platform.ErrNotApplied)
	address := servePings(t, func(context.Context) error {
		pings.Add(1)
		time.Sleep(slow)
		return refused
	})
	var asked errgroup.Group
	for range askers {
		asked.Go(func() error {
			if err := pingThrough(t, address, time.Second); !errors.Is(err, platform.ErrUnavailable) {
				return fmt.Errorf("answered %v", err)
			}
			return nil
		})
	}
	if err := asked.Wait(); err != nil {
		t.Error(err)
	}
	if n := pings.Load(); n != 1 {
		t.Errorf("%d pings for %d askers, want one", n, askers)
	}
}

// A ping that hangs is not waited for by those who come later.
func TestPingThatHangsIsNotWaitedFor(t *testing.T) {
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
	begun := time.Now()
	if err := pingThrough(t, address, time.Second); err != nil {
		t.Errorf("after %v: %v", time.Since(begun), err)
	}
	if err := first.Wait(); err == nil {
		t.Error("the ping that hung was answered")
	}
}

// A ping whose asker leaves is made again for those who wait for it.
func TestPingThatIsGivenUpIsMadeAgain(t *testing.T) {
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
		t.Error("the ping that was given up was answered")
	}
}

// servePings serves pings to peers and returns where.
func servePings(t *testing.T, ping func(context.Context) error) string {
	var group errgroup.Group
	start := func(f func() error) { group.Go(f) }
	links, err := storepath.Listen(storepath.LinksConfig{Listen: "127.0.0.1:0", Ping: ping, Go: start})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	links.Serve(ctx, func() []string { return nil }, nil)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait() // its functions end with ctx
	})
	return links.Address()
}

// pingThrough asks the instance at address on a session of its own.
func pingThrough(t *testing.T, address string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	sessions := peer.NewSessions(time.Second)
	defer sessions.Close()
	return (&peer.StoreClient{Sessions: sessions, Address: address}).Ping(ctx)
}
