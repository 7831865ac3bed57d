package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/experiment"
	"github.com/zinnialadder/zinnialadder/internal/loadsim"
)

// experimentCmd returns the command that compares policies in experiments.
func experimentCmd() *cobra.Command {
	var steps int
	var seed uint64
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "Compare step and rollout policies on trainer idle time and staleness",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if steps <= 0 || steps > 100 {
				return fmt.Errorf("--steps %d: want 1 to 100", steps)
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
	cmd.AddCommand(loadCompareCmd(), stepCompareCmd(), paceCompareCmd(), dataCentresCompareCmd(), hardCompareCmd())
	cmd.Flags().IntVar(&steps, "steps", 10, "steps per trainer")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of generation lengths")
	return cmd
}

// offeredLoads are the request rates of experiment load, as multiples of the capacity of
// the upstreams.
var offeredLoads = []float64{0.5, 0.7, 0.8, 0.9, 1, 1.25, 1.5, 2, 2.5, 3, 3.5, 4}

// loadCompareCmd returns the command that compares policies for rejecting requests.
func loadCompareCmd() *cobra.Command {
	var seeds int
	var svg string
	var contended bool
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Compare policies for rejecting requests, in simulated time",
		Long: "Compare policies for rejecting requests, in simulated time: at 0.5 to 4 times the capacity of the\n" +
			"upstreams, the share of requests answered, their latency, and the attempts made at upstreams.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds <= 0 || seeds > 1000 {
				return fmt.Errorf("--seeds %d: want 1 to 1000", seeds)
			}
			if contended {
				return loadsim.WriteScenarios(cmd.OutOrStdout(), loadsim.Scenarios(), loadsim.ContendedPolicies, seeds)
			}
			results := loadsim.Sweep(loadsim.Minho, loadsim.Policies, offeredLoads, seeds)
			if svg != "" {
				if err := writeFile(svg, func(w io.Writer) error { return loadsim.WriteChart(w, results) }); err != nil {
					return err
				}
			}
			return loadsim.WriteTable(cmd.OutOrStdout(), results)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 5, "seeds simulated for each load; 1 to 1000")
	cmd.Flags().BoolVar(&contended, "contended", false, "compare the policies for contended pools instead")
	cmd.Flags().StringVar(&svg, "svg", "", "SVG file to write with a chart of goodput against load")
	return cmd
}

// engineCounts are the numbers of engines that experiment step simulates a step with,
// from a slot for each item to one slot for four items.
var engineCounts = []int{9, 6, 3, 2}

// slowFactor is how many times slower than the others the slow engine of experiment step
// is.
const slowFactor = 4

// hardGroupSizes and hardWork are the sizes of groups of experiment step --hard, and the
// work of a step as multiples of what its engines generate until it is due.
var (
	hardGroupSizes = []int{8, 16}
	hardWork       = []float64{0.5, 0.8, 1, 1.3, 2, 4}
)

// stepCompareCmd returns the command that compares policies for ordering and placing the
// items of a step.
func stepCompareCmd() *cobra.Command {
	var seeds int
	var hard bool
	cmd := &cobra.Command{
		Use:   "step",
		Short: "Compare policies for ordering and placing the items of a step, in simulated time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds <= 0 || seeds > 10_000 {
				return fmt.Errorf("--seeds %d: want 1 to 10000", seeds)
			}
			if hard {
				return loadsim.WriteOrders(cmd.OutOrStdout(), loadsim.SweepOrders(loadsim.HardLoad, hardGroupSizes, hardWork, seeds))
			}
			return loadsim.WriteSteps(cmd.OutOrStdout(), loadsim.SweepSteps(loadsim.CallSummary, loadsim.StepPolicies, engineCounts, slowFactor, seeds))
		},
	}
	cmd.Flags().BoolVar(&hard, "hard", false, "compare orders where the engines may not generate all of a step until it is due")
	cmd.Flags().IntVar(&seeds, "seeds", 200, "seeds simulated for each load; 1 to 10000")
	return cmd
}

// paceCompareCmd returns the command that compares placement with and without regard to
// the pace of upstreams.
func paceCompareCmd() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "pace",
		Short: "Compare placement with and without regard to the pace of upstreams, in simulated time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds <= 0 || seeds > 1000 {
				return fmt.Errorf("--seeds %d: want 1 to 1000", seeds)
			}
			return loadsim.WritePace(cmd.OutOrStdout(), seeds)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 5, "seeds simulated for each load; 1 to 1000")
	return cmd
}

// dataCentresCompareCmd returns the command that compares placement with and without regard
// to data centres.
func dataCentresCompareCmd() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "datacentres",
		Short: "Compare placement with and without regard to data centres, in simulated time",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds <= 0 || seeds > 1000 {
				return fmt.Errorf("--seeds %d: want 1 to 1000", seeds)
			}
			return loadsim.WriteDataCentres(cmd.OutOrStdout(), seeds)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 5, "seeds simulated for each load; 1 to 1000")
	return cmd
}

// writeFile creates the file at path and calls write with it.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close() // the error of write is returned
		return err
	}
	return f.Close()
}
