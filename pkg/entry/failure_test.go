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

// waitFor polls cond and fails the test if it does not hold within the given time.
func waitFor(t *testing.T, within time.Duration, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// If the response to the committed record is lost, the sample must still reach the trainer,
// once.
func TestSampleDeliveredOnceWhenRecordResponseLost(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 3})
	s.Platform.SetFaults(platformtest.Faults{LoseReplies: 1, LosePrefix: "delivery/"})
	req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "lost-1", Prompt: "p", MaxTokens: 5}
	if status, _, last := generate(t, s.Entries[0].Addr(), req); status != http.StatusOK || !last.Done {
		t.Fatalf("got status %d and last event %+v, want a complete response", status, last)
	}
	waitFor(t, 5*time.Second, "the sample at the trainer", func() bool { return len(s.Trainer.Received()) == 1 })
	if got := s.Trainer.Received()[0]; got.Deliveries != 1 || got.Sample.WeightVersions[0] != 3 {
		t.Fatalf("trainer got %+v, want one delivery with weight versions [3]", got)
	}
}

// An engine that stops sending on an open connection must not block the caller until the
// deadline. The generation must move to another engine.
func TestSilentEngineDoesNotBlockCaller(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{WeightVersion: 1})
	for _, e := range s.Engines[:1] {
		e.SetFaults(enginetest.Faults{Silent: true})
	}
	start := time.Now()
	for i := 0; i < 4; i++ { // several prompts, so that affinity selects the silent engine for some
		req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("silent-%d", i),
			Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: 3}
		if _, _, last := generate(t, s.Entries[0].Addr(), req); !last.Done {
			t.Fatalf("request %d: got last event %+v, want Done", i, last)
		}
	}
	// startSite sets the idle timeout to 200 ms. The upstream timeout is 60 s.
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("4 requests took %v with one silent engine, want at most 5s", took)
	}
}

// A sample that was recorded by an instance that then crashed must reach its trainer once,
// through the sweeper of another instance.
func TestSampleOfCrashedInstanceIsSwept(t *testing.T) {
	s := startSite(t, 1, 2, enginetest.Config{})
	smp := trainer.Sample{ID: "minho.drafts.orphan", Customer: "minho", Entry: "drafts", WeightVersions: []uint64{2}, Tokens: 3}
	op, _ := platform.Put("delivery/"+smp.ID, 0, entry.DeliveryRecord{Samples: []trainer.Sample{smp}, Trainer: s.TrainerAddr, Holder: "entry-dead",
		CreatedAt: time.Now().Add(-time.Minute)})
	if _, err := platform.NewClient(s.PlatformURL, nil).Commit(context.Background(), op); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "the sample to be delivered and its record deleted", func() bool {
		return len(s.Trainer.Received()) == 1 && len(s.Platform.Rows("delivery/")) == 0
	})
	time.Sleep(300 * time.Millisecond) // several more sweeps
	if got := s.Trainer.Received()[0]; got.Deliveries != 1 || got.Sample.ID != smp.ID {
		t.Fatalf("trainer got %+v, want one delivery of %s", got, smp.ID)
	}
}

// An unavailable trainer must not delay the samples of others: the sweeper handles each
// trainer's records separately.
func TestUnavailableTrainerDoesNotDelayOthers(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	unavailable := startRelay(t, "127.0.0.1:9") // accepts connections and closes them
	for i := range 20 {
		for name, addr := range map[string]string{"a-away": unavailable.Addr(), "b-here": s.TrainerAddr} {
			id := fmt.Sprintf("%s-%d", name, i)
			s.Platform.Put("delivery/"+id, entry.DeliveryRecord{Samples: []trainer.Sample{{ID: id, WeightVersions: []uint64{1}}}, Trainer: addr,
				CreatedAt: time.Now().Add(-time.Minute)})
		}
	}
	waitFor(t, 5*time.Second, "the samples of the available trainer", func() bool { return len(s.Trainer.Received()) == 20 })
	waitFor(t, 5*time.Second, "only the 20 records of the unavailable trainer to be left", func() bool {
		return len(s.Platform.Rows("delivery/")) == 20
	})
}

// A shutdown must not wait for an unavailable trainer. Its samples stay recorded for the
// sweeper.
func TestShutdownDoesNotWaitForUnavailableTrainer(t *testing.T) {
	s := startSite(t, 1, 2, enginetest.Config{WeightVersion: 1})
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
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
		t.Fatal("instance still shutting down after 10 s")
	}
	if n := len(s.Platform.Rows("delivery/")); n != 1 {
		t.Fatalf("got %d records left for the sweeper, want 1", n)
	}
}
