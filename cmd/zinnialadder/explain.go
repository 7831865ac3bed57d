package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

// slowestShown is how many of the slowest submissions --summary lists.
const slowestShown = 20

// explainCmd returns the command that explains requests, items and submissions from
// instances' logs.
func explainCmd() *cobra.Command {
	var summary, results bool
	cmd := &cobra.Command{
		Use:   "explain ID FILE... | --summary FILE... | --results FILE...",
		Short: "Print from instances' logs what happened to a request, item or submission, what all submissions waited for, or whether results changed",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if summary {
				lines, err := readLogs(args)
				if err != nil {
					return err
				}
				return explain.Summarize(lines).Write(cmd.OutOrStdout(), slowestShown)
			}
			if results {
				return checkResults(cmd.OutOrStdout(), args)
			}
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			e, ok := explain.Find(lines, args[0])
			if !ok {
				return fmt.Errorf("no line names %s; successful requests beyond the limit of lines per second are not logged", args[0])
			}
			return e.Write(cmd.OutOrStdout())
		},
	}
	cmd.Flags().BoolVar(&summary, "summary", false, "print the time that all submissions, and the slowest ones, spent in each phase, and times by model, route, customer and upstream")
	cmd.Flags().BoolVar(&results, "results", false, "check that all lines agree on the result and the position of each item, and print how often submissions ran; fails if lines disagree")
	cmd.MarkFlagsMutuallyExclusive("summary", "results")
	return cmd
}

// checkResults writes what the log files tell of results. It fails if they disagree.
func checkResults(w io.Writer, names []string) error {
	lines, err := readLogs(names)
	if err != nil {
		return err
	}
	if len(names) > 1 {
		explain.SortByTime(lines) // the lines of one file are in the order of their output, whatever the clocks of instances say
	}
	check := explain.CheckResults(lines)
	if err := check.Write(w); err != nil {
		return err
	}
	if n := len(check.Conflicts); n > 0 {
		return fmt.Errorf("%d conflicts between results", n)
	}
	return nil
}

// readLogs returns the lines of the log files. It fails if names is empty.
func readLogs(names []string) ([]explain.Line, error) {
	if len(names) == 0 {
		return nil, fmt.Errorf("no log file given")
	}
	var lines []explain.Line
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		more, err := explain.Read(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, more...)
	}
	return lines, nil
}
