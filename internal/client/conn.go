package client

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/holding"
)

const (
	// lingerTimeout and lingerBytes limit how long, and how much, is read from a client after a
	// refusal was sent to it. A close with unread data resets the connection, and the reset may
	// overtake the refusal. A client that sends more keeps its connection as long, so that it
	// cannot send the next head at once.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	// retryAfter is the Retry-After time, in seconds, of requests refused for lack of memory.
	retryAfter = "0.5"
)

// phase is what a connection does. Connections with another protocol than HTTP stay in waiting.
type phase int

const (
	waiting       phase = iota // for the first byte of a request
	receivingHead              // some of a head has arrived
	receivingBody              // the head has arrived, the body has not
	serving                    // the request has arrived
	refusing                   // the request is refused
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	listener *Listener

	mu       sync.Mutex
	phase    phase
	since    time.Time // start of the phase; of receivingHead for a body; last byte received in another protocol
	silent   bool      // nothing has been received
	read     int64     // bytes of the head or the body
	lines    int64     // of the head
	hold     *holding.Hold[netip.Addr]
	deadline time.Time // of the request; zero if it is not known
	expired  bool      // the body was not received in time
	reading  bool      // the handler waits for the body, and has done nothing else yet
	answered bool      // some of the response has been written
	closed   bool      // closed to make room, or for its time limit
	writing  time.Time // start of the write in progress; zero if there is none
	refusal  string    // response that is sent before the connection is closed
}

// Read implements net.Conn. It fails with os.ErrDeadlineExceeded, to which net/http does not
// respond, if the request is refused or has exceeded its time limit.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	ended := c.expired || c.phase == refusing
	c.mu.Unlock()
	if ended {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	delay, ok := c.receive(p[:n], time.Now())
	if !ok {
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(delay)
	return n, err
}

// receive records bytes that have been received, and returns the time after which they may be
// used. It returns false if the request is refused.
func (c *conn) receive(b []byte, now time.Time) (delay time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listener.http {
		c.silent, c.since = false, now
		return 0, true
	}
	switch c.phase {
	case waiting:
		c.phase, c.since, c.silent = receivingHead, now, false
		c.read, c.lines = 0, 0
		fallthrough
	case receivingHead:
		return c.receiveHead(b, now)
	case receivingBody:
		c.read += int64(len(b))
	}
	return 0, true
}

// receiveHead is receive for bytes of a head.
func (c *conn) receiveHead(b []byte, now time.Time) (delay time.Duration, ok bool) {
	before := c.headCost()
	c.read += int64(len(b))
	c.lines += int64(bytes.Count(b, []byte{'\n'}))
	cost := c.headCost()
	if cost <= headReserve { // the limits are at least as large
		return 0, true
	}
	if limits, known := c.listener.guard.limits(now); c.read > limits.HeaderBytes+headSlack {
		status := http.StatusRequestHeaderFieldsTooLarge
		if !known { // the client may be inside limits that are not known yet
			status = http.StatusServiceUnavailable
		}
		c.refuse(status, reasonHeadSize, now)
		return 0, false
	}
	var err error
	if c.hold == nil {
		before = 0
		if c.hold, err = c.listener.guard.heads.Hold(c.remoteIP(), 0, cost, now); err == nil {
			err = c.hold.MarkSent() // memory that is in use cannot be given to another head
		}
	} else {
		c.listener.guard.heads.Advance(now)
		err = c.hold.TryGrow(cost - before)
	}
	if err == nil {
		delay, err = c.listener.guard.paceHead(cost-before, now)
	}
	switch {
	case errors.Is(err, holding.ErrTooLarge):
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, reasonHeadSize, now)
	case err != nil:
		c.refuse(http.StatusServiceUnavailable, reasonHeadMemory, now)
	}
	return delay, err == nil
}

// headCost returns an upper estimate of the memory that the head takes, in bytes.
func (c *conn) headCost() int64 { return 2*c.read + lineCost*c.lines }

func (c *conn) remoteIP() netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr()
	}
	return netip.Addr{}
}

// refuse makes Close send a response with the status.
func (c *conn) refuse(status int, reason string, now time.Time) {
	c.refusal = response(status)
	c.phase, c.since = refusing, now
	c.listener.count(reason, now)
}

// response returns the response of a request that is refused with the status.
func response(status int) string {
	header := ""
	if status == http.StatusServiceUnavailable {
		header = "Retry-After: " + retryAfter + "\r\n"
	}
	text := http.StatusText(status)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, text, header, len(text), text)
}

