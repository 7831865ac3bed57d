package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// setTarget sets the target version of the pool of entry drafts to v at instance i, and
// returns the response status.
func setTarget(t testing.TB, s *site.Site, i int, v uint64) int {
	t.Helper()
	return statusOf(t, entry.NewClient(s.Entries[i].Addr(), nil).SetTargetVersion(context.Background(),
		entry.WeightsRequest{Customer: "minho", Entry: "drafts", Version: v}))
}

func allAtVersion(s *site.Site, v uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.Engines, func(e *enginetest.Server) bool { return e.Version() != v })
	}
}

// A target version must reach every engine with one load order each, and never more engines
// may load at the same time than the pool's budget allows. An older version must be
// rejected.
func TestRolloutReachesEveryEngineWithinItsBudget(t *testing.T) {
	store := &enginetest.WeightStore{FetchTime: 60 * time.Millisecond, FullRateFetches: 2}
	s := startSite(t, 6, 3, enginetest.Config{WeightVersion: 1, ChecksFencing: true, WeightStore: store})
	var maxLoading atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		for ctx.Err() == nil {
			n := int64(0)
			for _, e := range s.Engines {
				if e.Loading() {
					n++
				}
			}
			maxLoading.Store(max(maxLoading.Load(), n))
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	for v := uint64(2); v <= 4; v++ {
		if status := setTarget(t, s, int(v)%3, v); status != http.StatusOK {
			t.Fatalf("set target version %d: got status %d, want 200", v, status)
		}
		waitFor(t, 10*time.Second, fmt.Sprintf("every engine at version %d", v), allAtVersion(s, v))
	}
	cancel()
	_ = g.Wait()
	if m := maxLoading.Load(); m != 2 { // a third of 6 engines
		t.Fatalf("got up to %d engines loading at the same time, want 2", m)
	}
	for i, e := range s.Engines {
		if e.Loads() != 3 {
			t.Errorf("engine %d: got %d loads for 3 versions, want 3", i, e.Loads())
		}
	}
	if status := setTarget(t, s, 0, 3); status != http.StatusConflict {
		t.Fatalf("set older target version: got status %d, want 409", status)
	}
	if status := setTarget(t, s, 0, 4); status != http.StatusOK {
		t.Fatalf("set current target version again: got status %d, want 200", status)
	}
}

// A failed weight load must be ordered again until it succeeds. Until then generations must
// be labelled with the versions that the engines really hold.
func TestRolloutRetriesFailedLoads(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{WeightVersion: 1})
	s.Engines[1].SetFaults(enginetest.Faults{RefuseLoad: true})
	setTarget(t, s, 0, 2)
	waitFor(t, 10*time.Second, "the other engines at version 2", func() bool { return s.Engines[0].Version() == 2 && s.Engines[2].Version() == 2 })
	for i := 0; i < 8; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprint("swap-fail-", i),
			Prompt: fmt.Sprint("prompt ", i), MaxTokens: 3}
		_, _, last := generate(t, s.Entries[0].Addr(), req)
		var recorded []uint64
		for _, e := range s.Engines {
			recorded = append(recorded, e.Versions("minho."+req.RequestID)...)
		}
		if !slices.Equal(last.WeightVersions, recorded) {
			t.Fatalf("weight versions: response has %v, engines recorded %v", last.WeightVersions, recorded)
		}
	}
	if v := s.Engines[1].Version(); v != 1 {
		t.Fatalf("engine that rejects loads is at version %d, want 1", v)
	}
	s.Engines[1].SetFaults(enginetest.Faults{})
	waitFor(t, 10*time.Second, "every engine at version 2", allAtVersion(s, 2))
}

