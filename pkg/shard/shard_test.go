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

// bench is a table, a trainer, and a step kept in the table.
type bench struct {
	t       *testing.T
	table   *platformtest.Server
	client  *platform.Client
	trainer *trainertest.Server
	view    *control.View
	spec    step.Spec
	sends   errgroup.Group

	mu   sync.Mutex
	made map[string]int // attempts that made a sample, by its ID
}

func newBench(t *testing.T, groups, size int) *bench {
	t.Helper()
	b := &bench{t: t, table: platformtest.New(), trainer: &trainertest.Server{}, made: map[string]int{}}
	table, tr := httptest.NewServer(b.table.Handler()), httptest.NewServer(b.trainer.Handler())
	t.Cleanup(table.Close)
	t.Cleanup(tr.Close)
	b.client = platform.NewClient(table.URL, nil).WithTimeout(time.Second)
	b.view = control.New(control.Member{ID: "a"}, control.Timing{}).View
	b.view.Entries["drafts"] = catalogue.Entry{Name: "drafts", Owner: "minho", Class: catalogue.Training, Pool: "pool",
		Trainer: strings.TrimPrefix(tr.URL, "http://"), Limits: catalogue.Limits{MaxInFlight: 8}}
	b.spec = step.Spec{Customer: "minho", Entry: "drafts", ID: "s1", Desired: groups, Deadline: time.Now().Add(time.Minute)}
	for g := range groups {
		b.spec.Groups = append(b.spec.Groups, step.Group{ID: fmt.Sprint("g", g), Prompt: "p", Size: size, MaxTokens: 1})
	}
	data, err := json.Marshal(b.spec)
	if err != nil {
		t.Fatal(err)
	}
	if err := b.client.PutObject(context.Background(), step.ObjectName(b.spec.Key(), b.spec.Digest()), data); err != nil {
		t.Fatal(err)
	}
	b.table.Put(step.HeadKey(b.spec.Key()), step.NewHead(b.spec, groups))
	return b
}

// config returns the configuration of a process named name, whose attempts take
// the time that work returns.
func (b *bench) config(name string, work func() time.Duration) shard.Config {
	var attempts atomic.Int64
	c := metrics.NewCounter
	counters := delivery.Counters{Delivered: c(), Stale: c(), Lost: c(), Retries: c(), Redelivered: c()}
	view := func() *control.View { return b.view }
	return shard.Config{Platform: b.client, Clock: clock.System{}, Logger: log.New(io.Discard), Holder: name, View: view,
		Samples: delivery.NewSender(delivery.Config{Platform: b.client, Clock: clock.System{}, Logger: log.New(io.Discard), HTTP: http.DefaultClient,
			View: view, NewAttemptID: func() string { return fmt.Sprint(name, "/", attempts.Add(1)) }, Go: func(f func() error) { b.sends.Go(f) },
			SendContext: context.Background(), Counters: counters}),
		Generate: func(ctx context.Context, a shard.Attempt) (trainer.Sample, error) {
			if !clock.Sleep(ctx, work()) {
				return trainer.Sample{}, ctx.Err()
			}
			id := fmt.Sprintf("minho.drafts.%s.%d", a.Spec.Groups[a.Group].ID, a.Index)
			b.mu.Lock()
			defer b.mu.Unlock()
			b.made[id]++
			return trainer.Sample{ID: id, Customer: "minho", Entry: "drafts", Group: a.Spec.Groups[a.Group].ID, WeightVersions: []uint64{1}, Tokens: 1}, nil
		},
		Policy: step.Policy{RetryDelay: 10 * time.Millisecond}, TickInterval: 5 * time.Millisecond, DrainTimeout: time.Second, Stale: counters.Stale}
}

func (b *bench) id() control.ShardID { return control.ShardID{Step: b.spec.Key()} }

// runUntilClosed runs the shard until its step is closed: a run whose calls to the
// platform get no answer ends, and its instance begins another.
func (b *bench) runUntilClosed(ctx context.Context, cfg shard.Config) {
	b.t.Helper()
	for {
		err := shard.Run(ctx, cfg, b.id(), 300*time.Millisecond)
		if ctx.Err() != nil {
			b.t.Fatalf("not closed in time: %v", err)
		}
		head, _, rerr := step.ReadHead(ctx, b.client, b.spec.Key())
		if rerr == nil && head.Closed != "" {
			break
		}
	}
	_ = b.sends.Wait() // its functions return nil
}

// check checks that the trainer holds each sample of the step once and that the
// step is closed as complete.
func (b *bench) check() {
	b.t.Helper()
	want := 0
	for _, g := range b.spec.Groups {
		want += g.Size
	}
	got := b.trainer.Received()
	if len(got) != want {
		b.t.Fatalf("the trainer holds %d samples, want %d", len(got), want)
	}
	head, _, err := step.ReadHead(context.Background(), b.client, b.spec.Key())
	if err != nil || head.Closed != step.Complete {
		b.t.Fatalf("head %+v, %v", head, err)
	}
}

// A shard runs until the trainer holds the groups that it waits for, and closes
// the step, though answers of the platform and acknowledgements are lost.
func TestShardCompletesItsStep(t *testing.T) {
	b := newBench(t, 3, 2)
	b.trainer.DropAcks(2)
	b.table.SetFaults(platformtest.Faults{LoseReplies: 2})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	b.runUntilClosed(ctx, b.config("a", func() time.Duration { return time.Millisecond }))
	b.check()
}

// A holder that leaves in good order has its successor make only what it had not
// recorded, and none of it is learned twice.
func TestShardIsHandedOver(t *testing.T) {
	b := newBench(t, 6, 2)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	first, leave := context.WithCancel(ctx)
	n := 0
	var mu sync.Mutex
	some := func() time.Duration { // the groups after the first ones take long
		mu.Lock()
		defer mu.Unlock()
		if n++; n > 6 {
			return time.Hour
		}
		return time.Millisecond
	}
	ended := make(chan error, 1)
	var g errgroup.Group
	g.Go(func() error { ended <- shard.Run(first, b.config("a", some), b.id(), 300*time.Millisecond); return nil })
	for deadline := time.Now().Add(10 * time.Second); len(b.trainer.Received()) < 4; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the trainer holds %d samples", len(b.trainer.Received()))
		}
	}
	leave()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v of the holder that leaves", err)
	}
	held := len(b.trainer.Received())
	b.runUntilClosed(ctx, b.config("b", func() time.Duration { return time.Millisecond }))
	b.check()
	again := 0
	for _, n := range b.made {
		if n > 1 {
			again++
		}
	}
	if again > len(b.made)-held {
		t.Fatalf("%d of %d samples made twice, %d were held at the hand-over", again, len(b.made), held)
	}
}
