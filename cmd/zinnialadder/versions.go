package main

import (
	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/platform"
)

// versionsCmd returns the command that shows what each data centre serves.
func versionsCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "versions",
		Short: "Print which configuration and which weight versions each data centre serves",
		Long: "Print which configuration is in force at the instances of each data centre, which of them are\n" +
			"behind the operators', and which weight versions its engines hold, against those that are named\n" +
			"and those that open submissions ask for. With --watch it is printed again and again.",
		Args: cobra.NoArgs,
	}
	view := storeView[snapshot.Versions]{tables: snapshot.VersionTables(platform.Decoder()), of: snapshot.State.ServedVersions}
	view.add(cmd)
	return cmd
}
