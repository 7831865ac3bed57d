package main

import (
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
		Refresh:         time.Duration(s.Refresh),
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
	}
}

func platformCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in for the platform's table and object store",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s settings.Plain
			if err := settings.Load(path, &s); err != nil {
				return err
			}
			ctx, stop := signalContext()
			defer stop()
			return listenAndServe(ctx, newLogger("platform", s.Common), s.Listen, platformtest.New().Handler())
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func engineCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run the model engine stand-in",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s settings.Engine
			if err := settings.Load(path, &s); err != nil {
				return err
			}
			e := enginetest.New(enginetest.Config{Name: s.Name, Slots: s.Slots,
				TokenInterval: time.Duration(s.TokenInterval), WeightVersion: s.WeightVersion, ChecksFencing: s.ChecksFencing})
			ctx, stop := signalContext()
			defer stop()
			return listenAndServe(ctx, newLogger("engine", s.Common).With("name", s.Name), s.Listen, e.Handler())
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func trainerCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "trainer",
		Short: "Run the trainer stand-in",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s settings.Plain
			if err := settings.Load(path, &s); err != nil {
				return err
			}
			ctx, stop := signalContext()
			defer stop()
			return listenAndServe(ctx, newLogger("trainer", s.Common), s.Listen, new(trainertest.Server).Handler())
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

func serviceCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run the plain service stand-in",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s settings.Plain
			if err := settings.Load(path, &s); err != nil {
				return err
			}
			ctx, stop := signalContext()
			defer stop()
			return listenAndServe(ctx, newLogger("service", s.Common), s.Listen, new(servicetest.Server).Handler())
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}
