package client_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/client"
	"github.com/zinnialadder/zinnialadder/pkg/option"
)

// server is an HTTP server on a Listener.
type server struct {
	t        testing.TB
	guard    *client.Guard
	listener *client.Listener
	metrics  metrics.Registry
	served   atomic.Int64 // requests whose handler was called
	// release makes the handlers of requests to /wait return.
	release chan struct{}
	// waiting has an element for each request to /wait that is being served.
	waiting chan struct{}
}

// serveWith starts a server whose limits are those that limits returns.
func serveWith(t testing.TB, memory int64, connections int, limits func() option.Of[client.Limits]) *server {
	t.Helper()
	s := &server{t: t, metrics: metrics.NewRegistry(), release: make(chan struct{}), waiting: make(chan struct{}, 100)}
	s.guard = client.NewGuard(client.GuardConfig{MemoryLimit: memory, Limits: limits, Metrics: s.metrics, Logger: log.New(io.Discard)})
	var err error
	s.listener, err = s.guard.Listen(client.ListenerConfig{Name: "test", Address: "127.0.0.1:0", MaxConnections: connections,
		RequestDeadline: func(r *http.Request, now time.Time) time.Time {
			if d, err := time.ParseDuration(r.Header.Get("Deadline")); err == nil {
				return now.Add(d)
			}
			return time.Time{}
		}})
	if err != nil {
		t.Fatal(err)
	}
	srv := s.listener.Server(http.HandlerFunc(s.serve))
	var group errgroup.Group
	group.Go(func() error { return srv.Serve(s.listener) })
	t.Cleanup(func() {
		_ = srv.Close()
		_ = group.Wait() // the error is that the server was closed
	})
	return s
}

// serve responds with the body of a request, or with 408 if it is not received.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.served.Add(1)
	switch r.URL.Path {
	case "/wait":
		s.waiting <- struct{}{}
		<-s.release
	case "/unread": // the body is not read
		w.WriteHeader(http.StatusNotFound)
		return
	case "/large":
		_, _ = w.Write(make([]byte, 64<<20)) // the client does not read it
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusRequestTimeout)
		return
	}
	fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(r.Header), body)
}

// limited returns limits that are known from the start.
func limited(l client.Limits) func() option.Of[client.Limits] {
	return func() option.Of[client.Limits] { return option.Some(l) }
}

// count returns how many connections were closed for a reason.
func (s *server) count(reason string) int64 {
	return metrics.GetOrRegisterCounter("clients.test.closed."+reason, s.metrics).Count()
}

// open returns the number of open connections.
func (s *server) open() int64 {
	return s.metrics.Get("clients.test.connections").(metrics.Gauge).Value()
}

// peer is a client's connection.
type peer struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func (s *server) connect() *peer {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // ends a test whose peer does not answer
	return &peer{Conn: conn, t: s.t, r: bufio.NewReader(conn)}
}

