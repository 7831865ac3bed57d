package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/platform"
)

// siteCmd returns the command that prints the state of a site as the platform's store
// has it.
func siteCmd() *cobra.Command {
	var from storeFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "site",
		Short: "Print the state of a site from the platform's store: configuration, instances, upstreams, leases, submissions",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			snap, err := from.take(cmd, snapshot.Tables(platform.Decoder()), false)
			if err != nil {
				return err
			}
			return printState(cmd, snap, asJSON)
		},
	}
	from.add(cmd)
	jsonFlag(cmd, &asJSON)
	return cmd
}

// snapshotCmd returns the command that copies the system's rows and objects in the
// platform's store to a file.
func snapshotCmd() *cobra.Command {
	var from storeFlags
	var out string
	cmd := &cobra.Command{
		Use:   "snapshot",
		Short: "Copy the system's rows and objects in the platform's store to a file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			snap, err := from.take(cmd, snapshot.Tables(platform.Decoder()), true)
			if err != nil {
				return err
			}
			if err := writeFile(out, func(w io.Writer) error { return snap.Write(w) }); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d rows and %d objects as of version %d, %d rows changed during the copy\n", len(snap.Rows), len(snap.Objects), snap.Version, len(snap.ChangedSince))
			return nil
		},
	}
	from.add(cmd)
	cmd.Flags().StringVar(&out, "out", "", "file to write")
	_ = cmd.MarkFlagRequired("out")
	return cmd
}

// inspectCmd returns the command that prints the state in a file that snapshotCmd
// wrote.
func inspectCmd() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "inspect FILE",
		Short: "Print the state in a file of ctl snapshot as ctl site does for the store",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			snap, err := snapshot.Read(f)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return printState(cmd, snap, asJSON)
		},
	}
	jsonFlag(cmd, &asJSON)
	return cmd
}

// jsonFlag adds the flag --json to cmd.
func jsonFlag(cmd *cobra.Command, asJSON *bool) {
	cmd.Flags().BoolVar(asJSON, "json", false, "print JSON")
}

// printState prints the state in snap, as JSON or as text.
func printState(cmd *cobra.Command, snap snapshot.Snapshot, asJSON bool) error {
	st := snap.State(platform.Decoder())
	if asJSON {
		return printJSON(cmd, st)
	}
	return st.Write(cmd.OutOrStdout())
}

// storeFlags holds the flags that select the platform's store: its IP:port, or the
// settings file that has it.
type storeFlags struct{ address, settings string }

// add adds the flags to cmd, which requires one of them.
func (f *storeFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "store", "", "IP:port of the platform's store")
	cmd.Flags().StringVar(&f.settings, "settings", "", "settings file of an instance, which has the address of the store")
	cmd.MarkFlagsOneRequired("store", "settings")
	cmd.MarkFlagsMutuallyExclusive("store", "settings")
}

// take takes a snapshot of tables in the store that the flags select, and of the objects
// of submissions if objects is set.
func (f *storeFlags) take(cmd *cobra.Command, tables []snapshot.Table, objects bool) (snapshot.Snapshot, error) {
	address, err := f.storeAddress()
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	return snapshot.Take(cmd.Context(), platform.NewStore(address), tables, objects, time.Now())
}

// storeAddress returns the IP:port of the store that the flags select.
func (f *storeFlags) storeAddress() (string, error) {
	if f.settings == "" {
		return f.address, nil
	}
	s, err := platform.LoadSettings(f.settings)
	return s.StoreAddress, err
}
