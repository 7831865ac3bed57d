package main

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
			if err := s.Apply(f); err != nil {
				return err
			}
			fmt.Fprintf(out, "site up: platform %s, %d engines, 2 entry instances\n", s.PlatformURL, len(s.Engines))
			return demoRequests(out, s)
		},
	}
}

// demoRequests does what a caller does: asks for a route, then sends one
// generation and one non-idempotent call to the instance it was given.
func demoRequests(out io.Writer, s *site.Site) error {
	var ra entry.RouteAnswer
	if err := getJSON("http://"+s.Entries[0].Addr()+"/v1/route?customer=minho&key=agent-17", &ra); err != nil {
		return err
	}
	fmt.Fprintf(out, "route: use %s (%s) until %s\n", ra.Address, ra.ID, ra.ExpiresAt.Format(time.TimeOnly))
	gen := entry.GenerateRequest{Customer: "minho", Entry: "negotiation-drafts", RequestID: "draft-1",
		Prompt: "Draft a repayment script for a farm loan three months overdue.", MaxTokens: 12}
	last, err := streamGenerate("http://"+ra.Address, gen)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "generate: %d tokens, weight versions %v, sample %s\n", last.Tokens, last.WeightVersions, last.SampleID)
	for _, r := range s.Trainer.Received() {
		fmt.Fprintf(out, "trainer: holds %s labelled %v, delivered %d time(s)\n", r.Sample.ID, r.Sample.WeightVersions, r.Deliveries)
	}
	call := entry.CallRequest{Customer: "minho", Entry: "repayment-plans", Method: "log_plan", Key: "plan-2041",
		Body: json.RawMessage(`{"member":"M-2041","months":6}`)}
	for i := 0; i < 2; i++ {
		var ans entry.CallAnswer
		if err := postJSON("http://"+ra.Address+"/v1/call", call, &ans); err != nil {
			return err
		}
		fmt.Fprintf(out, "call %d: %s (replayed %t)\n", i+1, bytes.TrimSpace(ans.Body), ans.Replayed)
	}
	fmt.Fprintf(out, "service: plan-2041 ran %d time(s)\n", s.Executions()["plan-2041"])
	return nil
}

func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("GET %s: %s: %s", url, resp.Status, b)
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func postJSON(url string, in, out any) error {
	b, _ := json.Marshal(in)
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("POST %s: %s: %s", url, resp.Status, bytes.TrimSpace(body))
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// streamGenerate sends a generation and reads its events, returning the last.
func streamGenerate(base string, req entry.GenerateRequest) (entry.Event, error) {
	b, _ := json.Marshal(req)
	resp, err := http.Post(base+"/v1/generate", "application/json", bytes.NewReader(b))
	if err != nil {
		return entry.Event{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return entry.Event{}, fmt.Errorf("generate: %s: %s", resp.Status, bytes.TrimSpace(body))
	}
	var last entry.Event
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if err := json.Unmarshal(sc.Bytes(), &last); err != nil {
			return entry.Event{}, err
		}
	}
	if last.Error != "" {
		return last, fmt.Errorf("generate: %s (%s)", last.Error, last.Verdict)
	}
	return last, sc.Err()
}