func (p *peer) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// response reads a response and returns its status, header and body.
func (p *peer) response() (int, http.Header, string) {
	p.t.Helper()
	resp, err := http.ReadResponse(p.r, nil)
	if err != nil {
		p.t.Fatalf("no response: %v", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(body)
}

// isClosed reports whether the server has closed the connection without a further response.
func (p *peer) isClosed() bool {
	_, err := p.r.ReadByte()
	netErr, ok := err.(net.Error)
	return err != nil && !(ok && netErr.Timeout())
}

// eventually waits until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

const (
	get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
	mib = 1 << 20
)

// head returns a request with header lines of the given total size.
func head(size int) string {
	const line = "A: 0123456789012345678901234567\r\n"
	return "GET /x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, size/len(line)) + "\r\n"
}

// Guards against heads over the limit that are served, and heads inside it that are not.
func TestHeadOverLimit(t *testing.T) {
	s := serveWith(t, 256*mib, 10, limited(client.Limits{HeaderBytes: 16384}))
	for size, want := range map[int]int{100: http.StatusOK, 16000: http.StatusOK, 30000: http.StatusRequestHeaderFieldsTooLarge, 3 * mib: http.StatusRequestHeaderFieldsTooLarge} {
		p := s.connect()
		_, _ = io.WriteString(p, head(size)) // may be refused before its end
		if size > mib {
			continue // a reset may overtake the response
		}
		if status, _, _ := p.response(); status != want {
			t.Errorf("head of %d bytes: got status %d, want %d", size, status, want)
		}
	}
	eventually(t, "both refusals", func() bool { return s.count("head_size") == 2 })
}

// Guards against a refusal that is final for a client inside limits that are not known yet.
func TestHeadBeforeLimitsAreKnown(t *testing.T) {
	s := serveWith(t, 256*mib, 10, func() option.Of[client.Limits] { return option.Of[client.Limits]{} })
	p := s.connect()
	_, _ = io.WriteString(p, head(mib+200_000)) // is refused before its end
	if status, header, _ := p.response(); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("got status %d with Retry-After %q, want 503 and a time", status, header.Get("Retry-After"))
	}
}

// Guards against a client that is refused because the limit has just become narrower.
func TestNarrowedLimitAppliesLater(t *testing.T) {
	var narrow atomic.Bool
	s := serveWith(t, 256*mib, 10, func() option.Of[client.Limits] {
		if narrow.Load() {
			return option.Some(client.Limits{HeaderBytes: 1000})
		}
		return option.Some(client.Limits{HeaderBytes: 65536})
	})
	s.guard.Sweep(time.Now())
	narrow.Store(true)
	p := s.connect()
	p.send(head(60000))
	if status, _, _ := p.response(); status != http.StatusOK {
		t.Errorf("right after the change: got status %d, want 200", status)
	}
	s.guard.Sweep(time.Now().Add(3 * time.Minute)) // the limits from before the change have expired
	q := s.connect()
	q.send(head(60000))
	if status, _, _ := q.response(); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("three minutes later: got status %d, want 431", status)
	}
}

// Guards against heads whose sum exceeds the memory for them, and against memory that is not
// given back.
func TestMemoryOfHeads(t *testing.T) {
	s := serveWith(t, 4*mib, 100, nil) // heads may take 512 KiB
	var held []*peer
	for n := range 3 {
		p := s.connect()
		p.send(strings.TrimSuffix(head(60_000), "\r\n")) // counts with more than 230,000 bytes
		held = append(held, p)
		eventually(t, "a head that is received or refused", func() bool {
			return s.metrics.Get("clients.heads.bytes").(metrics.Gauge).Value() > int64(n+1)*230_000 || s.count("head_memory") == 1
		})
	}
	eventually(t, "a refusal", func() bool { return s.count("head_memory") == 1 })
	refused := 0
	for _, p := range held {
		_, _ = io.WriteString(p, "\r\n") // completes the heads that are not refused
		status, header, _ := p.response()
		if status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" {
			refused++
		} else if status != http.StatusOK {
			t.Errorf("got status %d, want 200 or 503 with Retry-After", status)
		}
	}
	if refused != 1 || s.served.Load() != 2 {
		t.Errorf("%d of 3 heads refused and %d served, want 1 and 2", refused, s.served.Load())
	}
	p := s.connect()
	for range 5 { // the memory is given back after each response
		p.send(head(60_000))
		if status, _, _ := p.response(); status != http.StatusOK {
			t.Errorf("after the responses: got status %d, want 200", status)
		}
	}
}

// Guards against bodies whose time starts again with each byte.
func TestBodyHasTimeLimit(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		after  time.Duration
		path   string
		want   int
	}{
		"no deadline":                 {"", 40 * time.Second, "/x", http.StatusRequestTimeout},
		"deadline":                    {"Deadline: 5s\r\n", 6 * time.Second, "/x", http.StatusRequestTimeout},
		"distant deadline":            {"Deadline: 5000s\r\n", 40 * time.Second, "/x", http.StatusRequestTimeout},
		"body that is read by nobody": {"", 40 * time.Second, "/unread", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveWith(t, 256*mib, 10, nil)
			p := s.connect()
			p.send("POST " + c.path + " HTTP/1.1\r\nHost: h\r\n" + c.header + "Content-Length: 100\r\n\r\n")
			eventually(t, "the request", func() bool { return s.served.Load() == 1 })
			p.send("x")
			s.guard.Sweep(time.Now().Add(c.after / 2))
			if s.count("body_timeout") != 0 {
				t.Errorf("timed out after %v, want later", c.after/2)
			}
			s.guard.Sweep(time.Now().Add(c.after))
			if status, _, _ := p.response(); status != c.want {
				t.Errorf("got status %d, want %d", status, c.want)
			}
			if !p.isClosed() || s.count("body_timeout") != 1 {
				t.Errorf("%d bodies timed out, want 1 and a closed connection", s.count("body_timeout"))
			}
		})
	}
}

