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

// Crashed engines always have the lowest load. They must not attract requests: with four of
// six engines crashed and the others busy, every request must complete.
func TestCrashedEnginesAttractNoRequests(t *testing.T) {
	s := startSite(t, 6, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	for i := range 4 {
		s.CrashEngine(i)
	}
	for i := 0; i < 40; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("crash-", i),
			Prompt: fmt.Sprint("prompt ", i), MaxTokens: 4}
		if status, _, last := generate(t, s.Entries[0].Addr(), req); status != http.StatusOK || !last.Done {
			t.Fatalf("request %d: got status %d and last event %+v, want a complete response", i, status, last)
		}
	}
	if n := s.Entries[0].Counter("upstream_errors"); n > 16 {
		t.Fatalf("got %d attempts at crashed engines for 40 requests, want at most 16", n)
	}
}

// An engine that is leaving according to the platform's delayed instance list or its own
// report must get no new requests, even though it is live in the catalogue.
func TestEngineReportedLeavingGetsNoNewRequests(t *testing.T) {
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
			waitFor(t, 5*time.Second, "both instances to see the engine leaving", func() bool {
				return s.Entries[0].View().UpstreamLeaving(s.EngineAddrs[0]) && s.Entries[1].View().UpstreamLeaving(s.EngineAddrs[0])
			})
			before := s.Engines[0].Requests()
			for i := 0; i < 30; i++ {
				req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("leave-", i),
					Prompt: fmt.Sprint("prompt ", i), MaxTokens: 2}
				generate(t, s.Entries[i%2].Addr(), req)
			}
			if n := s.Engines[0].Requests() - before; n != 0 {
				t.Fatalf("leaving engine got %d new requests, want 0", n)
			}
		})
	}
}

// Training must not use up an instance's capacity: while training requests are at their
// limit, interactive requests must still be admitted.
func TestTrainingLeavesCapacityForInteractive(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond, Slots: 256})
	submit(t, s, 0, stepSpec("crowd", 64, 8, 64)) // 512 generations for 64 slots
	waitFor(t, 5*time.Second, "training requests to reach their limit", func() bool { return s.Entries[0].Counter("refused_admission") > 0 })
	for i := 0; i < 5; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("agent-", i), Prompt: "p", MaxTokens: 2}
		if status, _, last := generate(t, s.Entries[0].Addr(), req); status != http.StatusOK || !last.Done {
			t.Fatalf("interactive request %d: got status %d and last event %+v, want a complete response", i, status, last)
		}
	}
}

// A customer's limit applies to all of its entries together, and a rejection has the
// verdict not_run and a retry time.
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
	waitFor(t, 5*time.Second, "the first request to start", func() bool { return s.Engines[0].Requests() == 1 })
	if status, v := callOnce(t, s.Entries[0].Addr(), "over"); status != http.StatusTooManyRequests || v.String() != "not_run" {
		t.Fatalf("second request: got status %d and verdict %s, want 429 and not_run", status, v)
	}
	if _ = g.Wait(); first != http.StatusOK {
		t.Fatalf("first request: got status %d, want 200", first)
	}
	if n := s.Executions()["over"]; n != 0 {
		t.Fatalf("rejected call ran %d times, want 0", n)
	}
}

// An engine shared with the legacy system must get no more than its limit from all
// instances together, and no load orders.
func TestSharedEngineLimit(t *testing.T) {
	s := startSite(t, 2, 3, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond, Slots: 64})
	waitFor(t, 5*time.Second, "every instance to see three members", func() bool {
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
				return fmt.Errorf("request %d: got status %d and last event %+v, want a complete response", i, status, last)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := s.Engines[0].PeakRequests(); n < 2 || n > 4 {
		t.Fatalf("shared engine had up to %d concurrent requests, want 2 to 4", n)
	}
	setTarget(t, s, 0, 2)
	waitFor(t, 5*time.Second, "the engine that is not shared at version 2", func() bool { return s.Engines[1].Version() == 2 })
	if v := s.Engines[0].Version(); v != 1 {
		t.Fatalf("engine managed by the legacy system is at version %d, want 1", v)
	}
}

// An instance that is not among the members it sees must not use a shared engine, because
// the others divide the engine's limit among themselves.
func TestSharedEngineIsNotUsedByNonMember(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, Slots: 64})
	p := s.EnginePool("assistant-pool")
	p.Upstreams[0].MaxInFlight, p.Upstreams[0].LegacyManaged = 4, true
	if err := s.Apply(catalogue.File{Pools: []catalogue.Pool{p}}); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	s.Platform.Put("member/entry-0", lease.Lease{Holder: "another", RenewedAt: now, ExpiresAt: now.Add(time.Hour), Data: []byte(`{"id":"another"}`)})
	waitFor(t, 5*time.Second, "the instance to see a membership without itself", func() bool {
		m := s.Entries[0].View().Members
		return len(m) == 1 && m[0].ID == "another"
	})
	before := s.Engines[0].Requests()
	for i := range 20 {
		if status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
			RequestID: fmt.Sprint("uncounted-", i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 2}); !last.Done {
			t.Fatalf("got status %d and last event %+v, want a complete response", status, last)
		}
	}
	if n := s.Engines[0].Requests() - before; n != 0 {
		t.Fatalf("engine of which the instance has no share got %d requests, want 0", n)
	}
}

// A request that is queued at a busy engine for longer than the idle timeout must not be
// treated as lost, and neither must a stream that pauses while its engine loads weights.
// The engine completes both and records no failure.
func TestBusyEngineIsNotTreatedAsSilent(t *testing.T) {
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
	for i := range 3 { // each occupies the only slot for 1.2 s
		g.Go(func() error {
			status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprint("busy-", i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 60})
			if status != http.StatusOK || !last.Done {
				return fmt.Errorf("request %d: got status %d and last event %+v, want a complete response", i, status, last)
			}
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	if err := loadVersion(s, 0, 2); err != nil { // takes 2 s, during the first request
		t.Fatal(err)
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n, e := s.Engines[0].Requests(), s.Entries[0].Counter("upstream_errors"); n != 3 || e != 0 {
		t.Fatalf("3 requests: got %d attempts and %d errors, want 3 and 0", n, e)
	}
}

// The load report of an engine also counts this instance's own requests. They must not be
// counted twice: requests within affinitySlack must all go to the engine that has the
// prompt's prefix cached.
func TestOwnRequestsAreCountedOnce(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 10 * time.Millisecond})
	var g errgroup.Group
	send := func(i int) {
		g.Go(func() error {
			_, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprintf("own%d", i), Prompt: "one prefix", MaxTokens: 100})
			if !last.Done {
				return fmt.Errorf("last event %+v, want Done", last)
			}
			return nil
		})
	}
	const requests = 4 // affinitySlack + 1
	for i := range requests - 1 {
		send(i)
	}
	waitFor(t, 5*time.Second, "the requests to appear in the engines' reports", func() bool {
		view := s.Entries[0].View()
		a, _ := view.Report(s.EngineAddrs[0])
		b, _ := view.Report(s.EngineAddrs[1])
		return a.Active+b.Active == requests-1
	})
	send(requests - 1)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if a, b := s.Engines[0].Requests(), s.Engines[1].Requests(); a != 0 && b != 0 {
		t.Fatalf("engines got %d and %d requests with one prefix, want all at one engine", a, b)
	}
}
