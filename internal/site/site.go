// Package site runs a whole site in one process on loopback, for the demo and for
// tests: fakes of the platform, engines, services and a trainer, and entry instances.
// Real deployments run each as a process of its own.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/crashtest"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/service/servicetest"
	"github.com/zinnialadder/zinnialadder/pkg/trainer/trainertest"
)

// Config is the configuration of a Site.
type Config struct {
	Engines          int
	Engine           enginetest.Config // applied to every engine
	Services         int               // number of plain services; at least 1
	Entries          int
	Entry            entry.Config // for every instance, except the fields that StartEntryWith sets
	Logger           *log.Logger  // discards if nil
	Clock            clock.Clock  // of the entry instances
	DisablePeerLinks bool         // instances have no peer listener
	// Poison makes engines and services crash on the requests that it matches, and
	// restart after RestartAfter, or never if that is 0; nil for none.
	Poison       *crashtest.Poison
	RestartAfter time.Duration
}

// Site is a running site. Call Close to stop it.
type Site struct {
	Platform     *platformtest.Server
	PlatformURL  string
	Engines      []*enginetest.Server
	EngineAddrs  []string
	Trainer      *trainertest.Server
	TrainerAddr  string
	Services     []*servicetest.Server
	ServiceAddrs []string
	Entries      []*entry.Instance

	cancel      context.CancelFunc
	engines     []*crashtest.Server
	services    []*crashtest.Server
	entryCancel []context.CancelFunc
	entryDone   []chan struct{}
	group       *errgroup.Group
	cfg         Config
}

