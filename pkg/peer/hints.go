package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/zinnialadder/zinnialadder/internal/peerpb"
)

// HintsConfig configures Hints.
type HintsConfig struct {
	Listener  net.Listener // accepts peers' sessions; nil to listen on Listen
	Listen    string       // IP:port; if empty and Listener is nil, hints are neither sent nor received
	KeepAlive time.Duration
	Go        func(func() error) // starts a goroutine of the instance's group
	Targets   func() []string    // addresses of the peers to send hints to
	Receive   func(context.Context, *peerpb.Hint)
}

// Hints sends hints to peers and receives theirs. A hint only makes its receiver check
// for changes earlier; a lost one costs at most one polling period. Call NewHints, then
// Serve.
type Hints struct {
	cfg      HintsConfig
	out      chan *peerpb.Hint // latest hint to send; a newer one replaces it
	sessions *Sessions

	mu      sync.Mutex
	streams map[string]hintStream // by address of the peer
}

// hintStream is the stream that carries hints in one session.
type hintStream struct {
	session *yamux.Session
	net.Conn
}

// NewHints returns Hints. Nothing is sent or received before Serve.
func NewHints(cfg HintsConfig) *Hints {
	return &Hints{cfg: cfg, out: make(chan *peerpb.Hint, 1), sessions: NewSessions(cfg.KeepAlive), streams: map[string]hintStream{}}
}

// Broadcast queues h for all targets and does not block.
func (hs *Hints) Broadcast(h *peerpb.Hint) {
	for {
		select {
		case hs.out <- h:
			return
		default:
		}
		select {
		case old := <-hs.out: // not sent yet: merge it into the new hint
			h.Steps = h.Steps || old.Steps
		default:
		}
	}
}

// Serve accepts peers' sessions and sends queued hints until ctx ends. It fails if it
// cannot listen.
func (hs *Hints) Serve(ctx context.Context) error {
	ln := hs.cfg.Listener
	if ln == nil && hs.cfg.Listen == "" {
		<-ctx.Done()
		return nil
	}
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", hs.cfg.Listen); err != nil {
			return err
		}
	}
	hs.cfg.Go(func() error {
		return Accept(ctx, ln, AcceptConfig{KeepAlive: hs.cfg.KeepAlive, Go: hs.cfg.Go, Serve: hs.receive})
	})
	defer hs.sessions.Close()
	defer ln.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-hs.out:
			hs.broadcast(ctx, h)
		}
	}
}

// receive passes the hints of one stream to Receive.
func (hs *Hints) receive(ctx context.Context, stream net.Conn) error {
	r := protodelim.UnmarshalOptions{MaxSize: maxHint}
	br := newByteReader(stream)
	for {
		var h peerpb.Hint
		if err := r.UnmarshalFrom(br, &h); err != nil {
			return nil // the stream has ended
		}
		hs.cfg.Receive(ctx, &h)
	}
}

// maxHint is the maximum size of a hint in bytes; actual hints are smaller than 100
// bytes.
const maxHint = 4096

// Fingers returns the members that the one at index self sends hints to: those 1, 2, 4,
// ... places after it, as in the finger tables of Chord. Each member that learns
// something new from a hint sends its own, so a hint reaches all of n members in at most
// log2(n) steps over log2(n) links per member.
func Fingers[T any](members []T, self int) []T {
	var out []T
	for step := 1; step < len(members); step *= 2 {
		out = append(out, members[(self+step+len(members))%len(members)])
	}
	return out
}

// broadcast sends h to all targets concurrently, so that unreachable peers do not delay
// the others.
func (hs *Hints) broadcast(ctx context.Context, h *peerpb.Hint) {
	var sends errgroup.Group
	for _, addr := range hs.cfg.Targets() {
		sends.Go(func() error {
			if err := hs.send(ctx, addr, h); err != nil {
				hs.sessions.Drop(addr)
			}
			return nil
		})
	}
	_ = sends.Wait()
}

func (hs *Hints) send(ctx context.Context, addr string, h *peerpb.Hint) error {
	stream, err := hs.stream(ctx, addr)
	if err != nil {
		return err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(dialTimeout))
	_, err = protodelim.MarshalTo(stream, h)
	return err
}

// stream returns the hint stream to the peer at addr. Only one broadcast runs at a time,
// so no two calls are for the same peer.
func (hs *Hints) stream(ctx context.Context, addr string) (net.Conn, error) {
	session, err := hs.sessions.Open(ctx, addr)
	if err != nil {
		return nil, err
	}
	hs.mu.Lock()
	s, ok := hs.streams[addr]
	hs.mu.Unlock()
	if ok && s.session == session {
		return s.Conn, nil
	}
	conn, err := session.Open()
	if err != nil {
		return nil, err
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.streams[addr] = hintStream{session, conn}
	return conn, nil
}
