package node_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/node"
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
