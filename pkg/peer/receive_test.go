package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// Guards against calls of a client that speaks the protocol of peers and exceeds each limit, and
// against the loss of a peer's calls meanwhile.
func TestCallsOverLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	start := func(f func() error) { group.Go(f) }
	var refused atomic.Int64
	onRefused := func(error) {
		time.Sleep(20 * time.Millisecond) // a session that is closed before the report is seen as unreported
		refused.Add(1)
	}
	server := peer.NewStoreServer(peer.StoreServerConfig{Ping: func(context.Context) error { return nil }, Go: start, MemoryLimit: 16 << 20})
	group.Go(func() error {
		return peer.Accept(ctx, ln, peer.AcceptConfig{KeepAlive: time.Second, Go: start, Serve: server.Serve, OnRefused: onRefused})
	})
	sessions := peer.NewSessions(time.Second)
	t.Cleanup(func() {
		sessions.Close()
		cancel()
		ln.Close()
		_ = group.Wait() // the error is that the listener was closed
	})
	ping := func(when string) {
		t.Helper()
		client := &peer.StoreClient{Sessions: sessions, Address: ln.Addr().String()}
		if err := client.Ping(ctx); err != nil {
			t.Errorf("%s: a peer's call: %v", when, err)
		}
	}
	ping("before")
	for name, exceed := range map[string]func(s *yamux.Session) error{
		"length": func(s *yamux.Session) error {
			return sendPart(s, 10<<20, 0)
		},
		"streams": func(s *yamux.Session) error {
			for range 70 {
				if err := sendPart(s, 100, 10); err != nil {
					return err
				}
			}
			return nil
		},
		"memory": func(s *yamux.Session) error { // calls may take 2 MB, and each byte counts twice
			for range 10 {
				if err := sendPart(s, 8<<20, 200_000); err != nil {
					return err
				}
			}
			return nil
		},
		"malformed": func(s *yamux.Session) error { return sendPart(s, 5, 5) },
	} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		cfg := yamux.DefaultConfig()
		cfg.LogOutput = io.Discard
		session, err := yamux.Client(conn, cfg)
		if err != nil {
			t.Fatal(err)
		}
		// The session may be closed while parts are sent.
		if err := exceed(session); err != nil && errors.Is(err, yamux.ErrTimeout) {
			t.Errorf("%s: %v", name, err)
		}
		select {
		case <-session.CloseChan():
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the session is open, want it closed", name)
		}
		session.Close()
		ping("after " + name)
	}
	if n := refused.Load(); n != 4 {
		t.Errorf("%d sessions were reported as refused, want 4", n)
	}
}

// sendPart opens a stream and sends the length of a call and a part of it that is no message.
func sendPart(s *yamux.Session, length, part int) error {
	stream, err := s.Open()
	if err != nil {
		return err
	}
	b := binary.AppendUvarint(nil, uint64(length))
	for range part {
		b = append(b, 0xff)
	}
	_, err = stream.Write(b)
	return err
}
