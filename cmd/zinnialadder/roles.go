package main

import (
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/settings"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/service/servicetest"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer/trainertest"
)

// entryCmd returns the command that runs an entry instance.
func entryCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry instance",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s settings.Entry
			if err := settings.Load(path, &s); err != nil {
				return err
			}
			in, err := entry.New(entryConfig(s))
			if err != nil {
				return err
			}
			ctx, stop := signalContext()
			defer stop()
			return in.Run(ctx)
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

// entryConfig returns the configuration of the entry instance with settings s.
func entryConfig(s settings.Entry) entry.Config {
	return entry.Config{
		ID: s.ID, DataCentre: s.DataCentre, Listen: s.Listen, Advertise: s.Advertise, PeerListen: s.PeerListen,
		Platform:        platform.NewClient(s.Platform, nil),
		Logger:          newLogger("entry", s.Common).With("id", s.ID),
		RefreshInterval: time.Duration(s.RefreshInterval),
		LeaseTTL:        time.Duration(s.LeaseTTL),
		UpstreamTimeout: time.Duration(s.UpstreamTimeout),
		RouteTTL:        time.Duration(s.RouteTTL),
		PeerAdvertise:   s.PeerAdvertise,
		PeerKeepAlive:   time.Duration(s.PeerKeepAlive),
		IdleTimeout:     time.Duration(s.IdleTimeout),
		MaxInFlight:     s.MaxInFlight,
		RolloutLeaseTTL: time.Duration(s.RolloutLeaseTTL),
		OrderTimeout:    time.Duration(s.OrderTimeout),
		ReportLag:       time.Duration(s.ReportLag),
		ShardGroups:     s.ShardGroups,
		ShardLeaseTTL:   time.Duration(s.ShardLeaseTTL),
		StepRetention:   time.Duration(s.StepRetention),
		StepPolicy:      step.Policy{HedgeFactor: s.HedgeFactor},
		SlowFactor:      s.SlowFactor,
	}
}

// fakeCmd returns the command role, which runs a fake server with settings S until it is
// signalled to stop. common returns the common fields of the settings.
func fakeCmd[S any, P interface {
	*S
	settings.Checker
}](role, short string, common func(S) settings.Common, handler func(S) http.Handler) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   role,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s S
			if err := settings.Load(path, P(&s)); err != nil {
				return err
			}
			ctx, stop := signalContext()
			defer stop()
			c := common(s)
			return listenAndServe(ctx, newLogger(role, c), c.Listen, handler(s))
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

// commonFakeCmd returns the command role, which runs a fake server whose settings are
// the common fields only.
func commonFakeCmd(role, short string, handler func() http.Handler) *cobra.Command {
	return fakeCmd(role, short, func(s settings.CommonOnly) settings.Common { return s.Common },
		func(settings.CommonOnly) http.Handler { return handler() })
}

func platformCmd() *cobra.Command {
	return commonFakeCmd("platform", "Run the fake of the platform's table and object store",
		func() http.Handler { return platformtest.New().Handler() })
}

func trainerCmd() *cobra.Command {
	return commonFakeCmd("trainer", "Run the fake trainer", func() http.Handler { return new(trainertest.Server).Handler() })
}

func serviceCmd() *cobra.Command {
	return commonFakeCmd("service", "Run the fake plain service", func() http.Handler { return new(servicetest.Server).Handler() })
}

func engineCmd() *cobra.Command {
	return fakeCmd("engine", "Run the fake model engine", func(s settings.Engine) settings.Common { return s.Common },
		func(s settings.Engine) http.Handler {
			return enginetest.New(enginetest.Config{Slots: s.Slots, TokenInterval: time.Duration(s.TokenInterval),
				WeightVersion: s.WeightVersion, ChecksFencing: s.ChecksFencing}).Handler()
		})
}
