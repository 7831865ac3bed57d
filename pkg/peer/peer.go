// Package peer carries hints between instances of the system: yamux sessions
// over TCP, one outgoing session and stream to each peer, each hint a
// length-delimited protobuf message. A hint only makes its receiver look sooner;
// one that is lost costs at most a period.
package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
)

// Config configures Links.
type Config struct {
	Listener  net.Listener // where peers connect; nil to listen on Listen
	Listen    string       // IP:port; empty, with no Listener, to carry no hints
	KeepAlive time.Duration
	Go        func(func() error) // starts a goroutine of the instance's group
	Targets   func() []string    // addresses of the peers that hints are sent to
	Receive   func(context.Context, *peerpb.Hint)
}

// Links are an instance's links to its peers. Call New, then Serve.
type Links struct {
	cfg Config
	out chan *peerpb.Hint // latest hint to send; older ones are replaced

	mu       sync.Mutex
	sessions map[string]*peerLink // peer address → link
}

type peerLink struct {
	session *yamux.Session
	stream  net.Conn
}

// peerDialTimeout bounds the dial of a peer; a peer that cannot be reached
// gets its hints at its next period instead.
const peerDialTimeout = time.Second

// New returns Links that carry nothing yet.
func New(cfg Config) *Links {
	return &Links{cfg: cfg, out: make(chan *peerpb.Hint, 1), sessions: map[string]*peerLink{}}
}

// yamuxConfig finds and closes a link that has gone silent within two of
// its keepalives.
func (p *Links) yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = p.cfg.KeepAlive
	c.ConnectionWriteTimeout = p.cfg.KeepAlive
	c.LogOutput = io.Discard
	return c
}

// Hint queues h for every peer and does not block.
func (p *Links) Hint(h *peerpb.Hint) {
	for {
		select {
		case p.out <- h:
			return
		default:
		}
		select {
		case old := <-p.out: // not sent yet: the new hint says that too
			h.Steps = h.Steps || old.Steps
		default:
		}
	}
}

// Serve accepts peers' sessions and sends queued hints until ctx ends.
func (p *Links) Serve(ctx context.Context) error {
	ln := p.cfg.Listener
	if ln == nil && p.cfg.Listen == "" {
		<-ctx.Done()
		return nil
	}
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", p.cfg.Listen); err != nil {
			return err
		}
	}
	p.cfg.Go(func() error { return p.accept(ctx, ln) })
	defer p.closeAll()
	defer ln.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-p.out:
			p.broadcast(ctx, h)
		}
	}
}

func (p *Links) accept(ctx context.Context, ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		session, err := yamux.Server(conn, p.yamuxConfig())
		if err != nil {
			conn.Close()
			continue
		}
		p.cfg.Go(func() error { return p.receive(ctx, session) })
	}
}

// receive reads hints from every stream of one session.
func (p *Links) receive(ctx context.Context, session *yamux.Session) error {
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	for {
		stream, err := session.Accept()
		if err != nil {
			return nil // the session ended
		}
		p.cfg.Go(func() error {
			defer stream.Close()
			r := protodelim.UnmarshalOptions{MaxSize: 4096}
			br := newByteReader(stream)
			for {
				var h peerpb.Hint
				if err := r.UnmarshalFrom(br, &h); err != nil {
					return nil
				}
				p.cfg.Receive(ctx, &h)
			}
		})
	}
}

// Fingers returns the members that the one at index self sends hints to: those
// 1, 2, 4, ... places after it. Each member that learns something new from a hint
// sends its own, so a hint reaches all of n members in at most log2(n) steps over
// log2(n) links a member.
func Fingers[T any](members []T, self int) []T {
	var out []T
	for step := 1; step < len(members); step *= 2 {
		out = append(out, members[(self+step+len(members))%len(members)])
	}
	return out
}

// broadcast sends h to the targets, all at once, so that peers that
// cannot be reached do not hold up the others.
func (p *Links) broadcast(ctx context.Context, h *peerpb.Hint) {
	var sends errgroup.Group
	for _, addr := range p.cfg.Targets() {
		sends.Go(func() error {
			if err := p.send(ctx, addr, h); err != nil {
				p.drop(addr)
			}
			return nil
		})
	}
	_ = sends.Wait()
}

func (p *Links) send(ctx context.Context, addr string, h *peerpb.Hint) error {
	link, err := p.link(ctx, addr)
	if err != nil {
		return err
	}
	_ = link.stream.SetWriteDeadline(time.Now().Add(peerDialTimeout))
	_, err = protodelim.MarshalTo(link.stream, h)
	return err
}

// link returns the link to the peer at addr, made anew if there is none. One
// broadcast runs at a time, so no two calls are for the same peer.
func (p *Links) link(ctx context.Context, addr string) (*peerLink, error) {
	p.mu.Lock()
	l, ok := p.sessions[addr]
	p.mu.Unlock()
	if ok && !l.session.IsClosed() {
		return l, nil
	}
	l, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.sessions[addr] = l
	p.mu.Unlock()
	return l, nil
}

func (p *Links) dial(ctx context.Context, addr string) (*peerLink, error) {
	d := net.Dialer{Timeout: peerDialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(conn, p.yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	stream, err := session.Open()
	if err != nil {
		session.Close()
		return nil, err
	}
	return &peerLink{session: session, stream: stream}, nil
}

func (p *Links) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.sessions[addr]; ok {
		l.session.Close()
		delete(p.sessions, addr)
	}
}

func (p *Links) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.sessions {
		l.session.Close()
		delete(p.sessions, addr)
	}
}

// byteReader adds ReadByte to a stream, as protodelim needs, reading one
// byte at a time so that nothing is buffered past a message.
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
