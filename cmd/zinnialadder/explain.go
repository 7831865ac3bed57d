package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

func explainCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Tell from instances' logs what happened to a request, item or submission",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []explain.Line
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				more, err := explain.Read(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				lines = append(lines, more...)
			}
			e, ok := explain.Find(lines, args[0])
			if !ok {
				return fmt.Errorf("no line names %s; successes beyond the lines of a second are not logged", args[0])
			}
			return e.Write(cmd.OutOrStdout())
		},
	}
}
