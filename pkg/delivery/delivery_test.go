package delivery_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
	"github.com/zinnialadder/zinnialadder/pkg/trainer/trainertest"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// fixture is a platform, a trainer and a Sender.
type fixture struct {
	table   *platformtest.Server
	trainer *trainertest.Server
	entry   catalogue.Entry
	sender  *delivery.Sender
	sends   errgroup.Group
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{table: platformtest.New(), trainer: &trainertest.Server{}}
	table, tr := httptest.NewServer(b.table.Handler()), httptest.NewServer(b.trainer.Handler())
	t.Cleanup(table.Close)
	t.Cleanup(tr.Close)
	b.entry = catalogue.Entry{Name: "drafts", Owner: "minho", Pool: "pool", Trainer: strings.TrimPrefix(tr.URL, "http://"), MaxVersionLag: 1}
	view := control.New(control.Member{ID: "a"}, control.Timing{}).View
	var attempts atomic.Int64
	c := metrics.NewCounter
	b.sender = delivery.NewSender(delivery.Config{Platform: platform.NewClient(table.URL, nil).WithTimeout(time.Second), Clock: clock.System{},
		Logger: log.New(io.Discard), HTTP: http.DefaultClient, View: func() *control.View { return view },
		NewAttemptID: func() string { return fmt.Sprint("a/", attempts.Add(1)) }, Go: func(f func() error) { b.sends.Go(f) }, SendContext: context.Background(),
		Counters: delivery.Counters{Delivered: c(), Stale: c(), Lost: c(), Retries: c(), Redelivered: c()}})
	return b
}

func sample(id string, versions ...uint64) trainer.Sample {
	return trainer.Sample{ID: id, Customer: "minho", Entry: "drafts", WeightVersions: versions, Tokens: 1, Text: "t"}
}

// The trainer's acknowledgement and the platform's response to the record are lost. The
// sample still reaches the trainer, is accepted once and leaves no record.
func TestSampleIsDeliveredOnce(t *testing.T) {
	b := newFixture(t)
	b.trainer.DropAcks(1)
	b.table.SetFaults(platformtest.Faults{LoseReplies: 1})
	if id := b.sender.RecordAndSend(context.Background(), b.entry, sample("s1", 1)); id != "s1" {
		t.Fatalf("got sample ID %q, want s1", id)
	}
	if err := b.sends.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := b.trainer.Received(); len(got) != 1 || len(b.table.Rows("delivery/")) != 0 {
		t.Fatalf("trainer holds %+v, records left %v; want all samples and no records", got, b.table.Rows("delivery/"))
	}
}

// If two requests produce the same sample, the first one records it and the second one gets
// ErrAlreadyRecorded. Recording it again by the first succeeds.
func TestOneRecordPerSample(t *testing.T) {
	b := newFixture(t)
	ctx := context.Background()
	first, second := b.sender.NewRecord(b.entry, "s1", sample("s1", 1)), b.sender.NewRecord(b.entry, "s1", sample("s1", 1))
	if _, err := b.sender.CommitRecord(ctx, b.entry, first); err != nil {
		t.Fatal(err)
	}
	if _, err := b.sender.CommitRecord(ctx, b.entry, second); !errors.Is(err, delivery.ErrAlreadyRecorded) {
		t.Fatalf("second request: got error %v, want ErrAlreadyRecorded", err)
	}
	if _, err := b.sender.CommitRecord(ctx, b.entry, first); err != nil {
		t.Fatalf("first request again: got error %v", err)
	}
}

// A sample that is too old when it is recorded is rejected, even if this instance does not
// know the target version yet.
func TestStaleSampleIsRejected(t *testing.T) {
	b := newFixture(t)
	b.table.Put(weights.TargetPrefix+"pool", weights.Target{Pool: "pool", Version: 5})
	ctx := context.Background()
	if _, err := b.sender.CommitRecord(ctx, b.entry, b.sender.NewRecord(b.entry, "old", sample("old", 4, 3))); !errors.Is(err, delivery.ErrTooStale) {
		t.Fatalf("sample two versions behind: got error %v, want ErrTooStale", err)
	}
	if _, err := b.sender.CommitRecord(ctx, b.entry, b.sender.NewRecord(b.entry, "new", sample("new", 4, 5))); err != nil {
		t.Fatalf("sample one version behind: got error %v", err)
	}
}

// Sweep sends the records that an instance left behind, but not records that are too recent
// to have been left behind.
func TestSweep(t *testing.T) {
	b := newFixture(t)
	ctx := context.Background()
	for i := range 3 {
		id := fmt.Sprint("s", i)
		if _, err := b.sender.CommitRecord(ctx, b.entry, b.sender.NewRecord(b.entry, id, sample(id, 1))); err != nil {
			t.Fatal(err)
		}
	}
	if sent, err := b.sender.Sweep(ctx, time.Now().Add(-time.Minute)); sent != 0 || err != nil {
		t.Fatalf("sweep of recent records: got %d sent, error %v; want 0 sent", sent, err)
	}
	if sent, err := b.sender.Sweep(ctx, time.Now().Add(time.Minute)); sent != 3 || err != nil {
		t.Fatalf("sweep of old records: got %d sent, error %v; want 3 sent", sent, err)
	}
	if got := b.trainer.Received(); len(got) != 3 || len(b.table.Rows("delivery/")) != 0 {
		t.Fatalf("trainer holds %+v, records left %v; want all samples and no records", got, b.table.Rows("delivery/"))
	}
}
