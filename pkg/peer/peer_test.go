package peer_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/internal/tcp/tcptest"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// Hints reach the reachable target; a target that cannot be reached does not delay them, and
// gets hints too once it has come back, also if it was reached before.
func TestHintReachesTargets(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	listen := func(addr string) net.Listener {
		t.Helper()
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		return ln
	}
	// start serves a peer until the returned function is called.
	start := func(ln net.Listener, got chan *peerpb.Hint, targets ...string) (*peer.Hints, func()) {
		served, stop := context.WithCancel(ctx)
		var own errgroup.Group
		l := peer.NewHints(peer.HintsConfig{Listener: ln, KeepAlive: time.Second, Go: func(f func() error) { own.Go(f) },
			Targets: func() []string { return targets }, Receive: func(_ context.Context, h *peerpb.Hint) { got <- h }})
		own.Go(func() error { return l.Serve(served) })
		g.Go(own.Wait)
		return l, func() { stop(); _ = own.Wait() }
	}
	steady, returning := make(chan *peerpb.Hint, 64), make(chan *peerpb.Hint, 64)
	receiver, away := listen("127.0.0.1:0"), listen("127.0.0.1:0")
	awayAddress := away.Addr().String()
	away.Close()
	start(receiver, steady)
	sender, _ := start(listen("127.0.0.1:0"), make(chan *peerpb.Hint), "127.0.0.1:1", awayAddress, receiver.Addr().String())
	revision := uint64(0)
	// broadcast sends a hint, which must reach the target that is always there.
	broadcast := func() {
		t.Helper()
		revision++
		sender.Broadcast(&peerpb.Hint{From: "a", CatalogueRevision: revision})
		select {
		case h := <-steady:
			if h.CatalogueRevision != revision {
				t.Fatalf("catalogue revision %d, want %d", h.CatalogueRevision, revision)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no hint received within 5 s")
		}
	}
	for range 3 {
		broadcast()
	}
	for round := range 2 { // the second time the sender has a session with the target
		_, stop := start(listen(awayAddress), returning)
		for deadline := time.Now().Add(10 * time.Second); len(returning) == 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("return %d: no hint received by the target that has come back within 10 s", round+1)
			}
			broadcast()
		}
		stop()
		for range 3 {
			broadcast()
		}
		for len(returning) > 0 {
			<-returning
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

// Guards against a store call through a peer that is given up and carried out when the
// network path to the peer works again.
func TestGivenUpCallIsNotDeliveredLater(t *testing.T) {
	server := tcptest.Listen(t)
	sessions := peer.NewSessions(0)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	store := peer.StoreClient{Sessions: sessions, Address: server.Address}
	if err := store.PutObject(ctx, "o", make([]byte, 64<<10)); err == nil {
		t.Fatal("the call succeeded without an answer")
	}
	sessions.Drop(server.Address)
	if _, err := tcptest.ReadRest(server.Accept(t)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the dropped session ended with %v, want a reset", err)
	}
}

// Guards against hints of an instance that stops, such as that it drains, which are lost
// because its sessions are reset.
func TestStoppingInstanceDeliversWhatItSent(t *testing.T) {
	server := tcptest.Listen(t)
	sessions := peer.NewSessions(0)
	if _, err := sessions.Open(context.Background(), server.Address); err != nil {
		t.Fatal(err)
	}
	conn := server.Accept(t)
	sessions.Close()
	if _, err := tcptest.ReadRest(conn); err != nil {
		t.Errorf("the session of a stopping instance ended with %v, want an orderly close", err)
	}
}
