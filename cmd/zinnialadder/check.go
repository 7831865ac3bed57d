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

// errCheck ends check when a file has a fault; each was printed.
var errCheck = errors.New("check: a file has a fault")

// checkCmd returns the command that checks files before they are used.
func checkCmd() *cobra.Command {
	var deploy, machine, entry, items string
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check settings, deploy and catalogue files",
		Long: "Check settings, deploy and catalogue files, and print for each that it is right, or its first\n" +
			"fault with line and reason. Keys that are not known are faults, but in the platform's settings.",
		Example: "  zinnialadder check --deploy deploy/system.toml --settings node.conf",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			faults := 0
			for _, f := range []struct {
				path string
				load func(path string) error
			}{
				{deploy, func(p string) error { _, err := deployfile.Load(p); return err }},
				{machine, func(p string) error { _, err := platform.LoadSettings(p); return err }},
				{entry, func(p string) error { return settings.Load(p, new(settings.Entry)) }},
				{items, func(p string) error { return settings.Load(p, new(catalogue.File)) }},
			} {
				if f.path == "" {
					continue
				}
				if err := f.load(f.path); err != nil {
					faults++
					fmt.Fprintln(cmd.OutOrStdout(), err)
					continue
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", f.path)
			}
			if faults > 0 {
				return errCheck
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&deploy, "deploy", "", "deploy file, such as deploy/system.toml")
	cmd.Flags().StringVar(&machine, "settings", "", "settings file of a machine of the platform")
	cmd.Flags().StringVar(&entry, "entry", "", "settings file of an entry instance")
	cmd.Flags().StringVar(&items, "catalogue", "", "catalogue file")
	cmd.MarkFlagsOneRequired("deploy", "settings", "entry", "catalogue")
	return cmd
}
