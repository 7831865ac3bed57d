package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/deployfile"
	"github.com/zinnialadder/zinnialadder/internal/settings"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/platform"
)

// errCheck is the error of the check command when a file is invalid. The error of each
// file has been printed before.
var errCheck = errors.New("check: a file is invalid")

// checkCmd returns the command that checks settings, deploy and catalogue files.
func checkCmd() *cobra.Command {
	var deploy, node, entry, items string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings, deploy and catalogue files",
		Long: "Check settings, deploy and catalogue files, and print for each that it is ok, or its first\n" +
			"error with line and reason. Unknown keys are errors, except in the platform's settings.",
		Example: "  zinnialadder check --deploy deploy/system.toml --settings node.conf",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			invalid := 0
			for _, f := range []struct {
				path string
				load func(path string) error
			}{
				{deploy, func(p string) error { _, err := deployfile.Load(p); return err }},
				{node, func(p string) error { _, err := platform.LoadSettings(p); return err }},
				{entry, func(p string) error { return settings.Load(p, new(settings.Entry)) }},
				{items, func(p string) error { return settings.Load(p, new(catalogue.File)) }},
			} {
				if f.path == "" {
					continue
				}
				if err := f.load(f.path); err != nil {
					invalid++
					fmt.Fprintln(cmd.OutOrStdout(), err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", f.path)
			}
			if invalid > 0 {
				return errCheck
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&deploy, "deploy", "", "deploy file, such as deploy/system.toml")
	cmd.Flags().StringVar(&node, "settings", "", "platform's settings file of an instance")
	cmd.Flags().StringVar(&entry, "entry", "", "settings file of an entry instance")
	cmd.Flags().StringVar(&items, "catalogue", "", "catalogue file")
	cmd.MarkFlagsOneRequired("deploy", "settings", "entry", "catalogue")
	return cmd
}
