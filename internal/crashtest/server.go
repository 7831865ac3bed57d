// Package crashtest provides an HTTP server for fake upstreams that crashes and restarts
// as the process of an upstream does.
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

// listenRetryInterval is the time until a restart that could not listen at the server's
// address is tried again, since another process may use the address for a moment.
const listenRetryInterval = 20 * time.Millisecond

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// Address is the IP:port to listen at; empty for a free port of 127.0.0.1. While the server
	// is down, another process may take a port that the kernel chooses by itself.
	Address string
	// RestartDelay returns the time from a crash to the restart. If it is nil or returns
	// 0, the server does not restart.
	RestartDelay func() time.Duration
	// OnStart, if not nil, is called at each start before the server accepts requests.
	// restarted is false at the first start only.
	OnStart func(restarted bool)
}

// Server is an HTTP server that can crash and restart at the same address. Call Close to
// stop it.
type Server struct {
	cfg     Config
	address string
	group   errgroup.Group

	mu      sync.Mutex
	server  *http.Server // nil after a crash, until the restart
	closed  bool
	crashes []time.Time
}

// Serve starts a Server.
func Serve(cfg Config) (*Server, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, address: ln.Addr().String()}
	s.start(ln, false)
	return s, nil
}

// Address returns the server's IP:port.
func (s *Server) Address() string { return s.address }

// Up reports whether the server accepts connections.
func (s *Server) Up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server != nil
}

// CrashTimes returns the times at which the server crashed, the earliest first.
func (s *Server) CrashTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

// start calls OnStart and serves on ln. If the server has been closed meanwhile it closes
// ln instead.
func (s *Server) start(ln net.Listener, restarted bool) {
	if s.cfg.OnStart != nil {
		s.cfg.OnStart(restarted)
	}
	server := &http.Server{Handler: s.cfg.Handler}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = ln.Close() // no connection of it has been accepted
		return
	}
	s.server = server
	s.group.Go(func() error {
		_ = server.Serve(ln) // returns when the server is closed
		return nil
	})
}

// Crash closes the server and its connections at once. It accepts connections again after
// Config.RestartDelay. Crash has no effect while the server is down.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	if server != nil {
		s.crashes = append(s.crashes, time.Now())
	}
	s.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close() // connections that are not closed are noticed by their clients
	if s.cfg.RestartDelay == nil {
		return
	}
	if d := s.cfg.RestartDelay(); d > 0 {
		time.AfterFunc(d, s.restart)
	}
}

// restart starts the server again at its address, unless it has been closed.
func (s *Server) restart() {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(listenRetryInterval, s.restart)
		return
	}
	s.start(ln, true)
}

// Close stops the server and waits for its goroutines. It does not restart.
func (s *Server) Close() {
	s.mu.Lock()
	server := s.server
	s.server, s.closed = nil, true
	s.mu.Unlock()
	if server != nil {
		_ = server.Close() // the server is not used after this
	}
	_ = s.group.Wait() // its functions always return nil
}

// Poison makes a Server crash on certain requests.
type Poison struct {
	// Match reports whether a request with this body crashes the server.
	Match func(body []byte) bool
	// CrashDelay is the time from the start of a matching request to the crash. A request
	// that is cancelled before does not crash the server.
	CrashDelay time.Duration

	mu     sync.Mutex
	starts []time.Time
}

// StartTimes returns the times at which matching requests began, the earliest first.
func (p *Poison) StartTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.starts...)
}

// Handler returns a handler that crashes the Server that server returns on matching
// requests and passes all others to h.
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
		p.starts = append(p.starts, time.Now())
		p.mu.Unlock()
		if clock.Sleep(r.Context(), p.CrashDelay) {
			server().Crash()
		}
	})
}
