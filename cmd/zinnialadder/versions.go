package main

import (
	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/platform"
)

// versionsCmd returns the command that prints the configuration and the weight versions
// that each data centre serves.
func versionsCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "versions",
		Short: "Print the configuration and the weight versions that each data centre serves",
		Long: "Print the configuration in force at the instances of each data centre, the instances that do not\n" +
			"have the newest one, and the weight versions that the engines hold, with the target versions and\n" +
			"those that open submissions require. With --watch it is printed periodically.",
		Args: cobra.NoArgs,
	}
	view := storeView[snapshot.Versions]{tables: snapshot.VersionTables(platform.Decoder()), of: snapshot.State.ServedVersions}
	view.add(cmd)
	return cmd
}
