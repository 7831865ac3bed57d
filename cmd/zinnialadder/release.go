package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/platform"
)

// releaseCmd returns the command that lifts the quarantine of a content fingerprint.
func releaseCmd() *cobra.Command {
	var from storeFlags
	cmd := &cobra.Command{
		Use:   "release CONTENT",
		Short: "Lift the quarantine of a content fingerprint, for example after the upstreams that it crashed were fixed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			content, err := quarantine.ParseFingerprint(args[0])
			if err != nil {
				return err
			}
			address, err := from.storeAddress()
			if err != nil {
				return err
			}
			n, err := node.ReleaseQuarantine(cmd.Context(), platform.NewStore(address), content)
			if err != nil {
				return fmt.Errorf("release %s: %w", content, err)
			}
			if n == 0 {
				return fmt.Errorf("release %s: the store has no facts of this content", content)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s released, %d facts deleted\n", content, n)
			return nil
		},
	}
	from.add(cmd)
	return cmd
}
