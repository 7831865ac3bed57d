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

// A generation during which the engine loads new weights must be labelled with both
// versions, as the engine recorded them, in the response and in the sample.
func TestGenerationAcrossWeightChange(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 5, TokenInterval: 5 * time.Millisecond})
	var g errgroup.Group
	var last entry.Event
	req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "swap-1", Prompt: "p", MaxTokens: 40}
	g.Go(func() error { _, _, last = generate(t, s.Entries[0].Addr(), req); return nil })
	time.Sleep(60 * time.Millisecond) // after about a dozen tokens
	if err := engine.NewClient(s.EngineAddrs[0], nil).Load(context.Background(), engine.LoadOrder{Version: 6, Fencing: 1}); err != nil {
		t.Fatal(err)
	}
	_ = g.Wait()
	recorded := s.Engines[0].Versions("minho.swap-1")
	if !slices.Equal(recorded, []uint64{5, 6}) || !slices.Equal(last.WeightVersions, recorded) {
		t.Fatalf("weight versions: response has %v, engine recorded %v, want [5 6]", last.WeightVersions, recorded)
	}
	waitFor(t, 5*time.Second, "the sample at the trainer", func() bool { return len(s.Trainer.Received()) == 1 })
	if got := s.Trainer.Received()[0].Sample.WeightVersions; !slices.Equal(got, recorded) {
		t.Fatalf("weight versions: sample has %v, engine recorded %v", got, recorded)
	}
}
