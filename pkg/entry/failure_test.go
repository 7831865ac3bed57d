package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// waitFor polls cond until it holds or within has passed.
func waitFor(t *testing.T, within time.Duration, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A reply lost after the sample's record committed must not lose the
// sample: it reaches the trainer, once.
func TestSampleDeliveredOnceWhenRecordReplyLost(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 3})
	s.Platform.SetFaults(platformtest.Faults{LoseReplies: 1, LosePrefix: "delivery/"})
	req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "lost-1", Prompt: "p", MaxTokens: 5}
	if status, _, last := generate(t, s.Entries[0].Addr(), req); status != http.StatusOK || !last.Done {
		t.Fatalf("status %d last %+v", status, last)
	}
	waitFor(t, 5*time.Second, "the trainer holds the sample", func() bool { return len(s.Trainer.Received()) == 1 })
	if got := s.Trainer.Received()[0]; got.Deliveries != 1 || got.Sample.WeightVersions[0] != 3 {
		t.Fatalf("trainer holds %+v, want one delivery labelled [3]", got)
	}
}

// An engine that goes silent on an open connection must not hold the
// caller until the deadline: the generation moves to another engine.
func TestSilentEngineDoesNotHoldTheCaller(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1})
	for _, e := range s.Engines[:1] {
		e.SetFaults(enginetest.Faults{Silent: true})
	}
	start := time.Now()
	for i := 0; i < 4; i++ { // several prompts, so that affinity meets the silent engine
		req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("silent-%d", i),
			Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: 3}
		if _, _, last := generate(t, s.Entries[0].Addr(), req); !last.Done {
			t.Fatalf("request %d: %+v", i, last)
		}
	}
	// The idle timeout is 200 ms in startSite; the upstream timeout 60 s.
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("took %v with one silent engine", took)
	}
}

// A sample recorded by an instance that died before sending it reaches its
// trainer, once, through the sweeper of a live instance.
func TestSampleOfDeadInstanceIsSwept(t *testing.T) {
	s := startSite(t, 1, 2, enginetest.Config{})
	smp := trainer.Sample{ID: "minho.drafts.orphan", Customer: "minho", Entry: "drafts", WeightVersions: []uint64{2}, Tokens: 3}
	op, _ := platform.Put("delivery/"+smp.ID, 0, entry.DeliveryRecord{Samples: []trainer.Sample{smp}, Trainer: s.TrainerAddr, Holder: "entry-dead",
		CreatedAt: time.Now().Add(-time.Minute)})
	if _, err := platform.NewClient(s.PlatformURL, nil).Commit(context.Background(), op); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "the orphan is delivered and its record gone", func() bool {
		return len(s.Trainer.Received()) == 1 && len(s.Platform.Rows("delivery/")) == 0
	})
	time.Sleep(300 * time.Millisecond) // several more sweeps
	if got := s.Trainer.Received()[0]; got.Deliveries != 1 || got.Sample.ID != smp.ID {
		t.Fatalf("trainer holds %+v, want one delivery of %s", got, smp.ID)
	}
}

// A trainer that is away holds up no other trainer's samples: records left
// behind are swept for each trainer by itself.
func TestTrainerAwayHoldsUpNoOther(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	away := startRelay(t, "127.0.0.1:9") // takes connections and drops them
	for i := range 20 {
		for name, addr := range map[string]string{"a-away": away.Addr(), "b-here": s.TrainerAddr} {
			id := fmt.Sprintf("%s-%d", name, i)
			s.Platform.Put("delivery/"+id, entry.DeliveryRecord{Samples: []trainer.Sample{{ID: id, WeightVersions: []uint64{1}}}, Trainer: addr,
				CreatedAt: time.Now().Add(-time.Minute)})
		}
	}
	waitFor(t, 5*time.Second, "the other trainer's samples", func() bool { return len(s.Trainer.Received()) == 20 })
	waitFor(t, 5*time.Second, "the 20 records of the trainer that is away left", func() bool {
		return len(s.Platform.Rows("delivery/")) == 20
	})
}

// A shutdown does not wait out a trainer that is away: what is recorded for it
// is left to the instance that sweeps.
func TestShutdownDoesNotWaitForATrainerAway(t *testing.T) {
	s := startSite(t, 1, 2, enginetest.Config{WeightVersion: 1})
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	e := s.Entries[0].View().Entries["drafts"]
	e.Trainer = silent.Addr().String()
	out, err := catalogue.Sync(context.Background(), platform.NewClient(s.PlatformURL, nil), catalogue.File{Entries: []catalogue.Entry{e}}, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.WaitApplied(out, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "left", Prompt: "p", MaxTokens: 3})
	s.StopEntry(0)
	select {
	case <-s.EntryDone(0):
	case <-time.After(10 * time.Second):
		t.Fatal("still shutting down after 10 s")
	}
	if n := len(s.Platform.Rows("delivery/")); n != 1 {
		t.Fatalf("%d records left for the sweeper, want 1", n)
	}
}
