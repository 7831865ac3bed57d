package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/platform/soak"
)

// soakCmd returns the command that runs soak tests.
func soakCmd() *cobra.Command {
	var cfg soak.Config
	var seeds int
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run instances as processes on loopback under random faults and check invariants",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Program == "" {
				program, err := os.Executable()
				if err != nil {
					return err
				}
				cfg.Program = program
			}
			cfg.Log = cmd.ErrOrStderr()
			ctx, stop := signalContext()
			defer stop()
			return runSoak(ctx, cmd, cfg, seeds)
		},
	}
	f := cmd.Flags()
	f.Uint64Var(&cfg.Seed, "seed", uint64(time.Now().Unix()), "seed of the faults; by default the current Unix time in seconds")
	f.IntVar(&seeds, "seeds", 1, "number of seeds to run, one after the other")
	f.DurationVar(&cfg.Duration, "duration", 20*time.Second, "how long faults are injected")
	f.DurationVar(&cfg.RecoveryTime, "calm", 4*time.Second, "time without faults after that, in which all accepted requests must be served")
	f.IntVar(&cfg.Instances, "nodes", 4, "number of instances, each a process")
	f.IntVar(&cfg.Engines, "engines", 4, "number of model engines")
	f.IntVar(&cfg.RowBytes, "row-bytes", 2048, "largest value of a row of the store; larger results are stored as objects, with 65536 none")
	f.StringVar(&cfg.Program, "program", "", "zinnialadder binary of the instances; by default this one")
	f.IntVar(&cfg.Services, "services", 3, "number of plain services")
	return cmd
}

// runSoak runs as many seeds as given, from cfg.Seed on. It ends at the first run that
// fails or when ctx is done.
func runSoak(ctx context.Context, cmd *cobra.Command, cfg soak.Config, seeds int) error {
	for range seeds {
		report, err := soak.Run(ctx, cfg)
		report.Write(cmd.OutOrStdout())
		if err != nil {
			return err
		}
		if ctx.Err() != nil {
			return fmt.Errorf("soak: interrupted: %w", ctx.Err())
		}
		cfg.Seed++
	}
	return nil
}
