// Package crashtest serves HTTP as a process does that can crash and start again at
// its address, for stand-ins of upstreams.
package crashtest

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
)

// restartPause is the pause before a server that could not start tries again, as
// another process may hold its address for a moment.
const restartPause = 20 * time.Millisecond

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// RestartDelay returns how long after a crash the server starts again; nil, or a
	// time of 0, for never.
	RestartDelay func() time.Duration
	// OnStart is told of each start, before the first request; nil for nothing.
	OnStart func(restarted bool)
}

// Server serves at one address, with pauses after crashes. Close it when done.
type Server struct {
	cfg     Config
	address string
	group   errgroup.Group

	mu     sync.Mutex
	server *http.Server // nil while it is down
	closed bool
	ends   []time.Time
}

// Serve starts a Server at a free port of loopback.
func Serve(cfg Config) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, address: ln.Addr().String()}
	s.begin(ln, false)
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.address }

// Up reports whether the server takes connections.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// CrashTimes returns when the server has crashed.
func (s *Server) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.ends...)
}

// begin begins a start, unless the server was closed meanwhile.
func (s *Server) begin(ln net.Listener, restarted bool) {
	if s.cfg.OnStart != nil {
		s.cfg.OnStart(restarted)
	}
	server := &http.Server{Handler: s.cfg.Handler}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = ln.Close() // nobody has used it
		return
	}
	s.server = server
	s.group.Go(func() error {
		_ = server.Serve(ln) // until it is closed
		return nil
	})
}

// Crash ends the server at once: its connections close, and none is taken until it
// starts again.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server != nil {
		s.ends = append(s.ends, time.Now())
	}
	s.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close() // what it could not close, its clients find
	if s.cfg.RestartDelay == nil {
		return
	}
	if d := s.cfg.RestartDelay(); d > 0 {
		time.AfterFunc(d, s.restart)
	}
}

func (s *Server) restart() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(restartPause, s.restart)
		return
	}
	s.begin(ln, true)
}

// Close ends the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	server := s.server
	s.server, s.closed = nil, true
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // nobody uses it any more
	}
	_ = s.group.Wait() // its functions return nil
}

// Poison has a Server crash under the requests that match.
type Poison struct {
	Match func(body []byte) bool
	// CrashDelay is how long after its beginning a request crashes the server, unless its
	// caller leaves before.
	CrashDelay time.Duration

	mu   sync.Mutex
	runs []time.Time
}

// StartTimes returns when requests that match began.
func (p *Poison) StartTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.runs...)
}

// Handler returns a handler that crashes server under the requests that match, and
// leaves the others to h.
func (p *Poison) Handler(h http.Handler, server func() *Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !p.Match(body) {
			h.ServeHTTP(w, r)
			return
		}
		p.mu.Lock()
		p.runs = append(p.runs, time.Now())
		p.mu.Unlock()
		if clock.Sleep(r.Context(), p.CrashDelay) {
			server().Crash()
		}
	})
}
