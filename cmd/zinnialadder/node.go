package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/client"
	"github.com/zinnialadder/zinnialadder/internal/exposition"
	"github.com/zinnialadder/zinnialadder/internal/logs"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/option"
	pkgplatform "github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
	"github.com/zinnialadder/zinnialadder/platform"
)

const (
	// shutdownDivisor gives the time that a drained instance waits for requests in
	// flight, and then for its usage counts to be written: the shutdown grace divided
	// by it, for each of the two.
	shutdownDivisor = 8
	// memoryFraction is the fraction of the instance's memory limit that is set as
	// the soft memory limit of the Go runtime, which collects garbage more often
	// near it.
	memoryFraction = 0.6
)

func nodeCmd() *cobra.Command {
	var path, level string
	var metricsPort int
	var profile bool
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run an instance on the users' platform",
		Long: "Run an instance on the users' platform. It reads the platform's settings file, whose path is\n" +
			"taken from --settings or from the environment variable " + platform.SettingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return fmt.Errorf("no settings file: give --settings or set %s", platform.SettingsVariable)
			}
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			logLevel, err := log.ParseLevel(level)
			if err != nil {
				return fmt.Errorf("--log-level: %w", err)
			}
			ctx, stop := signalContext()
			defer stop()
			if profile && metricsAddress(s, metricsPort) == "" {
				return errors.New("--profile: no address serves metrics: give --metrics-port")
			}
			return runNode(ctx, path, s, nodeOptions{metricsPort: metricsPort, profile: profile, level: logLevel})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "the platform's settings file")
	cmd.Flags().StringVar(&level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port of the instance's address that serves /metrics; 0 for the control address, if there is one")
	cmd.Flags().BoolVar(&profile, "profile", false, "serve profiles of the process at the address of the metrics, under /debug/pprof/")
	return cmd
}

// nodeOptions holds the command-line options of the node command other than the path
// of the settings file.
type nodeOptions struct {
	metricsPort int  // 0 for the control address
	profile     bool // serve profiles at the address of the metrics
	level       log.Level
}

// runNode runs an instance and its HTTP servers until ctx is done and the instance
// has drained. path is the settings file that s was read from.
func runNode(ctx context.Context, path string, s platform.Settings, opts nodeOptions) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(s.MemoryMB) * (1 << 20)))
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	logger := log.NewWithOptions(out, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter, Level: opts.level}).With("node", s.Node)
	stdlog.SetOutput(out) // libraries log through it, and must not block on the output
	registry := metrics.NewRegistry()
	store := platform.NewStore(s.StoreAddress)
	store.OnCall = func(call string, took time.Duration, err error) {
		metrics.GetOrRegisterTimer("store."+call, registry).Update(took)
		if err != nil && !errors.Is(err, pkgplatform.ErrNotFound) {
			metrics.GetOrRegisterCounter("store."+call+".failed", registry).Inc(1)
		}
	}
	metrics.NewRegisteredFunctionalGauge("log.lines.dropped", registry, out.Dropped)
	var group errgroup.Group
	var n *node.Node // is set before any connection is accepted
	guard := client.NewGuard(client.GuardConfig{MemoryLimit: int64(s.MemoryMB) << 20, Metrics: registry, Logger: logger, Limits: func() option.Of[client.Limits] { return requestLimits(n) }})
	most := connectionLimits(s.MaxSockets, s.MemoryMB)
	var peers net.Listener // a nil interface if there is no address
	if s.PeerAddress != "" {
		ln, err := guard.Listen(client.ListenerConfig{Name: "peers", Address: s.PeerAddress, MaxConnections: most.peers})
		if err != nil {
			return err
		}
		peers = ln
	}
	links, err := listenForPeers(&group, peers, int64(s.MemoryMB)<<20, store, logger, registry)
	if err != nil {
		return err
	}
	var cloud node.CloudProvider
	if s.CloudAddress != "" {
		cloud = platform.NewCloud(s.CloudAddress)
	}
	upstreams := platform.NewUpstreamClient(platform.UpstreamClientConfig{Metrics: registry})
	if s.MemoryLimited {
		upstreams.Held = platform.NewHeldData(platform.HeldDataConfig{MemoryLimit: int64(s.MemoryMB) << 20, Metrics: registry, Logger: logger})
	}
	n = node.New(node.Config{
		Name: s.Node, DataCentre: s.DataCentre, Address: s.FrontAddress, PeerAddress: s.PeerAddress, Cores: s.Cores, Store: links, ObjectLister: store, StoreReachability: links, Dial: watch.DialPeer, Upstreams: upstreams,
		Decoder: platform.Decoder(), Logger: logger, Metrics: registry, MaxRowBytes: s.MaxRowBytes, MinHolderInterval: s.MinHolderInterval, HeartbeatInterval: s.HeartbeatInterval, SubmissionRetention: s.SubmissionRetention, ShutdownGrace: s.ShutdownGrace,
		CloudProvider: cloud, UsageSchedule: usage.Schedule{Length: s.UsageWindow, ReportDelay: s.UsageReportDelay}, Contended: s.Contended,
	})
	callers := platform.NewCallerAPI(platform.CallerConfig{Instance: n, MaxAddressTTL: option.Some(s.MaxAddressTTL), HeldData: upstreams.Held})
	var servers []*http.Server
	for _, endpoint := range []struct {
		client.ListenerConfig
		handler http.Handler
	}{
		{client.ListenerConfig{Name: "front", Address: s.FrontAddress, MaxConnections: most.front, RequestDeadline: platform.CallerDeadline}, callers.FrontHandler()},
		{client.ListenerConfig{Name: "ready", Address: s.ReadyAddress, MaxConnections: most.ready}, callers.ReadyHandler()},
		{client.ListenerConfig{Name: "directory", Address: s.DirectoryAddress, MaxConnections: most.directory}, callers.AddressHandler()},
		{client.ListenerConfig{Name: "metrics", Address: metricsAddress(s, opts.metricsPort), MaxConnections: most.metrics}, metricsHandler(registry, opts.profile)},
	} {
		if endpoint.Address == "" {
			continue
		}
		srv, err := startServer(&group, guard, endpoint.ListenerConfig, endpoint.handler)
		if err != nil {
			return err
		}
		servers = append(servers, srv)
	}
	reloadCtx, stopReloading := context.WithCancel(context.Background())
	defer stopReloading()
	group.Go(func() error { return reload(reloadCtx, logger, path, store) })
	group.Go(func() error { return guard.Run(reloadCtx) })
	links.Serve(reloadCtx, n.Peers, n)
	err = n.Run(ctx)
	stopReloading()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.ShutdownGrace/shutdownDivisor)
	defer cancel()
	for _, srv := range servers {
		err = errors.Join(err, srv.Shutdown(shutdownCtx))
	}
	flushCtx, cancelFlush := context.WithTimeout(context.Background(), s.ShutdownGrace/shutdownDivisor)
	defer cancelFlush()
	n.FlushUsage(flushCtx)
	return errors.Join(err, group.Wait())
}

