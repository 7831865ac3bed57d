package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/settings"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// ctlCmd returns the command of the operators' tool.
func ctlCmd() *cobra.Command {
	var base, author string
	cmd := &cobra.Command{
		Use:   "ctl",
		Short: "Edit and read the catalogue and its audit trail; read the platform's store",
	}
	cmd.PersistentFlags().StringVar(&base, "platform", "http://127.0.0.1:7000", "platform base URL")
	cmd.PersistentFlags().StringVar(&author, "author", os.Getenv("USER"), "name recorded in the audit trail")
	client := func() *platform.Client { return platform.NewClient(base, nil) }

	cmd.AddCommand(applyCmd(client, &author), showCmd(client), auditCmd(client),
		upstreamCmd("drain", "Mark an upstream as leaving, so it gets no new work", catalogue.Leaving, client, &author),
		keysCmd(client, &author), upstreamCmd("undrain", "Mark an upstream as live again", catalogue.Live, client, &author),
		removeCmd(client, &author), weightsCmd(client, &author), stepsCmd(client),
		siteCmd(), versionsCmd(), dutiesCmd(), snapshotCmd(), inspectCmd(), releaseCmd())
	return cmd
}

// applyCmd returns the command that writes a file's items to the catalogue.
func applyCmd(client func() *platform.Client, author *string) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Write a file's pools, entries and customers to the catalogue",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var f catalogue.File
			if err := settings.Load(file, &f); err != nil {
				return err
			}
			out, err := catalogue.Sync(cmd.Context(), client(), f, authorOr(*author), time.Now())
			for _, res := range out {
				fmt.Fprintf(cmd.OutOrStdout(), "%s\tversion %d\tchanged %t\n", res.Key, res.Version, res.Changed)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "catalogue file (JSON with comments)")
	_ = cmd.MarkFlagRequired("file")
	return cmd
}

// showCmd returns the command that prints the catalogue.
func showCmd(client func() *platform.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the catalogue as stored",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			snap, err := catalogue.Read(cmd.Context(), client())
			if err != nil {
				return err
			}
			return printJSON(cmd, snap)
		},
	}
}

// auditCmd returns the command that prints the audit trail.
func auditCmd(client func() *platform.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "audit [KEY]",
		Short: "Print the accepted changes of the catalogue and of weight targets, all of them or those whose keys begin with KEY",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changes, err := catalogue.Audit(cmd.Context(), client(), strings.Join(args, ""))
			if err != nil {
				return err
			}
			for _, c := range changes {
				fmt.Fprintf(cmd.OutOrStdout(), "%s\t%s\tgeneration %d\tby %s\n  before: %s\n  after:  %s\n",
					c.At.Format(time.RFC3339), c.Key, c.Generation, c.Author, orNone(c.Before), c.After)
			}
			return nil
		},
	}
}

// upstreamCmd returns the command that sets an upstream's state to st.
func upstreamCmd(name, short string, st catalogue.UpstreamState, client func() *platform.Client, author *string) *cobra.Command {
	return &cobra.Command{
		Use:   name + " POOL ADDRESS",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := catalogue.SetUpstreamState(cmd.Context(), client(), args[0], args[1], st, authorOr(*author), time.Now())
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s in %s is %s\n", args[1], args[0], st)
			}
			return err
		},
	}
}

// removeCmd returns the command that removes an item from the catalogue.
func removeCmd(client func() *platform.Client, author *string) *cobra.Command {
	prefixes := map[string]string{"entry": catalogue.EntryPrefix, "pool": catalogue.PoolPrefix, "customer": catalogue.CustomerPrefix}
	return &cobra.Command{
		Use:   "remove entry|pool|customer NAME",
		Short: "Remove an item from the catalogue; fails for a pool that entries use",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			prefix, ok := prefixes[args[0]]
			if !ok {
				return fmt.Errorf("remove %q: want entry, pool or customer", args[0])
			}
			if err := catalogue.Remove(cmd.Context(), client(), prefix+args[1], authorOr(*author), time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s removed\n", args[0], args[1])
			return nil
		},
	}
}

// weightsCmd returns the command that sets the target version of a pool.
func weightsCmd(client func() *platform.Client, author *string) *cobra.Command {
	return &cobra.Command{
		Use:   "weights POOL VERSION",
		Short: "Set the target version of a pool, the weight version that its engines load",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := strconv.ParseUint(args[1], 10, 64)
			if err != nil || v == 0 {
				return fmt.Errorf("VERSION %q: want a positive whole number", args[1])
			}
			t := weights.Target{Pool: args[0], Version: v, Author: authorOr(*author), SetAt: time.Now()}
			if err := weights.SetTarget(cmd.Context(), client(), t); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "the target version of %s is %d\n", t.Pool, t.Version)
			return nil
		},
	}
}

// stepsCmd returns the command that prints the stored training steps.
func stepsCmd(client func() *platform.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "steps",
		Short: "Print the stored training steps, open and closed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			heads, err := step.List(cmd.Context(), client())
			if err != nil {
				return err
			}
			return printJSON(cmd, heads)
		},
	}
}

// authorOr returns a, or "unknown" if it is empty.
func authorOr(a string) string {
	if a == "" {
		return "unknown"
	}
	return a
}

// orNone returns s, or "(none)" if it is empty.
func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// printJSON prints v as indented JSON.
func printJSON(cmd *cobra.Command, v any) error {
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
