package storepath

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// keepAlive is how often the session to a peer is probed; a session without an answer for
// as long is closed. Sessions to peers are open only while an instance cannot reach the
// store directly, so that they cost nothing otherwise.
const keepAlive = 500 * time.Millisecond

// acceptedKeepAlive is how often a session opened by a peer is probed. It may be long:
// peers detect the failure of this instance themselves, and this instance only has to
// clean up some time after the failure of a peer.
const acceptedKeepAlive = 5 * time.Second

// LinksConfig configures Links.
type LinksConfig struct {
	Listen string // IP:port to accept peers on; empty to accept none
	// Listener accepts peers instead of a listener on Listen, unless it is nil.
	Listener net.Listener
	Direct   platform.Store
	// MemoryLimit is the memory limit of the process, in bytes, as in peer.StoreServerConfig.
	MemoryLimit int64
	Ping        func(ctx context.Context) error // as in storepath.Config
	Go          func(func() error)              // as in storepath.Config

	OnCall   func(ap AccessPath, err error)           // as in storepath.Config
	OnChange func(from, to AccessPath, reason string) // as in storepath.Config
	// OnRefused is called when the session of a peer is closed because it exceeded a limit. Nil
	// to ignore it.
	OnRefused func(err error)
}

// Links gives an instance access to the store, directly or through its peers, and gives
// peers that cannot reach the store access through this instance. Call Listen, then
// Serve.
type Links struct {
	*Store
	cfg      LinksConfig
	sessions *peer.Sessions
	listener net.Listener // nil if no peers are accepted
	peers    func() []string
}

// Listen returns Links that use the direct path and listen for peers. It fails if it
// cannot listen on cfg.Listen.
func Listen(cfg LinksConfig) (*Links, error) {
	shared := &sharedPing{ping: cfg.Ping}
	cfg.Ping = shared.Ping
	l := &Links{cfg: cfg, listener: cfg.Listener, sessions: peer.NewSessions(keepAlive), peers: func() []string { return nil }}
	if l.listener == nil && cfg.Listen != "" {
		var err error
		if l.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, fmt.Errorf("listen for peers on %s: %w", cfg.Listen, err)
		}
	}
	l.Store = New(Config{Direct: cfg.Direct, Ping: cfg.Ping, Go: cfg.Go, OnCall: cfg.OnCall, OnChange: l.pathChanged,
		Peers: func() []string { return l.peers() },
		Peer:  func(address string) PeerStore { return &peer.StoreClient{Sessions: l.sessions, Address: address} }})
	l.timedPing = shared.timedPing
	return l, nil
}

// Address returns the address that peers are accepted on, empty if there is none.
func (l *Links) Address() string {
	if l.listener == nil {
		return ""
	}
	return l.listener.Addr().String()
}

// pathChanged calls OnChange and closes the sessions that the new path does not need.
func (l *Links) pathChanged(from, to AccessPath, reason string) {
	if l.cfg.OnChange != nil {
		l.cfg.OnChange(from, to, reason)
	}
	l.cfg.Go(func() error {
		l.sessions.CloseExcept(to.Peer)
		return nil
	})
}

// Serve keeps the path to the store up to date, makes calls on behalf of peers, and
// passes their watches of tables to watch, until ctx ends. peers returns the addresses of
// the peers to ping, as storepath.Config.Peers.
func (l *Links) Serve(ctx context.Context, peers func() []string, watch peer.WatchServer) {
	l.peers = peers
	l.cfg.Go(func() error { return l.Run(ctx) })
	context.AfterFunc(ctx, l.sessions.Close)
	if l.listener == nil {
		return
	}
	context.AfterFunc(ctx, func() { l.listener.Close() })
	server := peer.NewStoreServer(peer.StoreServerConfig{Store: l.cfg.Direct, Ping: l.cfg.Ping, Watch: watch, Go: l.cfg.Go, MemoryLimit: l.cfg.MemoryLimit})
	l.cfg.Go(func() error {
		return peer.Accept(ctx, l.listener, peer.AcceptConfig{KeepAlive: acceptedKeepAlive, Go: l.cfg.Go, Serve: server.Serve, OnRefused: l.cfg.OnRefused})
	})
}
