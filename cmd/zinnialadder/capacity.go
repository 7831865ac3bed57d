package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/capacity"
)

func capacityCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure control costs per item here and project them to letter 1's size (Markdown)",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := capacity.Measure()
			if err != nil {
				return err
			}
			capacity.WriteReport(cmd.OutOrStdout(), slopes, capacity.Letter1, capacity.Letter1Budget)
			return nil
		},
	}
	cmd.AddCommand(fleetCmd())
	return cmd
}

// fleetCmd returns the command that serves a site of letter 1's size for one
// real entry instance to be measured against; see scripts/capacity-node.
func fleetCmd() *cobra.Command {
	t := capacity.Letter1
	f := capacity.Fleet{PoolSize: 16}
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Serve a platform stand-in with a large site's catalogue, members and load reports",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			ctx, stop := signalContext()
			defer stop()
			return f.Run(ctx)
		},
	}
	fl := cmd.Flags()
	fl.StringVar(&f.Listen, "listen", "127.0.0.1:7000", "address of the platform stand-in")
	fl.StringVar(&f.EngineListen, "engine-listen", "0.0.0.0:7001", "address that answers for every engine")
	fl.IntVar(&f.Entries, "entries", t.Entries, "catalogue entries")
	fl.IntVar(&f.Pools, "pools", t.Engines/f.PoolSize, "pools of 16 engines")
	fl.IntVar(&f.Members, "members", t.Nodes-1, "other entry instances")
	fl.DurationVar(&f.Renew, "renew", 370*time.Second/45, "period of each member's heartbeat")
	fl.DurationVar(&f.ChangeEvery, "change-every", 25*time.Second, "time between catalogue changes")
	return cmd
}
