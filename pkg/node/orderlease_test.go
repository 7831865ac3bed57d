package node_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/platform"
	"github.com/zinnialadder/zinnialadder/platform/sitetest"
)

// Guards against an instance that drops the orders lease when an engine refuses its
// fencing token, but goes on with the duties of the holder and leaves orders waiting for a
// row that it no longer writes.
func TestLeaseDroppedByEngine(t *testing.T) {
	n := newCarryNode(t, sitetest.NewStore(), "a")
	n.HoldOrders(7)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return n.WaitToOrder(ctx, "e2") })
	time.Sleep(50 * time.Millisecond) // until the order waits
	n.RefuseOrder("e1")
	if err := g.Wait(); !errors.Is(err, node.ErrLeaseEnded) {
		t.Errorf("waiting order ended with %v, want %v", err, node.ErrLeaseEnded)
	}
	if fencing, since := n.OrdersHeld(); fencing != 0 || !since.IsZero() {
		t.Errorf("fencing token %d held since %v, want none", fencing, since)
	}
	n.HoldOrders(9)
	if fencing, since := n.OrdersHeld(); fencing != 9 || time.Since(since) > time.Second {
		t.Errorf("after another acquisition: fencing token %d held since %v, want 9 since now", fencing, since)
	}
}

// Guards against loads that are taken for failed, and ordered again, because engines write
// their entries less often than by default.
func TestOrderTimeoutFollowsHeartbeats(t *testing.T) {
	for interval, want := range map[time.Duration]time.Duration{0: 4 * time.Second, 1200 * time.Millisecond: 4 * time.Second, 5 * time.Second: 7800 * time.Millisecond} {
		n := node.New(node.Config{Name: "a", Store: platform.NewStore("127.0.0.1:1"), Upstreams: platform.NewUpstreamClient(platform.UpstreamClientConfig{}), Decoder: platform.Decoder(),
			Logger: log.New(io.Discard), HeartbeatInterval: interval})
		if got := n.OrderTimeout(); got != want {
			t.Errorf("heartbeats every %v: timeout of orders %v, want %v", interval, got, want)
		}
	}
}