// Start starts a site. It does not wait for the entry instances to read the catalogue.
// Errors are those of listening and of entry.New.
func Start(cfg Config) (*Site, error) {
	if cfg.Logger == nil {
		cfg.Logger = log.New(io.Discard)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, gctx := errgroup.WithContext(ctx)
	s := &Site{cancel: cancel, group: g, cfg: cfg, Platform: platformtest.New(),
		Trainer: new(trainertest.Server)}
	var err error
	if s.PlatformURL, err = s.serve(gctx, s.Platform.Handler()); err != nil {
		return nil, err
	}
	s.PlatformURL = "http://" + s.PlatformURL
	if s.TrainerAddr, err = s.serve(gctx, s.Trainer.Handler()); err != nil {
		return nil, err
	}
	for range max(1, cfg.Services) {
		svc := new(servicetest.Server)
		up, err := s.serveUpstream(gctx, svc.Handler())
		if err != nil {
			return nil, err
		}
		s.Services, s.ServiceAddrs, s.services = append(s.Services, svc), append(s.ServiceAddrs, up.Address()), append(s.services, up)
	}
	for i := 0; i < cfg.Engines; i++ {
		ec := cfg.Engine
		eng := enginetest.New(ec)
		up, err := s.serveUpstream(gctx, eng.Handler())
		if err != nil {
			return nil, err
		}
		s.Engines, s.EngineAddrs, s.engines = append(s.Engines, eng), append(s.EngineAddrs, up.Address()), append(s.engines, up)
	}
	for i := 0; i < cfg.Entries; i++ {
		if err := s.StartEntry(fmt.Sprintf("entry-%d", i)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// StartEntry starts an entry instance with an ID. Errors are those of listening and of
// entry.New.
func (s *Site) StartEntry(id string) error { return s.StartEntryWith(id, func(*entry.Config) {}) }

// StartEntryWith is StartEntry with a configuration that adjust has changed.
func (s *Site) StartEntryWith(id string, adjust func(*entry.Config)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	pln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ec := s.cfg.Entry
	ec.ID, ec.Listener, ec.PeerListener, ec.DataCentre = id, ln, pln, "loopback"
	ec.Platform = platform.NewClient(s.PlatformURL, nil)
	ec.Logger = s.cfg.Logger.With("id", id)
	ec.Clock = s.cfg.Clock
	if s.cfg.DisablePeerLinks {
		pln.Close()
		ec.PeerListener = nil
	}
	adjust(&ec)
	in, err := entry.New(ec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.Entries, s.entryCancel = append(s.Entries, in), append(s.entryCancel, cancel)
	done := make(chan struct{})
	s.entryDone = append(s.entryDone, done)
	s.group.Go(func() error {
		defer close(done)
		return in.Run(ctx)
	})
	return nil
}

// StopEntry starts the graceful shutdown of entry instance i.
func (s *Site) StopEntry(i int) { s.entryCancel[i]() }

// EntryDone returns a channel that is closed when entry instance i has shut down.
func (s *Site) EntryDone(i int) <-chan struct{} { return s.entryDone[i] }

// CrashEngine closes engine i's listener and connections until it restarts.
func (s *Site) CrashEngine(i int) { s.engines[i].Crash() }

// CrashService closes service i's listener and connections until it restarts.
func (s *Site) CrashService(i int) { s.services[i].Crash() }

// Crashes returns the times at which engines and services crashed, in order.
func (s *Site) Crashes() []time.Time {
	var out []time.Time
	for _, up := range slices.Concat(s.engines, s.services) {
		out = append(out, up.CrashTimes()...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// Executions returns the number of executions by idempotency key, over all services.
func (s *Site) Executions() map[string]int {
	out := map[string]int{}
	for _, svc := range s.Services {
		for k, n := range svc.Executions() {
			out[k] += n
		}
	}
	return out
}

// Apply stores f in the catalogue and waits up to 10 s until every entry instance has
// applied it. Errors are those of catalogue.Sync and WaitApplied.
func (s *Site) Apply(f catalogue.File) error {
	c := platform.NewClient(s.PlatformURL, nil)
	out, err := catalogue.Sync(context.Background(), c, f, "site", time.Now())
	if err != nil {
		return err
	}
	return s.WaitApplied(out, 10*time.Second)
}

// WaitApplied waits until every entry instance, including those that have shut down,
// has applied the row versions in out. It returns an error if that takes longer than
// within.
func (s *Site) WaitApplied(out []catalogue.SyncResult, within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, in := range s.Entries {
		for !applied(in.View(), out) {
			if time.Now().After(deadline) {
				return errors.New("site: catalogue not applied by all entry instances in time")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// applied reports whether v has the row versions in out.
func applied(v *entry.View, out []catalogue.SyncResult) bool {
	for _, res := range out {
		if v.RowVersions[res.Key] < res.Version {
			return false
		}
	}
	return true
}

// Close stops all servers and entry instances of the site, and waits for them.
func (s *Site) Close() {
	for _, c := range s.entryCancel {
		c()
	}
	s.cancel()
	_ = s.group.Wait()
}

// serve serves h on loopback until ctx ends, and returns its address.
func (s *Site) serve(ctx context.Context, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s.group.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	s.group.Go(func() error {
		<-ctx.Done()
		srv.Close()
		return nil
	})
	return ln.Addr().String(), nil
}

// serveUpstream serves an engine or a service, which may crash and restart, until ctx
// ends.
func (s *Site) serveUpstream(ctx context.Context, h http.Handler) (*crashtest.Server, error) {
	var up *crashtest.Server
	var ready sync.WaitGroup
	ready.Add(1)
	if s.cfg.Poison != nil {
		h = s.cfg.Poison.Handler(h, func() *crashtest.Server { ready.Wait(); return up })
	}
	up, err := crashtest.Serve(crashtest.Config{Handler: h, RestartDelay: func() time.Duration { return s.cfg.RestartAfter }})
	ready.Done()
	if err != nil {
		return nil, err
	}
	s.group.Go(func() error {
		<-ctx.Done()
		up.Close()
		return nil
	})
	return up, nil
}

// EnginePool returns a pool of all the site's engines in state catalogue.Live.
func (s *Site) EnginePool(name string) catalogue.Pool {
	return catalogue.Pool{Name: name, Kind: catalogue.Engines, Upstreams: live(s.EngineAddrs)}
}

// ServicePool returns a pool of all the site's services in state catalogue.Live.
func (s *Site) ServicePool(name string) catalogue.Pool {
	return catalogue.Pool{Name: name, Kind: catalogue.Services, Upstreams: live(s.ServiceAddrs)}
}

// live returns upstreams at addrs in state catalogue.Live.
func live(addrs []string) []catalogue.Upstream {
	var out []catalogue.Upstream
	for _, a := range addrs {
		out = append(out, catalogue.Upstream{Address: a, DataCentre: "loopback", State: catalogue.Live})
	}
	return out
}
