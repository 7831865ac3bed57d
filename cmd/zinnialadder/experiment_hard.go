package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/loadsim"
)

// hardCompareCmd returns the command that compares the rules of contended pools with those
// of other pools under hard load.
func hardCompareCmd() *cobra.Command {
	var seeds int
	var svg, without string
	cmd := &cobra.Command{
		Use:   "hard",
		Short: "Compare the rules of contended pools with those of other pools under hard load, in simulated time",
		Long: "Compare the rules of contended pools (\"now\") with those of other pools (\"before\") under hard load, in\n" +
			"simulated time, and the placement of plain calls with one that knows the true state of the upstreams.\n" +
			"With --without, compare the rules of contended pools with the same without a part.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds <= 0 || seeds > 1000 {
				return fmt.Errorf("--seeds %d: want 1 to 1000", seeds)
			}
			out := cmd.OutOrStdout()
			if without != "" {
				part, err := loadsim.PartNamed(without)
				if err != nil {
					return fmt.Errorf("--without: %w", err)
				}
				report := loadsim.RunWithout(part, seeds)
				if err := writeHard(out, svg, report); err != nil {
					return err
				}
				fmt.Fprintln(out)
				return report.WriteDifferences(out)
			}
			if err := writeHard(out, svg, loadsim.RunHard(seeds)); err != nil {
				return err
			}
			fmt.Fprintln(out)
			return loadsim.WriteOracle(out, loadsim.CompareOracle(loadsim.OracleScenarios(), seeds))
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 5, "seeds simulated for each load; 1 to 1000")
	cmd.Flags().StringVar(&svg, "svg", "", "SVG file to write with a chart of what is served of each load")
	cmd.Flags().StringVar(&without, "without", "", "part to disable: "+strings.Join(loadsim.PartNames(), ", "))
	return cmd
}

// writeHard writes report as tables and, if svg is not empty, as a chart to that file.
func writeHard(out io.Writer, svg string, report loadsim.HardReport) error {
	if svg != "" {
		if err := writeFile(svg, report.WriteChart); err != nil {
			return err
		}
	}
	return report.Write(out)
}
