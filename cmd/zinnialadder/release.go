package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/platform"
)

// releaseCmd returns the command that lets a request out of quarantine.
func releaseCmd() *cobra.Command {
	var from storeFlags
	cmd := &cobra.Command{
		Use:   "release CONTENT",
		Short: "Let a request out of quarantine that crashed upstreams, as after they were mended",
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
				return fmt.Errorf("release %s: nothing is known of it", content)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is released, %d facts of it are deleted\n", content, n)
			return nil
		},
	}
	from.add(cmd)
	return cmd
}