// Guards against a large body that arrives steadily and is cut off.
func TestSteadyBodyHasMoreTime(t *testing.T) {
	s := serveWith(t, 256*mib, 10, nil)
	p := s.connect()
	const size = 2 << 20 // 128 s at the least rate
	p.send(fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size+1, strings.Repeat("x", size)))
	eventually(t, "the request", func() bool { return s.served.Load() == 1 })
	time.Sleep(100 * time.Millisecond) // most of the body has been read
	s.guard.Sweep(time.Now().Add(100 * time.Second))
	p.send("y")
	if status, _, _ := p.response(); status != http.StatusOK {
		t.Errorf("got status %d, want 200", status)
	}
}

// Guards against a client that never reads its response and keeps the connection.
func TestUnreadResponseIsCutOff(t *testing.T) {
	s := serveWith(t, 256*mib, 10, nil)
	p := s.connect()
	p.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	eventually(t, "the request", func() bool { return s.served.Load() == 1 })
	eventually(t, "a response that is not read", func() bool {
		s.guard.Sweep(time.Now().Add(20 * time.Second))
		return s.count("unread") == 1
	})
	eventually(t, "the connection closed", func() bool { return s.open() == 0 })
}

// Guards against silent and idle connections and heads that stop, without a time limit.
func TestConnectionsWithoutRequest(t *testing.T) {
	for name, c := range map[string]struct {
		send   string
		after  time.Duration
		reason string
	}{
		"silent":            {"", 6 * time.Second, "head_timeout"},
		"head that stops":   {"GET /x HTTP/1.1\r\nA: b\r\n", 6 * time.Second, "head_timeout"},
		"idle":              {get, 18 * time.Second, "idle"},
		"empty line":        {"\r", 6 * time.Second, "head_timeout"},
		"second head stops": {get + "GET /x HTTP/1.1\r\n", 18 * time.Second, "idle"}, // was received with the first
	} {
		t.Run(name, func(t *testing.T) {
			s := serveWith(t, 256*mib, 10, limited(client.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}))
			p := s.connect()
			p.send(c.send)
			if strings.HasPrefix(c.send, get) {
				p.response()
			}
			time.Sleep(50 * time.Millisecond) // the rest has been received
			s.guard.Sweep(time.Now().Add(c.after - 2*time.Second))
			if s.open() != 1 {
				t.Errorf("%d connections open after %v, want 1", s.open(), c.after-2*time.Second)
			}
			s.guard.Sweep(time.Now().Add(c.after))
			if !p.isClosed() || s.count(c.reason) != 1 {
				t.Errorf("%d connections closed for %s, want 1", s.count(c.reason), c.reason)
			}
		})
	}
}

// Guards against connections that keep newer ones out, and against the loss of a request that
// was received before its connection was closed for room.
func TestConnectionsMakeRoom(t *testing.T) {
	s := serveWith(t, 256*mib, 3, nil)
	busy := s.connect()
	busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-s.waiting
	idle := s.connect()
	idle.send(get)
	idle.response()
	time.Sleep(50 * time.Millisecond) // the server waits for the next request before it has the next connection
	silent := s.connect()
	eventually(t, "three connections", func() bool { return s.open() == 3 })
	newer := s.connect()
	newer.send(get)
	if status, _, _ := newer.response(); status != http.StatusOK {
		t.Errorf("newer connection: got status %d, want 200", status)
	}
	if !idle.isClosed() || s.count("room") != 1 {
		t.Errorf("%d connections closed for room, want the one that was idle for longest", s.count("room"))
	}
	silent.send(get)
	if status, _, _ := silent.response(); status != http.StatusOK {
		t.Errorf("silent connection: got status %d, want 200", status)
	}
	close(s.release)
	if status, _, _ := busy.response(); status != http.StatusOK {
		t.Errorf("request in progress: got status %d, want 200", status)
	}
}

