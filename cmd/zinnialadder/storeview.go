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

// storeView is a command that prints a view of the state in the store, once or
// periodically.
type storeView[T interface{ Write(io.Writer) error }] struct {
	tables []snapshot.Table
	of     func(snapshot.State) T // returns the view of a state

	from   storeFlags
	asJSON bool
	watch  time.Duration // period; 0 to print once
}

// add adds the flags to cmd and makes it print the view.
func (v *storeView[T]) add(cmd *cobra.Command) {
	v.from.add(cmd)
	jsonFlag(cmd, &v.asJSON)
	cmd.Flags().DurationVar(&v.watch, "watch", 0, "time between two prints, such as 2s; 0 to print once")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error { return v.run(cmd) }
}

// run reads the store and prints the view, periodically if --watch is given.
func (v *storeView[T]) run(cmd *cobra.Command) error {
	if v.watch < 0 {
		return fmt.Errorf("--watch %v: must not be negative", v.watch)
	}
	take := func() (snapshot.State, error) {
		snap, err := v.from.take(cmd, v.tables, false)
		if err != nil {
			return snapshot.State{}, fmt.Errorf("cannot read the store: %w", err)
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

// watchStore calls take and show every period until ctx is done. When take fails it
// writes the error to errs, with the time of the state that was shown last.
func watchStore(ctx context.Context, errs io.Writer, period time.Duration, take func() (snapshot.State, error), show func(snapshot.State) error) error {
	shown := "no state was shown before"
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
			shown = "the last state shown was read at " + st.TakenAt.UTC().Format(time.TimeOnly)
		}
		if !clock.Sleep(ctx, period) {
			return nil
		}
	}
}
