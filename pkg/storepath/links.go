package storepath

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// keepAlive is how often a session with a peer is probed; one that does not answer
// for as long is closed. Sessions are open while an instance is cut off from the
// store only, so that they cost nothing otherwise.
const keepAlive = 500 * time.Millisecond

// acceptedKeepAlive is how often a session that a peer has opened is probed: peers find
// out themselves that this instance is gone, and one that has gone is to be noticed only
// some time.
const acceptedKeepAlive = 5 * time.Second

// LinksConfig configures Links.
type LinksConfig struct {
	Listen string // IP:port where peers connect; empty for nowhere
	Direct platform.Store
	Ping   func(ctx context.Context) error // as in Config
	Go     func(func() error)              // as in Config

	OnCall   func(w AccessPath, err error)         // as in Config
	OnChange func(from, to AccessPath, why string) // as in Config
}

// Links are an instance's store, by whatever way reaches it, over links to its
// peers, and what it does for those that cannot reach theirs. Call Listen, then
// Serve.
type Links struct {
	*Store
	cfg      LinksConfig
	sessions *peer.Sessions
	listener net.Listener // nil for nowhere
	peers    func() []string
}

// Listen returns Links that take the direct way and listen for peers.
func Listen(cfg LinksConfig) (*Links, error) {
	cfg.Ping = (&sharedPing{ping: cfg.Ping}).Ping
	l := &Links{cfg: cfg, sessions: peer.NewSessions(keepAlive), peers: func() []string { return nil }}
	if cfg.Listen != "" {
		var err error
		if l.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, fmt.Errorf("listen %s: %w", cfg.Listen, err)
		}
	}
	l.Store = New(Config{Direct: cfg.Direct, Ping: cfg.Ping, Go: cfg.Go, OnCall: cfg.OnCall, OnChange: l.changed,
		Peers: func() []string { return l.peers() },
		Peer:  func(address string) PeerStore { return &peer.StoreClient{Sessions: l.sessions, Address: address} }})
	return l, nil
}

// Address returns where peers connect, empty for nowhere.
func (l *Links) Address() string {
	if l.listener == nil {
		return ""
	}
	return l.listener.Addr().String()
}

// changed tells of another way, and closes the sessions that are not needed by it.
func (l *Links) changed(from, to AccessPath, why string) {
	if l.cfg.OnChange != nil {
		l.cfg.OnChange(from, to, why)
	}
	l.cfg.Go(func() error {
		l.sessions.CloseExcept(to.Peer)
		return nil
	})
}

// Serve looks after the way to the store, makes calls for peers and has watch answer
// those who watch tables, until ctx ends. peers returns the addresses of the peers to
// ask, as in Config.
func (l *Links) Serve(ctx context.Context, peers func() []string, watch peer.WatchServer) {
	l.peers = peers
	l.cfg.Go(func() error { return l.Run(ctx) })
	context.AfterFunc(ctx, l.sessions.Close)
	if l.listener == nil {
		return
	}
	context.AfterFunc(ctx, func() { l.listener.Close() })
	server := peer.NewStoreServer(l.cfg.Direct, l.cfg.Ping, watch, l.cfg.Go)
	l.cfg.Go(func() error { return peer.Accept(ctx, l.listener, acceptedKeepAlive, l.cfg.Go, server.Serve) })
}
