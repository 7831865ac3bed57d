package tcp_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/tcp"
	"github.com/zinnialadder/zinnialadder/internal/tcp/tcptest"
)

// Guards against data that the system delivers after the close of its connection.
func TestDataOfAClosedConnectionIsDiscarded(t *testing.T) {
	const sent = 64 << 10 // more than the server's system accepts before the server reads
	server := tcptest.Listen(t)
	conn, err := tcp.ResetOnClose(new(net.Dialer).DialContext)(context.Background(), "tcp", server.Address)
	if err != nil {
		t.Fatal(err)
	}
	peer := server.Accept(t)
	if _, err := conn.Write(make([]byte, sent)); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	n, err := tcptest.ReadRest(peer)
	if !errors.Is(err, syscall.ECONNRESET) || n >= sent {
		t.Errorf("the peer read %d of %d bytes, error %v, want fewer and a reset", n, sent, err)
	}
}
