package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Crashed engines are always the least loaded; they must not draw requests
// away from the engines that live: with four of six crashed under a load
// that occupies the others, every request is still answered.
func TestCrashedEnginesDrawNoRequests(t *testing.T) {
	s := startSite(t, 6, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	for i := range 4 {
		s.CrashEngine(i)
	}
	for i := 0; i < 40; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("crash-", i),
			Prompt: fmt.Sprint("prompt ", i), MaxTokens: 4}
		if status, _, last := generate(t, s.Entries[0].Addr(), req); status != http.StatusOK || !last.Done {
			t.Fatalf("request %d: status %d, %+v", i, status, last)
		}
	}
	if n := s.Entries[0].Counter("upstream_errors"); n > 16 {
		t.Fatalf("%d attempts at crashed engines for 40 requests", n)
	}
}

// An engine that the platform's instance list, late, or the engine itself
// says is leaving gets no new work, though the catalogue has it live.
func TestEngineThatLeavesByItselfGetsNoNewWork(t *testing.T) {
	tells := map[string]func(s *site.Site){
		"instance list": func(s *site.Site) {
			s.Platform.SetInstance(s.EngineAddrs[0], platform.InstanceLeaving, 200*time.Millisecond)
		},
		"own report": func(s *site.Site) { s.Engines[0].SetFaults(enginetest.Faults{Leaving: true}) },
	}
	for name, tell := range tells {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 3, 2, enginetest.Config{WeightVersion: 1})
			tell(s)
			waitFor(t, 5*time.Second, "both instances to see it leaving", func() bool {
				return s.Entries[0].View().UpstreamLeaving(s.EngineAddrs[0]) && s.Entries[1].View().UpstreamLeaving(s.EngineAddrs[0])
			})
			before := s.Engines[0].Requests()
			for i := 0; i < 30; i++ {
				req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("leave-", i),
					Prompt: fmt.Sprint("prompt ", i), MaxTokens: 2}
				generate(t, s.Entries[i%2].Addr(), req)
			}
			if n := s.Engines[0].Requests() - before; n != 0 {
				t.Fatalf("leaving engine got %d new requests", n)
			}
		})
	}
}

// Training may not crowd out desk agents: with the instance's places for
// training taken, interactive requests are still admitted.
func TestTrainingLeavesPlacesForInteractive(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond, Slots: 256})
	submit(t, s, 0, stepSpec("crowd", 64, 8, 64)) // 512 generations for 64 places
	waitFor(t, 5*time.Second, "training at its share", func() bool { return s.Entries[0].Counter("refused_admission") > 0 })
	for i := 0; i < 5; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("agent-", i), Prompt: "p", MaxTokens: 2}
		if status, _, last := generate(t, s.Entries[0].Addr(), req); status != http.StatusOK || !last.Done {
			t.Fatalf("agent's request %d: status %d, %+v", i, status, last)
		}
	}
}

// A customer's limit holds over all its entries, and a refusal says it was
// not run and when to come back.
func TestCustomerLimit(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 20 * time.Millisecond})
	c := platform.NewClient(s.PlatformURL, nil)
	f := catalogue.File{Customers: []catalogue.Customer{{Name: "minho", MaxInFlight: 1}}}
	out, err := catalogue.Sync(context.Background(), c, f, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.WaitApplied(out, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	first := 0
	g.Go(func() error {
		first, _, _ = generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "a", Prompt: "p", MaxTokens: 50})
		return nil
	})
	waitFor(t, 5*time.Second, "the first request under way", func() bool { return s.Engines[0].Requests() == 1 })
	if status, v := callOnce(t, s.Entries[0].Addr(), "over"); status != http.StatusTooManyRequests || v.String() != "not_run" {
		t.Fatalf("second request answered %d %s, want 429 not_run", status, v)
	}
	if _ = g.Wait(); first != http.StatusOK {
		t.Fatalf("first request answered %d", first)
	}
	if n := s.Executions()["over"]; n != 0 {
		t.Fatalf("refused call ran %d times", n)
	}
}