// beginRequest records that the head of a request has been received. It returns false if the
// connection has been closed: the request must not be served.
func (c *conn) beginRequest(now, deadline time.Time, hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == waiting { // the head was received together with the request before
		c.since = now
	}
	c.phase, c.deadline, c.read = receivingBody, deadline, 0
	c.answered = false
	if !hasBody {
		c.phase = serving
	}
	return !c.closed
}

// setReading records whether the handler waits for the body.
func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// completeRequest records that the request has been received. It returns false if the connection
// has been closed: the request must not be served.
func (c *conn) completeRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == receivingBody {
		c.phase = serving
	}
	return !c.closed
}

// endRequest records that the response has been sent and the next request is waited for.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = waiting, time.Now()
	c.hold.Release()
	c.hold = nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	defer c.setWriting(time.Time{})
	for written := 0; ; {
		c.setWriting(time.Now())
		n, err := c.Conn.Write(p[written:min(written+writeChunk, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *conn) setWriting(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.answered = at, true
}

// unproductiveSince returns since when the connection has made no progress. It returns false if
// the connection must not be closed to make room: a request that has been received completely is
// served.
func (c *conn) unproductiveSince(now time.Time) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unproductiveSinceLocked(now)
}

// unproductiveSinceLocked is unproductiveSince with c locked.
func (c *conn) unproductiveSinceLocked(now time.Time) (since time.Time, ok bool) {
	switch {
	case c.closed:
		return time.Time{}, false
	case !c.writing.IsZero() && now.Sub(c.writing) >= minWriteStall:
		return c.writing, true
	case c.phase == serving:
		return time.Time{}, false
	case c.phase == receivingBody:
		return c.since.Add(c.bodyCredit()), true
	default:
		return c.since, true
	}
}

// bodyCredit returns the time that is allowed for the part of the body that has been received.
func (c *conn) bodyCredit() time.Duration {
	return time.Duration(float64(c.read) / minBodyRate * float64(time.Second))
}

// evict closes the connection to make room. It returns false if that is no longer allowed. The
// client of a request of which a part has been received gets a response first: from a close alone
// it could not know that nothing has run.
func (c *conn) evict(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.unproductiveSinceLocked(now); !ok {
		return false
	}
	if c.phase == receivingHead || c.phase == receivingBody && c.reading && !c.answered {
		c.writeWithoutWaiting(response(http.StatusServiceUnavailable))
	}
	c.end()
	return true
}

// writeWithoutWaiting writes as much of text as the send buffer has room for. A client that does
// not read cannot delay the acceptance of other connections by it.
func (c *conn) writeWithoutWaiting(text string) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Write(func(fd uintptr) bool { // fails if the connection is closed
		_, _ = syscall.Write(int(fd), []byte(text)) // fails if the buffer is full or the client has disconnected
		return true
	})
}

// end closes the connection while its user may still use it.
func (c *conn) end() {
	c.closed = true
	_ = c.Conn.Close() // the user closes it again
}

// expire ends what has exceeded its time limit at now, and returns the reason if something has.
func (c *conn) expire(now time.Time, limits Limits) (reason string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case c.closed:
		return "", false
	case !c.writing.IsZero() && now.Sub(c.writing) > writeTimeout:
		c.end()
		return reasonUnread, true
	case c.phase == waiting && !c.silent && age > limits.IdleTimeout:
		c.end()
		return reasonIdle, true
	case (c.phase == receivingHead || c.phase == waiting && c.silent) && age > limits.HeaderTimeout:
		c.end()
		return reasonHeadTime, true
	case c.phase == receivingBody && !c.expired && (age > bodyTimeout+c.bodyCredit() || !c.deadline.IsZero() && now.After(c.deadline)):
		c.expired = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the read in progress; fails if the connection is closed
		return reasonBodyTime, true
	}
	return "", false
}

// Close implements net.Conn. It sends the refusal, if there is one.
func (c *conn) Close() error {
	c.mu.Lock()
	refusal := c.refusal
	c.refusal = ""
	c.hold.Release()
	c.hold = nil
	ended := c.closed
	c.mu.Unlock()
	if refusal != "" && !ended {
		until := time.Now().Add(lingerTimeout)
		_ = c.SetDeadline(until) // if the client has disconnected, the write fails too
		if _, err := io.WriteString(c.Conn, refusal); err == nil && c.CloseWrite() == nil {
			if _, err := io.CopyN(io.Discard, c.Conn, lingerBytes); err == nil {
				time.Sleep(time.Until(until))
			}
		}
	}
	err := c.Conn.Close()
	c.listener.remove(c)
	if ended {
		return nil // the first close has had its result
	}
	return err
}

// CloseWrite closes the sending side of the connection, as net/http does before it closes a
// connection whose client still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that the client has not acknowledged, as that of
// net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
