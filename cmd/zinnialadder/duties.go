package main

import (
	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/platform"
)

// dutiesCmd returns the command that prints the state of the tasks that one instance does
// for the whole site: usage reports and engine orders.
func dutiesCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "duties",
		Short: "Print the instance that sends usage reports and orders engines, the reports and the engines",
		Long: "Print which instance holds the lease for usage reports and engine orders, the last usage reports with\n" +
			"their counts of requests and customers and whether the platform has accepted them, missing usage\n" +
			"windows, and the engines of each pool by data centre and kind. With --watch it is printed periodically.",
		Args: cobra.NoArgs,
	}
	view := storeView[snapshot.Duties]{tables: snapshot.DutyTables(platform.Decoder()), of: snapshot.State.Duties}
	view.add(cmd)
	return cmd
}
