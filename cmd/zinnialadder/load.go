package main

import "github.com/spf13/cobra"

func loadCmd() *cobra.Command {
	return &cobra.Command{Use: "load", Short: "Send a bounded load to an entry instance", Hidden: true}
}