// An order of a lease holder that was paused arrives late. An engine that checks fencing
// tokens must reject it. An engine that does not obeys it, and the current lease holder
// must correct that.
func TestLateOrderOfPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks_fencing=%t", checks), func(t *testing.T) {
			s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1, ChecksFencing: checks})
			for v := uint64(2); v <= 3; v++ {
				setTarget(t, s, 0, v)
				waitFor(t, 10*time.Second, "every engine at the target version", allAtVersion(s, v))
			}
			err := engine.NewClient(s.EngineAddrs[0], nil).Load(context.Background(), engine.LoadOrder{Version: 2, Fencing: 1})
			if refused := err != nil; refused != checks {
				t.Fatalf("late order: got error %v, want an error only if the engine checks fencing tokens", err)
			}
			waitFor(t, 10*time.Second, "every engine at version 3 again", allAtVersion(s, 3))
		})
	}
}

// If the instance that runs a rollout stops, another instance must complete the rollout.
func TestRolloutSurvivesItsHolder(t *testing.T) {
	store := &enginetest.WeightStore{FetchTime: 100 * time.Millisecond, FullRateFetches: 1}
	s := startSite(t, 6, 3, enginetest.Config{WeightVersion: 1, ChecksFencing: true, WeightStore: store})
	setTarget(t, s, 0, 2)
	holder := -1
	waitFor(t, 5*time.Second, "a first load order", func() bool {
		holder = slices.IndexFunc(s.Entries, func(in *entry.Instance) bool { return in.Counter("load_orders") > 0 })
		return holder >= 0
	})
	s.StopEntry(holder)
	waitFor(t, 20*time.Second, "every engine at version 2", allAtVersion(s, 2))
}

// An engine's stream repeats or skips chunks or has chunks of another request. The caller
// must still get the complete response to its own request.
func TestFaultyChunksNeverReachTheCaller(t *testing.T) {
	faults := map[string]enginetest.Faults{"duplicate": {DuplicateChunks: true}, "foreign": {ForeignChunk: true}, "gap": {DropChunk: true}}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1})
			s.Engines[0].SetFaults(f)
			for i := 0; i < 24; i++ { // many prompts, so that affinity selects the faulty engine for some
				req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("faulty-", i),
					Prompt: fmt.Sprint("prompt ", i), MaxTokens: 8}
				_, text, last := generate(t, s.Entries[0].Addr(), req)
				if !last.Done {
					t.Fatalf("request %d: got last event %+v, want Done", i, last)
				}
				if err := checkResponse(req.Prompt, text, req.MaxTokens); err != nil {
					t.Fatalf("request %d: %v; got text %q", i, err, text)
				}
			}
			if s.Engines[0].Requests() == 0 {
				t.Fatal("faulty engine got no requests")
			}
		})
	}
}

// A sample must be checked against the target version in the table, not the one that the
// instance last read. Here the instance has not yet read the newer target, and the sample
// must be rejected.
func TestStaleSampleIsRejectedByTable(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond})
	var g errgroup.Group
	var last entry.Event
	g.Go(func() error {
		_, _, last = generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "drafts",
			RequestID: "stale", Prompt: "p", MaxTokens: 20})
		return nil
	})
	time.Sleep(90 * time.Millisecond) // near the end of the stream
	writeTarget(t, s, 3)
	_ = g.Wait()
	time.Sleep(200 * time.Millisecond)
	if got := s.Trainer.Received(); last.SampleID != "" || len(got) != 0 {
		t.Fatalf("got sample ID %q with weight versions %v and %d samples at the trainer, want none with target version 3", last.SampleID, last.WeightVersions, len(got))
	}
	if last.Verdict != nil && *last.Verdict == verdict.NotRun {
		t.Fatal("generation that ran got verdict not_run")
	}
}

// writeTarget writes the pool's target version without updating the revision row, so that
// the instances do not notice it.
func writeTarget(t *testing.T, s *site.Site, v uint64) {
	t.Helper()
	op, _ := platform.Put(weights.TargetPrefix+"assistant-pool", 0, weights.Target{Pool: "assistant-pool", Version: v})
	if _, err := platform.NewClient(s.PlatformURL, nil).Commit(context.Background(), op); err != nil {
		t.Fatal(err)
	}
}
