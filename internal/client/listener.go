package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/internal/logs"
)

const (
	// evictedFraction is the fraction of a listener's connections that are closed at once when
	// there are too many, so that their order is not determined again for each new connection.
	evictedFraction = 1.0 / 32
	// acceptPause is how long a listener does not accept connections when the process has no
	// descriptor for one.
	acceptPause = 20 * time.Millisecond
)

// Reasons for which connections are closed, which are parts of the names of metrics.
const (
	reasonRoom       = "room"         // closed for newer connections
	reasonIdle       = "idle"         // no request for too long
	reasonHeadTime   = "head_timeout" // a head was incomplete for too long
	reasonHeadSize   = "head_size"    // a head exceeded its limit
	reasonHeadMemory = "head_memory"  // heads took too much memory
	reasonBodyTime   = "body_timeout" // a body was incomplete for too long
	reasonUnread     = "unread"       // a response was not read for too long
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Name           string // of the address, in metrics and log lines, such as "front"
	Address        string // host:port
	MaxConnections int    // at a time
	// RequestDeadline returns when the client of a request received at now no longer waits for
	// the response, or zero if it is not known. Nil means that it is not known.
	RequestDeadline func(r *http.Request, now time.Time) time.Time
}

// Listener accepts connections at one address and limits them. Beyond the largest number of
// connections it closes those that have made no progress for the longest: silent and idle ones,
// those with an incomplete request, and those whose client does not read a response.
type Listener struct {
	net.Listener
	guard *Guard
	cfg   ListenerConfig
	lines *logs.Limiter
	http  bool // set before the first connection is accepted

	mu          sync.Mutex
	connections map[*conn]struct{}
}

// Listen listens at an address.
func (g *Guard) Listen(cfg ListenerConfig) (*Listener, error) {
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", cfg.Address, err)
	}
	l := &Listener{Listener: ln, guard: g, cfg: cfg, lines: logs.NewLimiter(1), connections: map[*conn]struct{}{}}
	metrics.NewRegisteredFunctionalGauge("clients."+cfg.Name+".connections", g.cfg.Metrics, func() int64 {
		l.mu.Lock()
		defer l.mu.Unlock()
		return int64(len(l.connections))
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l, nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Server returns a server of h whose Serve must be called with l. It has no limits of its own.
func (l *Listener) Server(h http.Handler) *http.Server {
	l.http = true
	return &http.Server{
		Handler:        l.handler(h),
		MaxHeaderBytes: 1 << 30, // the connections have a limit
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(nc net.Conn, state http.ConnState) {
			if c, ok := nc.(*conn); ok && state == http.StateIdle {
				c.endRequest()
			}
		},
	}
}

// handler returns h for requests that have been received in time.
func (l *Listener) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		now := time.Now()
		var deadline time.Time
		if l.cfg.RequestDeadline != nil {
			deadline = l.cfg.RequestDeadline(r, now)
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		if !c.beginRequest(now, deadline, hasBody) {
			panic(http.ErrAbortHandler) // the connection was closed for room
		}
		if hasBody {
			// r itself stays as it is, because net/http looks at its body after the response.
			copied := *r
			copied.Body = &body{ReadCloser: r.Body, conn: c}
			r = &copied
		}
		h.ServeHTTP(w, r)
	})
}

// body is the body of a request on a connection.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.conn.setReading(true)
	n, err := b.ReadCloser.Read(p)
	b.conn.setReading(false)
	if errors.Is(err, io.EOF) && !b.conn.completeRequest() {
		return n, errClosedForRoom
	}
	return n, err
}

var errClosedForRoom = errors.New("client: connection closed to make room")

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			l.makeRoom(time.Now())
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc, time.Now()); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection that limits nc, or nil if there is no room for it. It closes nc
// then.
func (l *Listener) admit(nc net.Conn, now time.Time) *conn {
	l.mu.Lock()
	full := len(l.connections) >= l.cfg.MaxConnections
	l.mu.Unlock()
	if full && !l.makeRoom(now) {
		l.count(reasonRoom, now)
		_ = nc.Close() // nothing was read from it
		return nil
	}
	c := &conn{Conn: nc, listener: l, since: now, silent: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = struct{}{}
	return c
}

// makeRoom closes the connections that have made no progress for the longest. It reports whether
// there were any.
func (l *Listener) makeRoom(now time.Time) bool {
	type candidate struct {
		*conn
		since time.Time
	}
	var candidates []candidate
	for _, c := range l.all() {
		if since, ok := c.unproductiveSince(now); ok {
			candidates = append(candidates, candidate{c, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return a.since.Compare(b.since) })
	most := max(1, int(evictedFraction*float64(l.cfg.MaxConnections)))
	made := false
	for _, c := range candidates[:min(most, len(candidates))] {
		if c.evict(now) {
			l.remove(c.conn)
			l.count(reasonRoom, now)
			made = true
		}
	}
	return made
}

// all returns the open connections.
func (l *Listener) all() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*conn, 0, len(l.connections))
	for c := range l.connections {
		all = append(all, c)
	}
	return all
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// sweep ends what has exceeded its time limit at now.
func (l *Listener) sweep(now time.Time, limits Limits) {
	if !l.http {
		return // sessions of other protocols have time limits of their own
	}
	for _, c := range l.all() {
		if reason, ok := c.expire(now, limits); ok {
			l.count(reason, now)
		}
	}
}

// count counts a connection that is closed for a reason, and logs it at most once a second.
func (l *Listener) count(reason string, now time.Time) {
	metrics.GetOrRegisterCounter("clients."+l.cfg.Name+".closed."+reason, l.guard.cfg.Metrics).Inc(1)
	if reason == reasonIdle || reason == reasonHeadTime {
		return // also happens to ordinary clients
	}
	if skipped, ok := l.lines.Allow(now); ok {
		l.mu.Lock()
		open := len(l.connections)
		l.mu.Unlock()
		l.guard.cfg.Logger.Warn("client exceeded a limit, closing its connection", "listener", l.cfg.Name, "limit", reason, "connections", open, "max_connections", l.cfg.MaxConnections, "skipped", skipped)
	}
}
