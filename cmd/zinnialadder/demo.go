package main

import (
	"bytes"
	"context"
	"crypto/rand"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/zinnialadder/zinnialadder/internal/settings"
	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

//go:embed demo.jsonc
var demoCatalogue []byte

// demoCmd returns the command that runs a site in one process and sends it requests.
func demoCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Run a whole site in this process on loopback and serve one request of each kind",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			s, err := site.Start(site.Config{Engines: 3, Entries: 2,
				Engine: enginetest.Config{Slots: 8, TokenInterval: 2 * time.Millisecond, WeightVersion: 7}})
			if err != nil {
				return err
			}
			defer s.Close()
			var f catalogue.File
			if err := settings.Parse(demoCatalogue, &f); err != nil {
				return fmt.Errorf("demo catalogue: %w", err)
			}
			f.Pools[0] = s.EnginePool("assistant-pool")
			f.Pools[1] = s.ServicePool("desk-app")
			f.Entries[0].Trainer = s.TrainerAddr
			key := rand.Text()
			f.Customers[0].KeyDigests = []string{catalogue.KeyDigest(key)}
			if err := s.Apply(f); err != nil {
				return err
			}
			fmt.Fprintf(out, "site up: platform %s, %d engines, 2 entry instances\n", s.PlatformURL, len(s.Engines))
			return demoRequests(cmd.Context(), out, s, key)
		},
	}
}

// demoRequests sends requests as a caller does: it asks for a route, then sends one
// generation and, twice with the same key, one non-idempotent call to the instance that
// the route gives, each with the customer's API key. It writes the responses to out.
func demoRequests(ctx context.Context, out io.Writer, s *site.Site, key string) error {
	first := entry.NewClient(s.Entries[0].Addr(), nil)
	if _, err := first.Route(ctx, "minho", "agent-17"); err == nil {
		return errors.New("route: got a route without an API key, want an error")
	} else {
		fmt.Fprintf(out, "route without the customer's key: %v\n", err)
	}
	ra, err := first.WithKey(key).Route(ctx, "minho", "agent-17")
	if err != nil {
		return err
	}
	instance := entry.NewClient(ra.Address, nil).WithKey(key)
	fmt.Fprintf(out, "route: use %s (%s) until %s\n", ra.Address, ra.ID, ra.ExpiresAt.Format(time.TimeOnly))
	gen := entry.GenerateRequest{Customer: "minho", Entry: "negotiation-drafts", RequestID: "draft-1",
		Prompt: "Draft a repayment script for a farm loan three months overdue.", MaxTokens: 12}
	a, err := instance.Generate(ctx, gen)
	if err != nil {
		return err
	}
	last := a.Last
	if !last.Done {
		return fmt.Errorf("generate: status %d: %s", a.Status, last.Error)
	}
	fmt.Fprintf(out, "generate: %d tokens, weight versions %v, sample %s\n", last.Tokens, last.WeightVersions, last.SampleID)
	for len(s.Trainer.Received()) == 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond) // samples are delivered after the response
	}
	for _, r := range s.Trainer.Received() {
		fmt.Fprintf(out, "trainer: holds %s labelled %v, delivered %d time(s)\n", r.Sample.ID, r.Sample.WeightVersions, r.Deliveries)
	}
	call := entry.CallRequest{Customer: "minho", Entry: "repayment-plans", Method: "log_plan", Key: "plan-2041",
		Body: json.RawMessage(`{"member":"M-2041","months":6}`)}
	for i := 0; i < 2; i++ {
		ans, err := instance.Call(ctx, call)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "call %d: %s (replayed %t)\n", i+1, bytes.TrimSpace(ans.Body), ans.Replayed)
	}
	fmt.Fprintf(out, "service: plan-2041 ran %d time(s)\n", s.Executions()["plan-2041"])
	return nil
}
