// Package relay is a TCP proxy for tests that simulates failures of the network. It can
// drop the data of connections and keep them open, as a middlebox does that has lost
// their state, with new connections unaffected; or drop all data, as a network
// partition does.
package relay

import (
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Proxy forwards the connections to Addr to a target. Start returns one.
type Proxy struct {
	target string
	ln     net.Listener
	group  errgroup.Group

	mu           sync.Mutex
	conns        map[*trackedConn]bool
	blackholeNew bool // new connections are blackholed, too
}

// trackedConn is a connection to a client or to the target.
type trackedConn struct {
	net.Conn
	mu         sync.Mutex
	blackholed bool
}

// Write drops the data if the connection is blackholed.
func (t *trackedConn) Write(b []byte) (int, error) {
	t.mu.Lock()
	blackholed := t.blackholed
	t.mu.Unlock()
	if blackholed {
		return len(b), nil
	}
	return t.Conn.Write(b)
}

// Start returns a Proxy to target that listens on a loopback port. An error is one of
// listening.
func Start(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{target: target, ln: ln, conns: map[*trackedConn]bool{}}
	r.group.Go(r.accept)
	return r, nil
}

// Addr returns the IP:port to connect to.
func (r *Proxy) Addr() string { return r.ln.Addr().String() }

// BlackholeOpen drops all further data of the connections now open, and keeps them open.
func (r *Proxy) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
}

// BlackholeAll drops all further data of open and future connections, and keeps them
// open, as a network partition does.
func (r *Proxy) BlackholeAll() {
	r.mu.Lock()
	r.blackholeNew = true
	r.mu.Unlock()
	r.BlackholeOpen()
}

// Close closes the listener and all connections, and waits for their goroutines.
func (r *Proxy) Close() {
	r.ln.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	_ = r.group.Wait()
}

// accept forwards connections until the listener is closed. A connection is closed at
// once if the target does not accept one.
func (r *Proxy) accept() error {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return nil
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		a, b := r.track(in), r.track(out)
		r.group.Go(func() error { r.copy(a, b); return nil })
		r.group.Go(func() error { r.copy(b, a); return nil })
	}
}

// track registers a connection.
func (r *Proxy) track(c net.Conn) *trackedConn {
	r.mu.Lock()
	t := &trackedConn{Conn: c, blackholed: r.blackholeNew}
	r.conns[t] = true
	r.mu.Unlock()
	return t
}

// copy forwards data from src to dst until src ends, and closes both. dst stays open if
// it is blackholed: a lost connection's end is not seen at the other side.
func (r *Proxy) copy(dst, src *trackedConn) {
	_, _ = io.Copy(dst, src)
	dst.mu.Lock()
	blackholed := dst.blackholed
	dst.mu.Unlock()
	if !blackholed {
		dst.Close()
	}
	src.Close()
}
