package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/experiment"
)

func experimentCmd() *cobra.Command {
	var steps int
	var seed uint64
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare step and rollout policies on trainer idle time and staleness",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if steps <= 0 || steps > 100 {
				return fmt.Errorf("steps %d: want 1 to 100", steps)
			}
			var results []experiment.Result
			for _, d := range []experiment.Deployment{experiment.Minho, experiment.Rodokmen} {
				for _, p := range experiment.Policies {
					r, err := experiment.Run(experiment.Config{Deployment: d, Policy: p, Steps: steps, Seed: seed})
					if err != nil {
						return fmt.Errorf("%s, %s: %w", d.Name, p.Name, err)
					}
					results = append(results, r)
				}
			}
			experiment.WriteReport(cmd.OutOrStdout(), results)
			return nil
		},
	}
	cmd.Flags().IntVar(&steps, "steps", 10, "steps per trainer")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of generation lengths")
	return cmd
}
