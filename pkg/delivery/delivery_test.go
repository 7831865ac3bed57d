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

// bench is a table, a trainer and a Sender between them.
type bench struct {
	table   *platformtest.Server
	trainer *trainertest.Server
	entry   catalogue.Entry
	sender  *delivery.Sender
	sends   errgroup.Group
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{table: platformtest.New(), trainer: &trainertest.Server{}}
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

// A sample reaches its trainer once and leaves no record, though the trainer's
// acknowledgement and the platform's answers are lost on the way.
func TestSampleIsLearnedOnce(t *testing.T) {
	b := newBench(t)
	b.trainer.DropAcks(1)
	b.table.SetFaults(platformtest.Faults{LoseReplies: 1})
	if id := b.sender.RecordAndSend(context.Background(), b.entry, sample("s1", 1)); id != "s1" {
		t.Fatalf("sample %q", id)
	}
	if err := b.sends.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := b.trainer.Received(); len(got) != 1 || len(b.table.Rows("delivery/")) != 0 {
		t.Fatalf("the trainer holds %+v, records left: %v", got, b.table.Rows("delivery/"))
	}
}

// Of two requests that made the same sample one records it; the other is told,
// and sends nothing.
func TestOneRecordForOneSample(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	first, second := b.sender.NewRecord(b.entry, "s1", sample("s1", 1)), b.sender.NewRecord(b.entry, "s1", sample("s1", 1))
	if _, err := b.sender.CommitRecord(ctx, b.entry, first); err != nil {
		t.Fatal(err)
	}
	if _, err := b.sender.CommitRecord(ctx, b.entry, second); !errors.Is(err, delivery.ErrAlreadyRecorded) {
		t.Fatalf("error %v for the second", err)
	}
	if _, err := b.sender.CommitRecord(ctx, b.entry, first); err != nil {
		t.Fatalf("error %v for the first one again", err)
	}
}

// A sample of weights that have grown too old by the time of its record is
// refused, whatever this instance knows of the version in force.
func TestStaleSampleIsRefused(t *testing.T) {
	b := newBench(t)
	b.table.Put(weights.TargetPrefix+"pool", weights.Target{Pool: "pool", Version: 5})
	ctx := context.Background()
	if _, err := b.sender.CommitRecord(ctx, b.entry, b.sender.NewRecord(b.entry, "old", sample("old", 4, 3))); !errors.Is(err, delivery.ErrTooStale) {
		t.Fatalf("error %v for a sample two versions behind", err)
	}
	if _, err := b.sender.CommitRecord(ctx, b.entry, b.sender.NewRecord(b.entry, "new", sample("new", 4, 5))); err != nil {
		t.Fatalf("error %v for a sample one version behind", err)
	}
}

// A sweep sends the records that an instance has left behind, and those only
// that are old enough to have been left.
func TestSweep(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	for i := range 3 {
		id := fmt.Sprint("s", i)
		if _, err := b.sender.CommitRecord(ctx, b.entry, b.sender.NewRecord(b.entry, id, sample(id, 1))); err != nil {
			t.Fatal(err)
		}
	}
	if sent, err := b.sender.Sweep(ctx, time.Now().Add(-time.Minute)); sent != 0 || err != nil {
		t.Fatalf("sent %d young records, %v", sent, err)
	}
	if sent, err := b.sender.Sweep(ctx, time.Now().Add(time.Minute)); sent != 3 || err != nil {
		t.Fatalf("sent %d records, %v", sent, err)
	}
	if got := b.trainer.Received(); len(got) != 3 || len(b.table.Rows("delivery/")) != 0 {
		t.Fatalf("the trainer holds %+v, records left: %v", got, b.table.Rows("delivery/"))
	}
}
