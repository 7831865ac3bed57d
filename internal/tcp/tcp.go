// Package tcp configures TCP connections that clients dial.
package tcp

import (
	"context"
	"errors"
	"net"
)

// DialFunc opens a connection, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ResetOnClose returns dial with TCP connections that are reset when they are closed, or
// when the process ends. The system then discards the data that the peer has not
// acknowledged. By default it goes on sending them after the close for as long as the
// network path is broken, so that a peer gets a request long after its sender gave it up.
// It is for clients that have no more use for a connection once they close it.
func ResetOnClose(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if c, ok := conn.(*net.TCPConn); ok {
			if err := c.SetLinger(0); err != nil {
				return nil, errors.Join(err, conn.Close())
			}
		}
		return conn, nil
	}
}
