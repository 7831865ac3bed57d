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

// storeView is a command that prints a part of what the store says, once or again and
// again.
type storeView[T interface{ Write(io.Writer) error }] struct {
	tables []snapshot.Table
	of     func(snapshot.State) T

	from   storeFlags
	asJSON bool
	watch  time.Duration
}

// add makes cmd print the view.
func (v *storeView[T]) add(cmd *cobra.Command) {
	v.from.add(cmd)
	jsonFlag(cmd, &v.asJSON)
	cmd.Flags().DurationVar(&v.watch, "watch", 0, "print again after each of this time, such as 2s; 0 for once")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return v.run(cmd) }
}

func (v *storeView[T]) run(cmd *cobra.Command) error {
	if v.watch < 0 {
		return fmt.Errorf("--watch %v: give a time above zero", v.watch)
	}
	take := func() (snapshot.State, error) {
		snap, err := v.from.take(cmd, v.tables, false)
		if err != nil {
			return snapshot.State{}, fmt.Errorf("the store was not read: %w", err)
		}
		return snap.State(platform.Decoder()), nil
	}
	show := func(st snapshot.State) error {
		if v.asJSON {
			return printJSON(cmd, v.of(st))
		}
		return v.of(st).Write(cmd.OutOrStdout())
	}
	if v.watch > 0 {
		return watchStore(cmd.Context(), cmd.ErrOrStderr(), v.watch, take, show)
	}
	st, err := take()
	if err != nil {
		return err
	}
	return show(st)
}

// watchStore shows what take returns again and again until ctx ends. While the
// store cannot be read it writes so to errs, with the age of what was shown last.
func watchStore(ctx context.Context, errs io.Writer, period time.Duration, take func() (snapshot.State, error), show func(snapshot.State) error) error {
	shown := "nothing was shown before"
	for {
		st, err := take()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			fmt.Fprintf(errs, "%v; %s\n", err, shown)
		default:
			if err := show(st); err != nil {
				return err
			}
			shown = "the last shown is as of " + st.TakenAt.UTC().Format(time.TimeOnly)
		}
		if !clock.Sleep(ctx, period) {
			return nil
		}
	}
}
