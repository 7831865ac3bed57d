// Package relay is a TCP relay for tests that can lose track of the
// connections it carries: they stay open and carry nothing more, while new
// ones work, as a middlebox that forgot them leaves them.
package relay

import (
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Proxy forwards connections made to Addr to a target. Call Start.
type Proxy struct {
	target string
	ln     net.Listener
	group  errgroup.Group

	mu    sync.Mutex
	conns map[*tracked]bool
	cut   bool // connections to come carry nothing either
}

// tracked is one connection of either side.
type tracked struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

// Write drops what is written once the connection is silent.
func (t *tracked) Write(b []byte) (int, error) {
	t.mu.Lock()
	silent := t.silent
	t.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return t.Conn.Write(b)
}

// Start returns a Relay to target, listening on a loopback port.
func Start(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Proxy{target: target, ln: ln, conns: map[*tracked]bool{}}
	r.group.Go(r.accept)
	return r, nil
}

// Addr returns the address to connect to.
func (r *Proxy) Addr() string { return r.ln.Addr().String() }

// BlackholeOpen makes every connection now open carry nothing more, and stay open.
func (r *Proxy) BlackholeOpen() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// BlackholeAll is Silence, and makes every connection to come carry nothing either, as
// between networks that have lost each other.
func (r *Proxy) BlackholeAll() {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.BlackholeOpen()
}

// Close closes the listener and every connection, and waits for them.
func (r *Proxy) Close() {
	r.ln.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	_ = r.group.Wait()
}

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

func (r *Proxy) track(c net.Conn) *tracked {
	r.mu.Lock()
	t := &tracked{Conn: c, silent: r.cut}
	r.conns[t] = true
	r.mu.Unlock()
	return t
}

// copy forwards from src to dst until src ends. A silent connection's end is
// not told to the other side either.
func (r *Proxy) copy(dst, src *tracked) {
	_, _ = io.Copy(dst, src)
	dst.mu.Lock()
	silent := dst.silent
	dst.mu.Unlock()
	if !silent {
		dst.Close()
	}
	src.Close()
}
