package enginetest_test

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
)

func readAll(t *testing.T, c *engine.Client, req engine.GenerateRequest) {
	t.Helper()
	s, err := c.Generate(context.Background(), req)
	if err != nil {
		t.Error(err)
		return
	}
	defer s.Close()
	for {
		ch, err := s.Next()
		if err != nil || ch.Done {
			return
		}
	}
}

// With its only slot busy, the fake must start a queued interactive stream before a
// training stream that was queued earlier, and it counts prefix cache hits.
func TestPriorityAndPrefixCache(t *testing.T) {
	e := enginetest.New(enginetest.Config{Slots: 1, TokenInterval: time.Millisecond})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	c := engine.NewClient(srv.Listener.Addr().String(), nil)
	var g errgroup.Group
	g.Go(func() error {
		readAll(t, c, engine.GenerateRequest{RequestID: "busy", Prompt: "a", MaxTokens: 50})
		return nil
	})
	time.Sleep(10 * time.Millisecond)
	var mu sync.Mutex
	var order []string
	run := func(id string, p engine.Priority) func() error {
		return func() error {
			readAll(t, c, engine.GenerateRequest{RequestID: id, Prompt: "a", MaxTokens: 1, Priority: p})
			mu.Lock()
			order = append(order, id)
			mu.Unlock()
			return nil
		}
	}
	g.Go(run("training", engine.PriorityTraining))
	time.Sleep(10 * time.Millisecond)
	g.Go(run("interactive", engine.PriorityInteractive))
	_ = g.Wait()
	if len(order) != 2 || order[0] != "interactive" {
		t.Fatalf("finished in order %v, want interactive, training", order)
	}
	rep, err := c.LoadReport(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if rep.CacheMisses != 1 || rep.CacheHits != 2 {
		t.Fatalf("cache hits, misses = %d, %d; want 2, 1", rep.CacheHits, rep.CacheMisses)
	}
}
