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

func entryConfig(s settings.Entry) entry.Config {
	return entry.Config{
		ID: s.ID, DataCentre: s.DataCentre, Listen: s.Listen, Advertise: s.Advertise, PeerListen: s.PeerListen,
		Platform:        platform.NewClient(s.Platform, nil),
		Logger:          newLogger("entry", s.Common).With("id", s.ID),
		RefreshInterval: time.Duration(s.Refresh),
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
		SlowFactor:      s.SlowFrom,
	}
}

// standIn returns the command that serves a stand-in with settings S.
func standIn[S any, P interface {
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

// plain returns the command of a stand-in with nothing but common settings.
func plain(role, short string, handler func() http.Handler) *cobra.Command {
	return standIn(role, short, func(s settings.CommonOnly) settings.Common { return s.Common },
		func(settings.CommonOnly) http.Handler { return handler() })
}

func platformCmd() *cobra.Command {
	return plain("platform", "Run the stand-in for the platform's table and object store",
		func() http.Handler { return platformtest.New().Handler() })
}

func trainerCmd() *cobra.Command {
	return plain("trainer", "Run the trainer stand-in", func() http.Handler { return new(trainertest.Server).Handler() })
}

func serviceCmd() *cobra.Command {
	return plain("service", "Run the plain service stand-in", func() http.Handler { return new(servicetest.Server).Handler() })
}

func engineCmd() *cobra.Command {
	return standIn("engine", "Run the model engine stand-in", func(s settings.Engine) settings.Common { return s.Common },
		func(s settings.Engine) http.Handler {
			return enginetest.New(enginetest.Config{Name: s.Name, Slots: s.Slots, TokenInterval: time.Duration(s.TokenInterval),
				WeightVersion: s.WeightVersion, ChecksFencing: s.ChecksFencing}).Handler()
		})
}
