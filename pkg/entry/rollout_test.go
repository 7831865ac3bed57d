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

// nameVersion names version v for the pool of entry drafts at instance i
// and returns the answer's status.
func nameVersion(t testing.TB, s *site.Site, i int, v uint64) int {
	t.Helper()
	return statusOf(t, entry.NewClient(s.Entries[i].Addr(), nil).SetTargetVersion(context.Background(),
		entry.WeightsRequest{Customer: "minho", Entry: "drafts", Version: v}))
}

func allAt(s *site.Site, v uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.Engines, func(e *enginetest.Server) bool { return e.Version() != v })
	}
}

// A named version reaches every engine, each ordered once, with never more
// engines loading than the pool's budget; an older version is refused.
func TestRolloutReachesEveryEngineWithinItsBudget(t *testing.T) {
	store := &enginetest.WeightStore{FetchTime: 60 * time.Millisecond, FullRateFetches: 2}
	s := startSite(t, 6, 3, enginetest.Config{WeightVersion: 1, ChecksFencing: true, WeightStore: store})
	var most atomic.Int64
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
			most.Store(max(most.Load(), n))
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	for v := uint64(2); v <= 4; v++ {
		if status := nameVersion(t, s, int(v)%3, v); status != http.StatusOK {
			t.Fatalf("naming version %d answered %d", v, status)
		}
		waitFor(t, 10*time.Second, fmt.Sprintf("every engine at %d", v), allAt(s, v))
	}
	cancel()
	_ = g.Wait()
	if m := most.Load(); m != 2 { // a third of 6 engines
		t.Fatalf("%d engines loading at once, want the budget of 2", m)
	}
	for i, e := range s.Engines {
		if e.Loads() != 3 {
			t.Errorf("engine %d carried out %d loads for 3 versions", i, e.Loads())
		}
	}
	if status := nameVersion(t, s, 0, 3); status != http.StatusConflict {
		t.Fatalf("naming an older version answered %d, want 409", status)
	}
	if status := nameVersion(t, s, 0, 4); status != http.StatusOK {
		t.Fatalf("naming the version in force again answered %d", status)
	}
}

// A weight swap that fails partway is ordered again until it succeeds, and
// labels tell the versions that engines really held meanwhile.
func TestRolloutRetriesFailedSwaps(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{WeightVersion: 1})
	s.Engines[1].SetFaults(enginetest.Faults{RefuseLoad: true})
	nameVersion(t, s, 0, 2)
	waitFor(t, 10*time.Second, "the other engines at 2", func() bool { return s.Engines[0].Version() == 2 && s.Engines[2].Version() == 2 })
	for i := 0; i < 8; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprint("swap-fail-", i),
			Prompt: fmt.Sprint("prompt ", i), MaxTokens: 3}
		_, _, last := generate(t, s.Entries[0].Addr(), req)
		var truth []uint64
		for _, e := range s.Engines {
			truth = append(truth, e.Versions("minho."+req.RequestID)...)
		}
		if !slices.Equal(last.WeightVersions, truth) {
			t.Fatalf("label %v, engines' records %v", last.WeightVersions, truth)
		}
	}
	if v := s.Engines[1].Version(); v != 1 {
		t.Fatalf("engine with failing swaps holds %d", v)
	}
	s.Engines[1].SetFaults(enginetest.Faults{})
	waitFor(t, 10*time.Second, "every engine at 2", allAt(s, 2))
}

// A holder that was paused wakes and its old order arrives: an engine that
// checks fencing refuses it; one that ignores the number obeys, and the
// holder of the lease now puts it right.
func TestLateOrderOfPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks_fencing=%t", checks), func(t *testing.T) {
			s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1, ChecksFencing: checks})
			for v := uint64(2); v <= 3; v++ {
				nameVersion(t, s, 0, v)
				waitFor(t, 10*time.Second, "every engine at the version named", allAt(s, v))
			}
			err := engine.NewClient(s.EngineAddrs[0], nil).Load(context.Background(), engine.LoadOrder{Version: 2, Fencing: 1})
			if refused := err != nil; refused != checks {
				t.Fatalf("late order answered %v", err)
			}
			waitFor(t, 10*time.Second, "every engine at 3 again", allAt(s, 3))
		})
	}
}

// The instance that runs a rollout goes away with it half done: another
// instance finishes it.
func TestRolloutOutlivesItsHolder(t *testing.T) {
	store := &enginetest.WeightStore{FetchTime: 100 * time.Millisecond, FullRateFetches: 1}
	s := startSite(t, 6, 3, enginetest.Config{WeightVersion: 1, ChecksFencing: true, WeightStore: store})
	nameVersion(t, s, 0, 2)
	holder := -1
	waitFor(t, 5*time.Second, "a rollout begun", func() bool {
		holder = slices.IndexFunc(s.Entries, func(in *entry.Instance) bool { return in.Counter("load_orders") > 0 })
		return holder >= 0
	})
	s.StopEntry(holder)
	waitFor(t, 20*time.Second, "every engine at 2", allAt(s, 2))
}

// Answers whose chunks are repeated, missing or another request's: the
// caller still gets its own whole answer and nothing else.
func TestFaultyChunksNeverReachTheCaller(t *testing.T) {
	faults := map[string]enginetest.Faults{"duplicate": {DuplicateChunks: true}, "foreign": {ForeignChunk: true}, "gap": {DropChunk: true}}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1})
			s.Engines[0].SetFaults(f)
			for i := 0; i < 24; i++ { // many prompts, so that affinity meets the faulty engine
				req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("faulty-", i),
					Prompt: fmt.Sprint("prompt ", i), MaxTokens: 8}
				_, text, last := generate(t, s.Entries[0].Addr(), req)
				if !last.Done {
					t.Fatalf("request %d: %+v", i, last)
				}
				if err := ownAnswer(req.Prompt, text, req.MaxTokens); err != nil {
					t.Fatalf("request %d: %v in %q", i, err, text)
				}
			}
			if s.Engines[0].Requests() == 0 {
				t.Fatal("no request met the faulty engine")
			}
		})
	}
}

// A sample finished while the platform lost sight of newer versions is
// checked against the version in force in the table, not the one this
// instance has read: it is refused.
func TestStaleSampleIsRefusedAtTheTable(t *testing.T) {
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
		t.Fatalf("sample %q of version %v reached the trainer (%d held) with version 3 named", last.SampleID, last.WeightVersions, len(got))
	}
	if last.Verdict != nil && *last.Verdict == verdict.NotRun {
		t.Fatal("a generation that ran was called not run")
	}
}

// writeTarget writes the pool's target behind the instances' backs: without
// the revision row, so that they do not hear of it.
func writeTarget(t *testing.T, s *site.Site, v uint64) {
	t.Helper()
	op, _ := platform.Put(weights.TargetPrefix+"assistant-pool", 0, weights.Target{Pool: "assistant-pool", Version: v})
	if _, err := platform.NewClient(s.PlatformURL, nil).Commit(context.Background(), op); err != nil {
		t.Fatal(err)
	}
}
