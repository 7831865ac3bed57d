package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/platform"
)

// versionsCmd returns the command that shows what each data centre serves.
func versionsCmd() *cobra.Command {
	var from storeFlags
	var asJSON bool
	var watch time.Duration
	cmd := &cobra.Command{
		Use:   "versions",
		Short: "Print which configuration and which weight versions each data centre serves",
		Long: "Print which configuration is in force at the instances of each data centre, which of them are\n" +
			"behind the operators', and which weight versions its engines hold, against those that are named\n" +
			"and those that open submissions ask for. With --watch it is printed again and again.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if watch < 0 {
				return fmt.Errorf("--watch %v: give a time above zero", watch)
			}
			show := func(v snapshot.Versions) error {
				if asJSON {
					return printJSON(cmd, v)
				}
				return v.Write(cmd.OutOrStdout())
			}
			take := func() (snapshot.Versions, error) {
				snap, err := from.take(cmd, snapshot.ServedTables(platform.Decoder()), false)
				if err != nil {
					return snapshot.Versions{}, fmt.Errorf("the store was not read: %w", err)
				}
				return snap.State(platform.Decoder()).ServedVersions(), nil
			}
			if watch == 0 {
				v, err := take()
				if err != nil {
					return err
				}
				return show(v)
			}
			return watchVersions(cmd.Context(), cmd.ErrOrStderr(), watch, take, show)
		},
	}
	from.add(cmd)
	jsonFlag(cmd, &asJSON)
	cmd.Flags().DurationVar(&watch, "watch", 0, "print again after each of this time, such as 2s; 0 for once")
	return cmd
}

// watchVersions shows what take returns again and again until ctx ends. While the
// store cannot be read it writes so to errs, with the age of what was shown last.
func watchVersions(ctx context.Context, errs io.Writer, period time.Duration, take func() (snapshot.Versions, error), show func(snapshot.Versions) error) error {
	shown := "nothing was shown before"
	for {
		v, err := take()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			fmt.Fprintf(errs, "%v; %s\n", err, shown)
		default:
			if err := show(v); err != nil {
				return err
			}
			shown = "the last shown is as of " + v.TakenAt.UTC().Format(time.TimeOnly)
		}
		if !clock.Sleep(ctx, period) {
			return nil
		}
	}
}
