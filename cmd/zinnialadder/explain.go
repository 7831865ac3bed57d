package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

// slowestShown is how many of the slowest submissions --summary lists.
const slowestShown = 20

// explainCmd returns the command that explains requests, items and submissions from
// instances' logs.
func explainCmd() *cobra.Command {
	var summary bool
	cmd := &cobra.Command{
		Use:   "explain ID FILE... | --summary FILE...",
		Short: "Print from instances' logs what happened to a request, item or submission, or what all submissions waited for",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if summary {
				lines, err := readLogs(args)
				if err != nil {
					return err
				}
				return explain.Summarize(lines).Write(cmd.OutOrStdout(), slowestShown)
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
	return cmd
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
