// Package tcptest provides a TCP server that reads nothing for a time, as a peer behind a
// broken network path.
package tcptest

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// receiveBuffer is the size of the receive buffer of a SilentServer's connections, in bytes. What
// exceeds it stays with the sender's system until the server reads.
const receiveBuffer = 4 << 10

// acceptTimeout bounds the wait for a connection.
const acceptTimeout = 5 * time.Second

// SilentServer accepts connections and reads from them only when it is told to.
type SilentServer struct {
	Address  string
	listener *net.TCPListener
}

// Listen starts a SilentServer, which is closed at the end of the test.
func Listen(t testing.TB) *SilentServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	tl := ln.(*net.TCPListener)
	raw, err := tl.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // inherited by connections
	}); cerr != nil || err != nil {
		t.Fatal(cerr, err)
	}
	return &SilentServer{Address: ln.Addr().String(), listener: tl}
}

// Accept returns the next connection, of which nothing has been read.
func (s *SilentServer) Accept(t testing.TB) net.Conn {
	t.Helper()
	if err := s.listener.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// ReadRest reads all that arrives on conn until it ends. The error is nil if the peer has
// closed it in an orderly way, after which its system delivers what it had sent.
func ReadRest(conn net.Conn) (int64, error) {
	_ = conn.SetReadDeadline(time.Now().Add(acceptTimeout)) // fails if the connection has ended
	return io.Copy(io.Discard, conn)
}
