package main

import (
	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/capacity"
)

func capacityCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "capacity",
		Short: "Measure control costs per item here and project them to letter 1's size (Markdown)",
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := capacity.Measure()
			if err != nil {
				return err
			}
			capacity.WriteReport(cmd.OutOrStdout(), slopes, capacity.Letter1, capacity.Letter1Budget)
			return nil
		},
	}
}
