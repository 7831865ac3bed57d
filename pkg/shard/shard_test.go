package shard_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/shard"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/trainer/trainertest"
)

// harness is a platform, a trainer, and a step stored in the platform.
type harness struct {
	t       *testing.T
	table   *platformtest.Server
	client  *platform.Client
	trainer *trainertest.Server
	view    *control.View
	spec    step.Spec
	sends   errgroup.Group

	mu        sync.Mutex
	generated map[string]int // attempts that returned a sample, by its ID
}

func newHarness(t *testing.T, groups, size int) *harness {
	t.Helper()
	h := &harness{t: t, table: platformtest.New(), trainer: &trainertest.Server{}, generated: map[string]int{}}
	table, tr := httptest.NewServer(h.table.Handler()), httptest.NewServer(h.trainer.Handler())
	t.Cleanup(table.Close)
	t.Cleanup(tr.Close)
	h.client = platform.NewClient(table.URL, nil).WithTimeout(time.Second)
	h.view = control.New(control.Member{ID: "a"}, control.Timing{}).View
	h.view.Entries["drafts"] = catalogue.Entry{Name: "drafts", Owner: "minho", Class: catalogue.Training, Pool: "pool",
		Trainer: strings.TrimPrefix(tr.URL, "http://"), Limits: catalogue.Limits{MaxInFlight: 8}}
	h.spec = step.Spec{Customer: "minho", Entry: "drafts", ID: "s1", Desired: groups, Deadline: time.Now().Add(time.Minute)}
	for g := range groups {
		h.spec.Groups = append(h.spec.Groups, step.Group{ID: fmt.Sprint("g", g), Prompt: "p", Size: size, MaxTokens: 1})
	}
	data, err := json.Marshal(h.spec)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.client.PutObject(context.Background(), step.ObjectName(h.spec.Key(), h.spec.Digest()), data); err != nil {
		t.Fatal(err)
	}
	h.table.Put(step.HeadKey(h.spec.Key()), step.NewHead(h.spec, groups))
	return h
}

// config returns the configuration of a process with the given name. Each attempt takes
// as long as work returns.
func (h *harness) config(name string, work func() time.Duration) shard.Config {
	var attempts atomic.Int64
	c := metrics.NewCounter
	counters := delivery.Counters{Delivered: c(), Stale: c(), Lost: c(), Retries: c(), Redelivered: c()}
	view := func() *control.View { return h.view }
	return shard.Config{Platform: h.client, Clock: clock.System{}, Logger: log.New(io.Discard), Holder: name, View: view,
		Samples: delivery.NewSender(delivery.Config{Platform: h.client, Clock: clock.System{}, Logger: log.New(io.Discard), HTTP: http.DefaultClient,
			View: view, NewAttemptID: func() string { return fmt.Sprint(name, "/", attempts.Add(1)) }, Go: func(f func() error) { h.sends.Go(f) },
			SendContext: context.Background(), Counters: counters}),
		Generate: func(ctx context.Context, a shard.Attempt) (trainer.Sample, error) {
			if !clock.Sleep(ctx, work()) {
				return trainer.Sample{}, ctx.Err()
			}
			id := fmt.Sprintf("minho.drafts.%s.%d", a.Spec.Groups[a.Group].ID, a.Index)
			h.mu.Lock()
			defer h.mu.Unlock()
			h.generated[id]++
			return trainer.Sample{ID: id, Customer: "minho", Entry: "drafts", Group: a.Spec.Groups[a.Group].ID, WeightVersions: []uint64{1}, Tokens: 1}, nil
		},
		Policy: step.Policy{RetryDelay: 10 * time.Millisecond}, TickInterval: 5 * time.Millisecond, DrainTimeout: time.Second, Stale: counters.Stale}
}

func (h *harness) id() control.ShardID { return control.ShardID{Step: h.spec.Key()} }

// runUntilClosed runs the shard until its step is closed. A run ends when its calls to
// the platform get no answer, so it starts another as an instance would.
func (h *harness) runUntilClosed(ctx context.Context, cfg shard.Config) {
	h.t.Helper()
	for {
		err := shard.Run(ctx, cfg, h.id(), 300*time.Millisecond)
		if ctx.Err() != nil {
			h.t.Fatalf("step not closed in time; last run: %v", err)
		}
		head, _, rerr := step.ReadHead(ctx, h.client, h.spec.Key())
		if rerr == nil && head.Closed != "" {
			break
		}
	}
	_ = h.sends.Wait() // its functions return nil
}

// check checks that the trainer holds each sample of the step once and that the step is
// closed as complete.
func (h *harness) check() {
	h.t.Helper()
	want := 0
	for _, g := range h.spec.Groups {
		want += g.Size
	}
	got := h.trainer.Received()
	if len(got) != want {
		h.t.Fatalf("samples at the trainer: got %d, want %d", len(got), want)
	}
	head, _, err := step.ReadHead(context.Background(), h.client, h.spec.Key())
	if err != nil || head.Closed != step.Complete {
		h.t.Fatalf("ReadHead: got %+v, %v, want a head closed as %q", head, err, step.Complete)
	}
}

// A shard runs until the trainer holds the desired groups and closes the step, although
// replies of the platform and acknowledgements of the trainer are lost.
func TestShardCompletesStep(t *testing.T) {
	h := newHarness(t, 3, 2)
	h.trainer.DropAcks(2)
	h.table.SetFaults(platformtest.Faults{LoseReplies: 2})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	h.runUntilClosed(ctx, h.config("a", func() time.Duration { return time.Millisecond }))
	h.check()
}

// When a lease holder drains, the next one generates only the samples that were not
// recorded, and the trainer holds none twice.
func TestShardHandOver(t *testing.T) {
	h := newHarness(t, 6, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	firstCtx, drain := context.WithCancel(ctx)
	n := 0
	var mu sync.Mutex
	firstSixFast := func() time.Duration { // later generations do not end
		mu.Lock()
		defer mu.Unlock()
		if n++; n > 6 {
			return time.Hour
		}
		return time.Millisecond
	}
	ended := make(chan error, 1)
	var g errgroup.Group
	g.Go(func() error {
		ended <- shard.Run(firstCtx, h.config("a", firstSixFast), h.id(), 300*time.Millisecond)
		return nil
	})
	for deadline := time.Now().Add(10 * time.Second); len(h.trainer.Received()) < 4; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("samples at the trainer after 10 s: got %d, want at least 4", len(h.trainer.Received()))
		}
	}
	drain()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("Run of the draining holder: got %v, want context.Canceled", err)
	}
	held := len(h.trainer.Received())
	h.runUntilClosed(ctx, h.config("b", func() time.Duration { return time.Millisecond }))
	h.check()
	repeated := 0
	for _, n := range h.generated {
		if n > 1 {
			repeated++
		}
	}
	if repeated > len(h.generated)-held {
		t.Fatalf("samples generated twice: got %d of %d, want at most the %d not held at the hand-over", repeated, len(h.generated), len(h.generated)-held)
	}
}
