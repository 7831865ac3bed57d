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

// Hints reach the reachable target; a target that cannot be reached does not delay them.
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
				t.Fatalf("catalogue revision %d, want %d", h.CatalogueRevision, revision)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no hint received within 5 s")
		}
	}
}

// A hint reaches every member in at most 10 steps, enough for log2(n) steps with 370
// members.
func TestFingersReachAllMembers(t *testing.T) {
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
			t.Errorf("hint to %d members took %d steps, want at most 10", n, steps)
		}
	}
}
