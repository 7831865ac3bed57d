package main

import (
	"syscall"

	"github.com/zinnialadder/zinnialadder/internal/client"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/platform"
)

// connectionMemoryKB is the memory, in KiB, for each connection of a caller: its goroutine and
// buffers, and what a request and its response may hold whatever others hold.
const connectionMemoryKB = 192

// connections are the largest numbers of connections at the addresses of an instance.
type connections struct{ front, peers, directory, ready, metrics int }

// connectionLimits returns the limits of a process with the given limits on its sockets and its
// memory. A fourth of the sockets is left for connections to the store, upstreams and peers.
func connectionLimits(sockets, memoryMB int) connections {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur > 0 && limit.Cur < 1<<31 {
		sockets = min(sockets, platform.SocketsOf(int(limit.Cur)))
	}
	share := func(numerator, denominator int) int { return max(sockets*numerator/denominator, 1) }
	return connections{
		front:     min(share(3, 8), max(memoryMB<<10/connectionMemoryKB, 1)),
		peers:     share(1, 4),
		directory: share(1, 16),
		ready:     share(1, 32),
		metrics:   share(1, 32),
	}
}

// requestLimits returns the operator's limits on requests, or nothing if n has no configuration.
func requestLimits(n *node.Node) option.Of[client.Limits] {
	if !n.Configured() {
		return option.Of[client.Limits]{}
	}
	l := n.Limits()
	return option.Some(client.Limits{HeaderBytes: l.HeaderBytes, HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout})
}
