package main

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// keysCmd returns the command that adds, removes and lists the API keys of customers.
func keysCmd(client func() *platform.Client, author *string) *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Add, take away and list the API keys of a customer of the catalogue"}
	cmd.AddCommand(&cobra.Command{
		Use:   "add CUSTOMER",
		Short: "Create a key for a customer and print it; only its digest is stored, so it cannot be printed again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key := rand.Text()
			if err := catalogue.AddKey(cmd.Context(), client(), args[0], key, authorOr(*author), time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s\n", key)
			fmt.Fprintf(cmd.ErrOrStderr(), "digest %s\n", catalogue.KeyDigest(key))
			return nil
		},
	}, &cobra.Command{
		Use:   "remove CUSTOMER DIGEST",
		Short: "Remove the key of a customer whose digest begins with DIGEST",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return catalogue.RemoveKey(cmd.Context(), client(), args[0], args[1], authorOr(*author), time.Now())
		},
	}, &cobra.Command{
		Use:   "list CUSTOMER",
		Short: "Print the digests of a customer's keys",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			snap, err := catalogue.Read(cmd.Context(), client())
			if err != nil {
				return err
			}
			c, ok := snap.Customers[args[0]]
			if !ok {
				return fmt.Errorf("no customer %s in the catalogue", args[0])
			}
			for _, d := range c.KeyDigests {
				fmt.Fprintln(cmd.OutOrStdout(), d)
			}
			return nil
		},
	})
	return cmd
}
