package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// A graceful shutdown of an instance cuts off none of its streams in flight.
func TestShutdownCutsNoStreamInFlight(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{TokenInterval: 5 * time.Millisecond, Slots: 16})
	const streams, tokens = 8, 100 // each stream takes about half a second
	var g errgroup.Group
	for i := 0; i < streams; i++ {
		g.Go(func() error {
			req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("shut-%d", i),
				Prompt: "p", MaxTokens: tokens}
			status, _, last := generate(t, s.Entries[0].Addr(), req)
			if status != http.StatusOK || !last.Done || last.Tokens != tokens {
				return fmt.Errorf("stream %d cut: status %d, last %+v", i, status, last)
			}
			return nil
		})
	}
	waitFor(t, 2*time.Second, "streams under way", func() bool {
		return s.Engines[0].Requests()+s.Engines[1].Requests() == streams
	})
	s.StopEntry(0)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

// An upstream marked leaving gets no new work after a few seconds, at
// either of two instances, while callers keep sending.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{Slots: 64})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for w := 0; w < 4; w++ {
		g.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("leave-%d-%d", w, i),
					Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: 1}
				generate(t, s.Entries[i%2].Addr(), req)
			}
			return nil
		})
	}
	leaving := s.Engines[0]
	waitFor(t, 2*time.Second, "load on the engine", func() bool { return leaving.Requests() > 20 })
	var mu sync.Mutex
	marked := time.Now()
	if _, err := catalogue.SetUpstreamState(context.Background(), platform.NewClient(s.PlatformURL, nil),
		"assistant-pool", s.EngineAddrs[0], catalogue.Leaving, "test", marked); err != nil {
		t.Fatal(err)
	}
	last, lastAt := leaving.Requests(), marked
	for deadline := marked.Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if n := leaving.Requests(); n != last {
			mu.Lock()
			last, lastAt = n, time.Now()
			mu.Unlock()
		}
	}
	cancel()
	_ = g.Wait()
	after := lastAt.Sub(marked)
	t.Logf("last new request reached the leaving engine %v after the mark", after)
	// Refresh is 50 ms in startSite; a few seconds is the brief's bound.
	if after > time.Second {
		t.Fatalf("leaving engine got new work %v after the mark", after)
	}
}