// An engine shared with the older system gets no more than its share from all
// instances together, and no orders.
func TestSharedEngineKeepsItsShare(t *testing.T) {
	s := startSite(t, 2, 3, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond, Slots: 64})
	waitFor(t, 5*time.Second, "membership", func() bool {
		return !slices.ContainsFunc(s.Entries, func(in *entry.Instance) bool { return len(in.View().Members) != 3 })
	})
	p := s.EnginePool("assistant-pool")
	p.Upstreams[0].MaxInFlight, p.Upstreams[0].LegacyManaged = 4, true // 3 instances: 1, 1 and 2
	out, err := catalogue.Sync(context.Background(), platform.NewClient(s.PlatformURL, nil), catalogue.File{Pools: []catalogue.Pool{p}}, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.WaitApplied(out, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	for i := range 60 {
		g.Go(func() error {
			status, _, last := generate(t, s.Entries[i%3].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprint("share-", i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 20})
			if status != http.StatusOK || !last.Done {
				return fmt.Errorf("request %d: status %d, %+v", i, status, last)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := s.Engines[0].PeakRequests(); n < 2 || n > 4 {
		t.Fatalf("shared engine held %d requests at once, want 2 to its share of 4", n)
	}
	nameVersion(t, s, 0, 2)
	waitFor(t, 5*time.Second, "our engine at version 2", func() bool { return s.Engines[1].Version() == 2 })
	if v := s.Engines[0].Version(); v != 1 {
		t.Fatalf("engine that the older system orders was ordered to version %d", v)
	}
}

// An instance that is not among the members it sees takes none of a shared
// engine: the others share all of it between them.
func TestSharedEngineIsNotUsedByAnUncountedInstance(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, Slots: 64})
	p := s.EnginePool("assistant-pool")
	p.Upstreams[0].MaxInFlight, p.Upstreams[0].LegacyManaged = 4, true
	if err := s.Apply(catalogue.File{Pools: []catalogue.Pool{p}}); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	s.Platform.Put("member/entry-0", lease.Lease{Holder: "another", RenewedAt: now, ExpiresAt: now.Add(time.Hour), Data: []byte(`{"id":"another"}`)})
	waitFor(t, 5*time.Second, "the instance to miss itself", func() bool {
		m := s.Entries[0].View().Members
		return len(m) == 1 && m[0].ID == "another"
	})
	before := s.Engines[0].Requests()
	for i := range 20 {
		if status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
			RequestID: fmt.Sprint("uncounted-", i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 2}); !last.Done {
			t.Fatalf("status %d, %+v", status, last)
		}
	}
	if n := s.Engines[0].Requests() - before; n != 0 {
		t.Fatalf("%d requests to an engine of which this instance has no share", n)
	}
}

// A request that waits in a busy engine's queue for longer than the idle
// timeout is not taken for one on a dead connection: it is answered by that
// engine, which keeps its good name; so is a stream that stands still while
// its engine loads weights.
func TestBusyEngineIsNotSilent(t *testing.T) {
	s, err := site.Start(site.Config{Engines: 1, Entries: 1, Entry: entry.Config{IdleTimeout: 400 * time.Millisecond},
		Engine: enginetest.Config{WeightVersion: 1, Slots: 1, TokenInterval: 20 * time.Millisecond,
			WeightStore: &enginetest.WeightStore{FetchTime: 2 * time.Second, FullRateFetches: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	f := catalogue.File{Pools: []catalogue.Pool{s.EnginePool("assistant-pool")}, Entries: []catalogue.Entry{
		{Name: "chat", Owner: "minho", Class: catalogue.Interactive, Pool: "assistant-pool", Limits: catalogue.Limits{MaxInFlight: 8, MaxTokens: 64}}}}
	if err := s.Apply(f); err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	for i := range 3 { // each takes 1.2 s of the one slot
		g.Go(func() error {
			status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprint("busy-", i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 60})
			if status != http.StatusOK || !last.Done {
				return fmt.Errorf("request %d: status %d, %+v", i, status, last)
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := loadVersion(s, 0, 2); err != nil { // 2 s, in the middle of the first
		t.Fatal(err)
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n, e := s.Engines[0].Requests(), s.Entries[0].Counter("upstream_errors"); n != 3 || e != 0 {
		t.Fatalf("3 requests reached the engine %d times, with %d errors", n, e)
	}
}

// TestOwnRequestsCountOnce checks that an engine's report, which counts this
// instance's own requests too, does not make the engine of a prefix look twice
// as busy as it is: requests within the slack all go to the prefix's cache.
func TestOwnRequestsCountOnce(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 10 * time.Millisecond})
	var g errgroup.Group
	send := func(i int) {
		g.Go(func() error {
			_, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprintf("own%d", i), Prompt: "one prefix", MaxTokens: 100})
			if !last.Done {
				return fmt.Errorf("last %+v", last)
			}
			return nil
		})
	}
	const within = 4 // the slack, and one
	for i := range within - 1 {
		send(i)
	}
	waitFor(t, 5*time.Second, "the requests in the engines' reports", func() bool {
		view := s.Entries[0].View()
		a, _ := view.Report(s.EngineAddrs[0])
		b, _ := view.Report(s.EngineAddrs[1])
		return a.Active+b.Active == within-1
	})
	send(within - 1)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if a, b := s.Engines[0].Requests(), s.Engines[1].Requests(); a != 0 && b != 0 {
		t.Fatalf("engines took %d and %d requests of one prefix; want all at one", a, b)
	}
}
