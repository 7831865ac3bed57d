package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// A hint reaches the targets, also after one that could not be reached is there
// again; those that are away hold up no other.
func TestHintReachesTargets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	listen := func() net.Listener {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	got := make(chan *peerpb.Hint, 8)
	receiver := listen()
	links := func(ln net.Listener, targets ...string) *peer.Hints {
		l := peer.NewHints(peer.HintsConfig{Listener: ln, KeepAlive: time.Second, Go: func(f func() error) { g.Go(f) },
			Targets: func() []string { return targets }, Receive: func(_ context.Context, h *peerpb.Hint) { got <- h }})
		g.Go(func() error { return l.Serve(ctx) })
		return l
	}
	links(receiver)
	sender := links(listen(), "127.0.0.1:1", receiver.Addr().String())
	for revision := uint64(1); revision < 4; revision++ {
		sender.Broadcast(&peerpb.Hint{From: "a", CatalogueRevision: revision})
		select {
		case h := <-got:
			if h.CatalogueRevision != revision {
				t.Fatalf("revision %d, want %d", h.CatalogueRevision, revision)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no hint")
		}
	}
}

// Every member is reached in at most log2(n) steps.
func TestFingersReachAll(t *testing.T) {
	for _, n := range []int{1, 2, 11, 84, 370} {
		members := make([]int, n)
		for i := range members {
			members[i] = i
		}
		reached := map[int]bool{0: true}
		steps := 0
		for ; len(reached) < n; steps++ {
			for m := range reached {
				for _, to := range peer.Fingers(members, m) {
					reached[to] = true
				}
			}
		}
		if limit := 10; steps > limit {
			t.Errorf("%d members took %d steps", n, steps)
		}
	}
}
