package main

import (
	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/platform"
)

// dutiesCmd returns the command that shows what one instance does for the whole site.
func dutiesCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "duties",
		Short: "Print who reports the use of customers and orders engines, and what was reported and is there",
		Long: "Print which instance holds the duties, the last windows of reported use with how many requests of\n" +
			"how many customers they tell, whether the platform has accepted them, windows that are missing, and\n" +
			"the engines of each pool by data centre and kind. With --watch it is printed again and again.",
		Args: cobra.NoArgs,
	}
	view := storeView[snapshot.Duties]{tables: snapshot.DutyTables(platform.Decoder()), of: snapshot.State.Duties}
	view.add(cmd)
	return cmd
}
