// Package peer connects instances of the system with yamux sessions over TCP, whose
// streams carry length-delimited protobuf messages. Hints carries hints, a StoreClient
// makes calls to the platform's store through a peer, a StoreServer makes them on behalf
// of peers, and a Link carries watches of tables.
package peer

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/zinnialadder/zinnialadder/internal/tcp"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
)

// dialTimeout bounds dialing a peer: a round trip takes milliseconds, and an unreachable
// peer does not answer at all.
const dialTimeout = time.Second

// yamuxConfig returns the configuration of a session that is closed within two keepalive
// periods after its peer has gone silent. With a keepAlive of 0 there are no keepalives,
// and the user of the session must detect failures.
func yamuxConfig(keepAlive time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	if keepAlive == 0 {
		c.EnableKeepAlive = false
		return c
	}
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = keepAlive
	return c
}

// Sessions holds the sessions that an instance has opened, one per peer. It is safe for
// concurrent use.
type Sessions struct {
	keepAlive time.Duration

	mu     sync.Mutex
	peers  map[string]*peerSession // by address of the peer
	closed bool
}

type peerSession struct {
	mu      sync.Mutex // held while dialing
	session *yamux.Session
	conn    net.Conn // of session
}

// NewSessions returns Sessions without open sessions.
func NewSessions(keepAlive time.Duration) *Sessions {
	return &Sessions{keepAlive: keepAlive, peers: map[string]*peerSession{}}
}

var errClosed = errors.New("peer: sessions are closed")

// Open returns the session to the peer at addr and dials the peer if there is none. It
// fails if dialing fails or s is closed.
func (s *Sessions) Open(ctx context.Context, addr string) (*yamux.Session, error) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil, errClosed
	}
	p := s.peers[addr]
	if p == nil {
		p = &peerSession{}
		s.peers[addr] = p
	}
	s.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		return p.session, nil
	}
	session, conn, err := dial(ctx, addr, s.keepAlive)
	if err != nil {
		return nil, err
	}
	p.session, p.conn = session, conn
	return session, nil
}

// dial opens a session whose connection is reset when it is closed, as a call that was
// given up must not reach the peer later.
func dial(ctx context.Context, addr string, keepAlive time.Duration) (*yamux.Session, net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := tcp.ResetOnClose(d.DialContext)(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig(keepAlive))
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return session, conn, nil
}

// Drop closes the session to the peer at addr, if there is one.
func (s *Sessions) Drop(addr string) {
	s.mu.Lock()
	p := s.peers[addr]
	delete(s.peers, addr)
	s.mu.Unlock()
	p.close()
}

// CloseExcept closes the sessions to all peers but the one at addr.
func (s *Sessions) CloseExcept(addr string) {
	s.mu.Lock()
	var others []*peerSession
	for a, p := range s.peers {
		if a != addr {
			others = append(others, p)
			delete(s.peers, a)
		}
	}
	s.mu.Unlock()
	for _, p := range others {
		p.close()
	}
}

// Close closes all sessions and makes Open fail from then on. Hints that were sent before
// still reach their peers.
func (s *Sessions) Close() {
	s.mu.Lock()
	s.closed = true
	peers := slices.Collect(maps.Values(s.peers))
	s.mu.Unlock()
	for _, p := range peers {
		p.deliverOnClose()
	}
	s.CloseExcept("")
}

// deliverOnClose makes the system deliver what was sent on the session after its close.
func (p *peerSession) deliverOnClose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(-1) // fails if the session has ended
	}
}

func (p *peerSession) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil {
		p.session.Close()
	}
}

// AcceptConfig configures Accept.
type AcceptConfig struct {
	KeepAlive time.Duration      // how often a session is probed; 0 for never
	Go        func(func() error) // starts a goroutine of the instance's group
	// Serve is called for each stream. It fails if the peer exceeds a limit.
	Serve func(context.Context, net.Conn) error
	// OnRefused is called before a session is closed because its peer exceeded a limit, so that a
	// peer that sees the close has been counted. Nil to ignore it.
	OnRefused func(err error)
}

// Accept accepts sessions on ln until ctx ends or ln fails. A session is closed when Serve
// fails for one of its streams, because data that its peer sends on streams that nobody reads
// takes memory, too. Each such session delays the acceptance of the next one.
func Accept(ctx context.Context, ln net.Listener, cfg AcceptConfig) error {
	var refused atomic.Int64 // sessions closed since the last one was accepted
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		clock.Sleep(ctx, min(time.Duration(refused.Swap(0))*refusedPause, maxRefusedPause))
		session, err := yamux.Server(conn, yamuxConfig(cfg.KeepAlive))
		if err != nil {
			conn.Close()
			continue
		}
		var once sync.Once
		refuse := func(err error) {
			once.Do(func() {
				refused.Add(1)
				if cfg.OnRefused != nil {
					cfg.OnRefused(err)
				}
				_ = session.Close() // fails if it has ended
			})
		}
		cfg.Go(func() error {
			stop := context.AfterFunc(ctx, func() { session.Close() })
			defer stop()
			for {
				stream, err := session.Accept()
				if err != nil {
					return nil // the session has ended
				}
				if session.NumStreams() > maxSessionStreams {
					refuse(errTooMany)
					return nil
				}
				cfg.Go(func() error {
					defer stream.Close()
					if err := cfg.Serve(ctx, stream); err != nil {
						refuse(err)
					}
					return nil
				})
			}
		})
	}
}

const (
	// refusedPause is the time by which each session that was closed for its peer's behaviour
	// delays the acceptance of the next one, up to maxRefusedPause together.
	refusedPause    = 20 * time.Millisecond
	maxRefusedPause = 200 * time.Millisecond
)

// maxSessionStreams limits the open streams of a session. A peer has a few calls and watches at a
// time. Data that a peer sends on a stream that has been closed here takes memory until the peer
// closes it, too, so that the whole session is closed beyond the limit.
const maxSessionStreams = 64

// byteReader adds ReadByte to a stream, as protodelim needs it. It reads one byte at a
// time so that nothing is buffered past a message.
type byteReader struct {
	io.Reader
	b [1]byte
}

func newByteReader(r io.Reader) *byteReader { return &byteReader{Reader: r} }

func (r *byteReader) ReadByte() (byte, error) {
	if _, err := io.ReadFull(r.Reader, r.b[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return 0, io.EOF
		}
		return 0, err
	}
	return r.b[0], nil
}
