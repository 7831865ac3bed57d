package main

import (
	"errors"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	pkgplatform "github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/storepath"
	"github.com/zinnialadder/zinnialadder/platform"
)

// listenForPeers returns a node's store, by whatever way reaches it, with its
// counters and its line for each change of the way.
func listenForPeers(group *errgroup.Group, address string, direct *platform.Store, logger *log.Logger, registry metrics.Registry) (*storepath.Links, error) {
	return storepath.Listen(storepath.LinksConfig{Listen: address, Direct: direct, Ping: direct.Ping,
		Go: func(f func() error) { group.Go(f) },
		OnChange: func(from, to storepath.AccessPath, why string) {
			logger.Info("way to the store", "from", from, "to", to, "why", why)
		},
		OnCall: func(w storepath.AccessPath, err error) {
			if w.Kind != storepath.ThroughPeer {
				return // the store's own client counts it
			}
			metrics.GetOrRegisterCounter("store.through_peer", registry).Inc(1)
			if errors.Is(err, pkgplatform.ErrUnavailable) {
				metrics.GetOrRegisterCounter("store.through_peer.failed", registry).Inc(1)
			}
		}})
}
