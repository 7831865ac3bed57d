// Command zinnialadder runs the instances of zinnialadder, the tools for its
// operators, its soak and load tests, and the fake platform, engines, trainers
// and plain services that tests and demos use.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/settings"
)

func main() {
	if err := rootCmd().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "zinnialadder:", err)
		os.Exit(1)
	}
}

// rootCmd returns the command of the program with all its subcommands.
func rootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinnialadder",
		Short:         "A rollout service for reinforcement learning",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version(),
	}
	root.AddCommand(entryCmd(), nodeCmd(), checkCmd(), explainCmd(), soakCmd(), platformCmd(), engineCmd(), trainerCmd(), serviceCmd(), ctlCmd(), experimentCmd(), demoCmd(), loadCmd())
	return root
}

// version returns the commit that the binary was built from, or the version of the
// main module if the commit is not recorded.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// newLogger returns a logger to standard error whose lines have role as their prefix and
// the data centre as a field. An empty c.LogLevel means info.
func newLogger(role string, c settings.Common) *log.Logger {
	l := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Prefix: role})
	if lvl, err := log.ParseLevel(c.LogLevel); err == nil && c.LogLevel != "" {
		l.SetLevel(lvl)
	}
	return l.With("data_centre", c.DataCentre)
}

// shutdownTimeout limits how long a fake server waits for its requests in flight
// when it is stopped.
const shutdownTimeout = 10 * time.Second

// serve serves h on ln until ctx is done, then shuts down gracefully within
// shutdownTimeout.
func serve(ctx context.Context, ln net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return srv.Shutdown(shutdownCtx)
	})
	return g.Wait()
}

// listenAndServe calls serve on a new listener at addr, which is host:port.
func listenAndServe(ctx context.Context, logger *log.Logger, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen %s: %w", addr, err)
	}
	logger.Info("serving", "listen", ln.Addr().String())
	err = serve(ctx, ln, h)
	logger.Info("stopped")
	return err
}

// settingsFlag adds the required flag --settings to cmd.
func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "settings file (JSON with comments)")
	_ = cmd.MarkFlagRequired("settings")
}
