package peer_test

import (
	"bytes"
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
	"google.golang.org/protobuf/proto"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// acceptor accepts peers that may exceed the limits.
type acceptor struct {
	t       *testing.T
	address string
	refused atomic.Int64 // sessions that were reported as refused
	peers   *peer.Sessions
}

// accept starts an acceptor whose calls of peers may take 2 MB.
func accept(t *testing.T) *acceptor {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &acceptor{t: t, address: ln.Addr().String(), peers: peer.NewSessions(time.Second)}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	start := func(f func() error) { group.Go(f) }
	onRefused := func(error) {
		time.Sleep(20 * time.Millisecond) // a session that is closed before the report is seen as unreported
		a.refused.Add(1)
	}
	server := peer.NewStoreServer(peer.StoreServerConfig{Ping: func(context.Context) error { return nil }, Go: start, MemoryLimit: 16 << 20})
	group.Go(func() error {
		return peer.Accept(ctx, ln, peer.AcceptConfig{KeepAlive: time.Second, Go: start, Serve: server.Serve, OnRefused: onRefused})
	})
	t.Cleanup(func() {
		a.peers.Close()
		cancel()
		ln.Close()
		_ = group.Wait() // the error is that the listener was closed
	})
	return a
}

// ping checks that a peer's call is answered.
func (a *acceptor) ping(when string) {
	a.t.Helper()
	client := &peer.StoreClient{Sessions: a.peers, Address: a.address}
	if err := client.Ping(context.Background()); err != nil {
		a.t.Errorf("%s: a peer's call: %v", when, err)
	}
}

// connect opens a session, which the caller closes.
func (a *acceptor) connect() *yamux.Session {
	a.t.Helper()
	conn, err := net.Dial("tcp", a.address)
	if err != nil {
		a.t.Fatal(err)
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	session, err := yamux.Client(conn, cfg)
	if err != nil {
		a.t.Fatal(err)
	}
	return session
}

// Guards against calls of a client that speaks the protocol of peers and exceeds each limit, and
// against the loss of a peer's calls meanwhile.
func TestCallsOverLimit(t *testing.T) {
	a := accept(t)
	a.ping("before")
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
		"fields": func(s *yamux.Session) error { // each counts with 192 bytes
			call, err := proto.Marshal(&peerpb.StoreCall{Call: &peerpb.StoreCall_Commit{Commit: &peerpb.Commit{Ops: make([]*peerpb.Op, 20_000)}}})
			if err != nil {
				return err
			}
			return send(s, len(call), call)
		},
		"malformed": func(s *yamux.Session) error { return sendPart(s, 5, 5) },
	} {
		session := a.connect()
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
		a.ping("after " + name)
	}
	if n := a.refused.Load(); n != 5 {
		t.Errorf("%d sessions were reported as refused, want 5", n)
	}
}

// Guards against calls that are never received in full and hold memory for as long as the session
// lives.
func TestCallThatStops(t *testing.T) {
	a := accept(t)
	session := a.connect()
	defer session.Close()
	if err := sendPart(session, 100, 10); err != nil {
		t.Fatal(err)
	}
	select {
	case <-session.CloseChan():
	case <-time.After(20 * time.Second):
		t.Error("the session is open, want it closed")
	}
	if n := a.refused.Load(); n != 1 {
		t.Errorf("%d sessions were reported as refused, want 1", n)
	}
	a.ping("afterwards")
}

// sendPart opens a stream and sends the length of a call and a part of it that is no message.
func sendPart(s *yamux.Session, length, part int) error {
	return send(s, length, bytes.Repeat([]byte{0xff}, part))
}

// send opens a stream and sends the length of a call and data.
func send(s *yamux.Session, length int, data []byte) error {
	stream, err := s.Open()
	if err != nil {
		return err
	}
	_, err = stream.Write(append(binary.AppendUvarint(nil, uint64(length)), data...))
	return err
}
