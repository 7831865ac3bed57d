package main

import (
	"errors"
	"net"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/logs"
	pkgplatform "github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/storepath"
	"github.com/zinnialadder/zinnialadder/platform"
)

// listenForPeers accepts other instances on listener, unless it is nil, and returns the store,
// which is reached by direct or through another instance. Calls through other instances are
// counted in registry, and each change of the access path is logged.
func listenForPeers(group *errgroup.Group, listener net.Listener, memoryLimit int64, direct *platform.Store, logger *log.Logger, registry metrics.Registry) (*storepath.Links, error) {
	lines := logs.NewLimiter(1)
	return storepath.Listen(storepath.LinksConfig{Listener: listener, MemoryLimit: memoryLimit, Direct: direct, Ping: direct.Ping,
		Go: func(f func() error) { group.Go(f) },
		OnChange: func(from, to storepath.AccessPath, reason string) {
			logger.Info("access path to the store changed", "from", from, "to", to, "why", reason)
		},
		OnRefused: func(err error) {
			metrics.GetOrRegisterCounter("clients.peers.closed.call", registry).Inc(1)
			if skipped, ok := lines.Allow(time.Now()); ok {
				logger.Warn("call of a peer exceeded a limit, closing its session", "err", err, "skipped", skipped)
			}
		},
		OnCall: func(path storepath.AccessPath, err error) {
			if path.Kind != storepath.ThroughPeer {
				return // counted by direct.OnCall
			}
			metrics.GetOrRegisterCounter("store.through_peer", registry).Inc(1)
			if errors.Is(err, pkgplatform.ErrUnavailable) {
				metrics.GetOrRegisterCounter("store.through_peer.failed", registry).Inc(1)
			}
		}})
}
