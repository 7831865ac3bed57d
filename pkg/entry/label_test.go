package entry_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// A draft that spans a weight change names both versions, as the engine's
// own record of the request has them, at the caller and at the trainer.
func TestLabelSpansWeightChange(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 5, TokenInterval: 5 * time.Millisecond})
	var g errgroup.Group
	var last entry.Event
	req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "swap-1", Prompt: "p", MaxTokens: 40}
	g.Go(func() error { _, _, last = generate(t, s.Entries[0].Addr(), req); return nil })
	time.Sleep(60 * time.Millisecond) // about a dozen tokens in
	if err := engine.NewClient(s.EngineAddrs[0], nil).Load(context.Background(), engine.LoadOrder{Version: 6, Fencing: 1}); err != nil {
		t.Fatal(err)
	}
	_ = g.Wait()
	truth := s.Engines[0].Versions("minho.swap-1")
	if !slices.Equal(truth, []uint64{5, 6}) || !slices.Equal(last.WeightVersions, truth) {
		t.Fatalf("caller's label %v, engine's record %v, want [5 6]", last.WeightVersions, truth)
	}
	waitFor(t, 5*time.Second, "the sample at the trainer", func() bool { return len(s.Trainer.Received()) == 1 })
	if got := s.Trainer.Received()[0].Sample.WeightVersions; !slices.Equal(got, truth) {
		t.Fatalf("trainer's label %v, engine's record %v", got, truth)
	}
}
