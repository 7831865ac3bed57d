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

	"github.com/zinnialadder/zinnialadder/internal/exposition"
	"github.com/zinnialadder/zinnialadder/internal/logs"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	pkgplatform "github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
	"github.com/zinnialadder/zinnialadder/platform"
)

const (
	// shutdownShare is the part of the grace that is left for requests under
	// way when a node has drained.
	shutdownShare = 8
	// memoryShare is the part of its memory limit from which on a node
	// collects garbage harder.
	memoryShare = 0.6
)

func nodeCmd() *cobra.Command {
	var path, level string
	var metricsPort int
	var profile bool
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run an instance on the users' platform",
		Long: "Run an instance on the users' platform. Its settings file is the platform's; its path is\n" +
			"taken from --settings or from the environment variable " + platform.SettingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = os.Getenv(platform.SettingsVariable)
			}
			if path == "" {
				return fmt.Errorf("no settings: give --settings or set %s", platform.SettingsVariable)
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
				return errors.New("--profile: there is no address for metrics: give --metrics-port")
			}
			return runNode(ctx, path, s, nodeOptions{metricsPort: metricsPort, profile: profile, level: logLevel})
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "the platform's settings file")
	cmd.Flags().StringVar(&level, "log-level", "info", "least level of lines that are logged: debug, info, warn or error")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port of the machine's address on which /metrics is served; 0 for the control address, if there is one")
	cmd.Flags().BoolVar(&profile, "profile", false, "serve profiles of the process beside the metrics, under /debug/pprof/")
	return cmd
}

// nodeOptions are what the command line tells a node.
type nodeOptions struct {
	metricsPort int  // 0 for the control address
	profile     bool // serve profiles beside the metrics
	level       log.Level
}

// runNode runs a node and the servers of its interfaces until ctx ends and it
// has drained.
func runNode(ctx context.Context, path string, s platform.Settings, opts nodeOptions) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	out := logs.NewWriter(os.Stdout)
	defer out.Close()
	logger := log.NewWithOptions(out, log.Options{ReportTimestamp: true, TimeFormat: "15:04:05.000", Formatter: log.LogfmtFormatter, Level: opts.level}).With("node", s.Node)
	stdlog.SetOutput(out) // what libraries log; it must not block either
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
	links, err := listenForPeers(&group, s.PeerAddress, store, logger, registry)
	if err != nil {
		return err
	}
	var cloud node.CloudProvider
	if s.CloudAddress != "" {
		cloud = platform.NewCloud(s.CloudAddress)
	}
	n := node.New(node.Config{
		Name: s.Node, DataCentre: s.DataCentre, Address: s.FrontAddress, PeerAddress: s.PeerAddress, Cores: s.Cores, Store: links, StoreReachability: links, Dial: watch.DialPeer, Upstreams: platform.NewUpstreamClient(),
		Decoder: platform.Decoder(), Logger: logger, Metrics: registry, MaxRowBytes: s.MaxRowBytes, MinHolderInterval: s.MinHolderInterval, SubmissionRetention: s.SubmissionRetention, ShutdownGrace: s.ShutdownGrace,
		CloudProvider: cloud, UsageSchedule: usage.Schedule{Length: s.UsageWindow, ReportDelay: s.UsageReportDelay},
	})
	callers := platform.NewCallerAPI(n)
	var servers []*http.Server
	for _, part := range []struct {
		address string
		handler http.Handler
	}{{s.FrontAddress, callers.FrontHandler()}, {s.ReadyAddress, callers.ReadyHandler()}, {s.DirectoryAddress, callers.AddressHandler()}, {metricsAddress(s, opts.metricsPort), metricsHandler(registry, opts.profile)}} {
		if part.address == "" {
			continue
		}
		srv, err := startServer(&group, part.address, part.handler)
		if err != nil {
			return err
		}
		servers = append(servers, srv)
	}
	rctx, stopReloading := context.WithCancel(context.Background())
	defer stopReloading()
	group.Go(func() error { return reload(rctx, logger, path, store) })
	links.Serve(rctx, n.Peers, n)
	err = n.Run(ctx)
	stopReloading()
	sctx, cancel := context.WithTimeout(context.Background(), s.ShutdownGrace/shutdownShare)
	defer cancel()
	for _, srv := range servers {
		err = errors.Join(err, srv.Shutdown(sctx))
	}
	tctx, cancelTelling := context.WithTimeout(context.Background(), s.ShutdownGrace/shutdownShare)
	defer cancelTelling()
	n.FlushUsage(tctx)
	return errors.Join(err, group.Wait())
}

// metricsAddress returns where metrics are served, empty for nowhere.
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

// metricsHandler serves the metrics in r and, if profile is set, profiles of the
// process, from which an engineer sees where its processor time and memory go.
func metricsHandler(r metrics.Registry, profile bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposition.Handler(r, "zinnia"))
	if profile {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// startServer serves h at address in group.
func startServer(group *errgroup.Group, address string, h http.Handler) (*http.Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", address, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	group.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return srv, nil
}

// reloadPeriod is how often the settings file is read: it may change without
// a signal.
const reloadPeriod = time.Second

// reload takes up changes of the settings file until ctx ends. Of what a
// running process can change, that is where the store is; the rest is logged.
func reload(ctx context.Context, logger *log.Logger, path string, store *platform.Store) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	before, _ := os.ReadFile(path) // read and checked at start
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			logger.Info("signal to reload", "settings", path)
		case <-ticker.C:
		}
		now, err := os.ReadFile(path)
		if err != nil {
			logger.Warn("settings not read, the ones in force stay", "err", err)
			continue
		}
		if bytes.Equal(now, before) {
			continue
		}
		before = now
		s, err := platform.ParseSettings(bytes.NewReader(now))
		if err != nil {
			logger.Error("settings not taken, the ones in force stay", "err", err)
			continue
		}
		store.SetAddress(s.StoreAddress)
		logger.Info("settings reloaded", "store", s.StoreAddress, "bytes", len(now))
	}
}

const (
	// headerTimeout bounds how long a caller may take to send a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept: longer than
	// callers keep theirs, so that none is closed as a request is on its way.
	idleTimeout = 2 * time.Minute
)