// Guards against clients that cannot know that nothing of their request has run, because its
// connection is closed for room after a part of it was read.
func TestIncompleteRequestsAreRefusedForRoom(t *testing.T) {
	for name, c := range map[string]struct {
		send, path string
		refused    bool
	}{
		"head":                            {"POST /x HTTP/1.1\r\nHost: h\r\n", "", true},
		"body":                            {"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab", "", true},
		"body of a request being handled": {"POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab", "/wait", false},
		"silent":                          {"", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveWith(t, 256*mib, 1, nil)
			defer close(s.release)
			p := s.connect()
			p.send(c.send)
			if c.path == "/wait" {
				<-s.waiting
			}
			eventually(t, "the connection", func() bool { return s.open() == 1 })
			time.Sleep(50 * time.Millisecond) // what was sent has been received, and the handler waits for more
			q := s.connect()
			q.send(get)
			if status, _, _ := q.response(); status != http.StatusOK {
				t.Errorf("newer connection: got status %d, want 200", status)
			}
			if !c.refused {
				if !p.isClosed() {
					t.Error("got a response, want a closed connection")
				}
				return
			}
			if status, header, _ := p.response(); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
				t.Errorf("got status %d with Retry-After %q, want 503 and a time", status, header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a request in progress that is cut off for a newer connection.
func TestRequestsInProgressAreServed(t *testing.T) {
	s := serveWith(t, 256*mib, 2, nil)
	var busy []*peer
	for range 2 {
		p := s.connect()
		p.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		<-s.waiting
		busy = append(busy, p)
	}
	if !s.connect().isClosed() || s.served.Load() != 2 {
		t.Error("a connection beyond the limit is open, want it closed without a response")
	}
	close(s.release)
	for _, p := range busy {
		if status, _, _ := p.response(); status != http.StatusOK {
			t.Errorf("request in progress: got status %d, want 200", status)
		}
	}
}

// Guards against sessions of another protocol that take all connections, and against the loss of
// one that is in use.
func TestOtherProtocolMakesRoom(t *testing.T) {
	g := client.NewGuard(client.GuardConfig{MemoryLimit: 256 * mib, Metrics: metrics.NewRegistry(), Logger: log.New(io.Discard)})
	l, err := g.Listen(client.ListenerConfig{Name: "peers", Address: "127.0.0.1:0", MaxConnections: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dial := func() (dialed, accepted net.Conn) {
		d, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close() })
		a, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return d, a
	}
	used, accepted := dial()
	silent, _ := dial()
	buf := make([]byte, 1)
	if _, err := used.Write(buf); err != nil {
		t.Fatal(err)
	}
	if _, err := accepted.Read(buf); err != nil {
		t.Fatal(err)
	}
	dial()
	_ = silent.SetReadDeadline(time.Now().Add(10 * time.Second)) // ends a test whose peer does not answer
	if _, err := silent.Read(buf); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("silent session: got error %v, want it closed", err)
	}
	if _, err := accepted.Write(buf); err != nil {
		t.Errorf("session in use: %v", err)
	}
}

// Guards against large heads that arrive faster than the memory of those before is collected.
func TestLargeHeadsArePaced(t *testing.T) {
	s := serveWith(t, 16*mib, 10, nil)
	p := s.connect()
	const heads = 60 // each counts with more than 390,000 bytes, all with 1.4 times the memory limit
	start := time.Now()
	for range heads {
		p.send(head(100_000))
		if status, _, _ := p.response(); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	if took := time.Since(start); took < time.Second {
		t.Errorf("%d large heads were received in %v, want at least 1 s", heads, took)
	}
	start = time.Now()
	for range heads {
		p.send(get)
		if status, _, _ := p.response(); status != http.StatusOK {
			t.Fatalf("got status %d, want 200", status)
		}
	}
	t.Logf("%d small heads were received in %v", heads, time.Since(start))
}