// metricsAddress returns the host:port that serves metrics, or "" if there is none: the
// control address if port is 0, otherwise port on the host that callers connect to.
func metricsAddress(s platform.Settings, port int) string {
	if port == 0 {
		return s.ControlAddress
	}
	host, _, err := net.SplitHostPort(s.FrontAddress)
	if err != nil {
		return s.ControlAddress
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// metricsHandler returns a handler that serves the metrics in r under /metrics and, if
// profile is set, the pprof profiles of the process, such as its use of CPU time and
// memory, under /debug/pprof/.
func metricsHandler(r metrics.Registry, profile bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposition.Handler(r, "zinnia"))
	if profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// startServer listens as cfg says and serves h in a goroutine of group until the returned server
// is shut down.
func startServer(group *errgroup.Group, guard *client.Guard, cfg client.ListenerConfig, h http.Handler) (*http.Server, error) {
	ln, err := guard.Listen(cfg)
	if err != nil {
		return nil, err
	}
	srv := ln.Server(h)
	group.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return srv, nil
}

// reloadPeriod is how often the settings file is read, since it may change without a
// SIGHUP being sent.
const reloadPeriod = time.Second

// reload applies changes of the settings file at path until ctx is done, on SIGHUP and
// every reloadPeriod. Only the address of the store changes in a running process; each
// change of the file is logged. A file that cannot be read or is invalid is logged and
// changes nothing.
func reload(ctx context.Context, logger *log.Logger, path string, store *platform.Store) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	before, _ := os.ReadFile(path) // was read and checked at start
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			logger.Info("SIGHUP received, reading the settings file", "settings", path)
		case <-ticker.C:
		}
		now, err := os.ReadFile(path)
		if err != nil {
			logger.Warn("settings file not readable, the settings in force are kept", "err", err)
			continue
		}
		if bytes.Equal(now, before) {
			continue
		}
		before = now
		s, err := platform.ParseSettings(bytes.NewReader(now))
		if err != nil {
			logger.Error("settings file invalid, the settings in force are kept", "err", err)
			continue
		}
		store.SetAddress(s.StoreAddress)
		logger.Info("settings reloaded", "store", s.StoreAddress, "bytes", len(now))
	}
}
