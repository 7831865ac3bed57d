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
	p := &Proxy{target: target, ln: ln, conns: map[*trackedConn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

// Addr returns the IP:port to connect to.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// BlackholeOpen drops all further data of the connections now open, and keeps them open.
func (p *Proxy) BlackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
}

// BlackholeAll drops all further data of open and future connections, and keeps them
// open, as a network partition does.
func (p *Proxy) BlackholeAll() {
	p.mu.Lock()
	p.blackholeNew = true
	p.mu.Unlock()
	p.BlackholeOpen()
}

// Close closes the listener and all connections, and waits for their goroutines.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	_ = p.group.Wait()
}

// accept forwards connections until the listener is closed. A connection is closed at
// once if the target does not accept one.
func (p *Proxy) accept() error {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return nil
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		a, b := p.track(in), p.track(out)
		p.group.Go(func() error { p.copy(a, b); return nil })
		p.group.Go(func() error { p.copy(b, a); return nil })
	}
}

// track registers a connection.
func (p *Proxy) track(c net.Conn) *trackedConn {
	p.mu.Lock()
	t := &trackedConn{Conn: c, blackholed: p.blackholeNew}
	p.conns[t] = true
	p.mu.Unlock()
	return t
}

// copy forwards data from src to dst until src ends, and closes both. dst stays open if
// it is blackholed: a lost connection's end is not seen at the other side.
func (p *Proxy) copy(dst, src *trackedConn) {
	_, _ = io.Copy(dst, src)
	dst.mu.Lock()
	blackholed := dst.blackholed
	dst.mu.Unlock()
	if !blackholed {
		dst.Close()
	}
	src.Close()
}
