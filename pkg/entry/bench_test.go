package entry_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// Bounds on the time of a generation through an entry instance against the
// same generation sent to the engine directly: of the mean, and of the 99th
// percentile. The entry adds one loopback hop, JSON re-encoding of each chunk
// and, for a training entry, a sample record, a delivery and a record delete.
const (
	maxOverheadRatio = 6.0
	maxP99Ratio      = 12.0
)

// benchCallers is how many callers send at once.
const benchCallers = 8

// BenchmarkForwarding runs the same 8-token generation directly against an
// engine and through an entry instance, for an interactive entry and for a
// training one (whose answers become samples), and reports the ratios.
func BenchmarkForwarding(b *testing.B) {
	for _, name := range []string{"chat", "drafts"} {
		b.Run(name, func(b *testing.B) { benchForwarding(b, name) })
	}
}

func benchForwarding(b *testing.B, entryName string) {
	s := startSite(b, 1, 1, enginetest.Config{TokenInterval: time.Microsecond, Slots: 64, WeightVersion: 1})
	const tokens = 8
	direct := measure(b, func(caller, i int) error {
		st, err := engine.NewClient(s.EngineAddrs[0], nil).Generate(context.Background(),
			engine.GenerateRequest{RequestID: fmt.Sprintf("d%d-%d", caller, i), Prompt: "p", MaxTokens: tokens})
		if err != nil {
			return err
		}
		defer st.Close()
		for {
			if c, err := st.Next(); err != nil || c.Done {
				return err
			}
		}
	})
	through := measure(b, func(caller, i int) error {
		req := entry.GenerateRequest{Customer: "minho", Entry: entryName, RequestID: fmt.Sprintf("b%d-%d-%d", b.N, caller, i),
			Prompt: "p", MaxTokens: tokens}
		if _, _, last := generate(b, s.Entries[0].Addr(), req); !last.Done {
			return fmt.Errorf("not done: %+v", last)
		}
		return nil
	})
	report(b, "direct", direct)
	report(b, "entry", through)
	ratio, p99 := through.Mean()/direct.Mean(), float64(through.ValueAtQuantile(99))/float64(direct.ValueAtQuantile(99))
	b.ReportMetric(ratio, "ratio")
	b.ReportMetric(p99, "p99-ratio")
	if ratio > maxOverheadRatio || p99 > maxP99Ratio {
		b.Fatalf("through the entry %.1fx the direct mean (bound %.1f) and %.1fx the p99 (bound %.1f)", ratio, maxOverheadRatio, p99, maxP99Ratio)
	}
}

// report reports a histogram's median and 99th percentile in microseconds.
func report(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
}

// measure returns the times of b.N calls of f by benchCallers callers, in
// microseconds, after one call by each to warm the connections.
func measure(b *testing.B, f func(caller, i int) error) *hdrhistogram.Histogram {
	b.Helper()
	var mu sync.Mutex
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var g errgroup.Group
	for caller := range benchCallers {
		g.Go(func() error {
			if err := f(caller, -1); err != nil {
				return err
			}
			for i := 0; i < max(b.N/benchCallers, 1); i++ {
				start := time.Now()
				if err := f(caller, i); err != nil {
					return err
				}
				mu.Lock()
				_ = h.RecordValue(max(1, time.Since(start).Microseconds()))
				mu.Unlock()
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	return h
}
