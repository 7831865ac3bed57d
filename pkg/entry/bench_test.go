package entry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// Bounds on the ratio of the latency of a generation through an entry instance to that of
// the same generation sent to the engine directly, for the mean and the 99th percentile.
// The instance adds one loopback hop, JSON re-encoding of each chunk and, for a training
// entry, the writing of a record, a delivery and the deletion of the record.
const (
	maxOverheadRatio = 5.0
	maxP99Ratio      = 6.0
)

const (
	benchCallers = 8 // concurrent callers
	benchRounds  = 5 // rounds of b.N calls of each kind; the bounds apply to the medians of the rounds
)

// comparison holds the latencies of one round in microseconds, of the same generations sent
// to the engine directly and through the entry instance.
type comparison struct {
	direct, entry *hdrhistogram.Histogram
}

func (c comparison) ratio() float64 { return c.entry.Mean() / c.direct.Mean() }

func (c comparison) p99Ratio() float64 {
	return float64(c.entry.ValueAtQuantile(99)) / float64(c.direct.ValueAtQuantile(99))
}

// BenchmarkForwarding sends the same 8-token generation directly to an engine and through
// an entry instance, for an interactive entry and for a training entry, and reports the
// ratios of the latencies. Each caller alternates between the two kinds, so that other load
// on the machine affects both.
func BenchmarkForwarding(b *testing.B) {
	for _, name := range []string{"chat", "drafts"} {
		b.Run(name, func(b *testing.B) { benchForwarding(b, name) })
	}
}

func benchForwarding(b *testing.B, entryName string) {
	s := startSite(b, 1, 1, enginetest.Config{TokenInterval: time.Microsecond, Slots: 64, WeightVersion: 1})
	const tokens = 8
	direct := func(caller, i int) error {
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
	}
	through := func(caller, i int) error {
		req := entry.GenerateRequest{Customer: "minho", Entry: entryName, RequestID: fmt.Sprintf("b%d-%d", caller, i),
			Prompt: "p", MaxTokens: tokens}
		if _, _, last := generate(b, s.Entries[0].Addr(), req); !last.Done {
			return fmt.Errorf("last event %+v, want Done", last)
		}
		return nil
	}
	rounds := make([]comparison, benchRounds)
	for i := range rounds {
		rounds[i] = compare(b, i, direct, through)
	}
	ratio, p99 := median(rounds, comparison.ratio), median(rounds, comparison.p99Ratio)
	report(b, "direct", rounds[0].direct)
	report(b, "entry", rounds[0].entry)
	b.ReportMetric(ratio, "ratio")
	b.ReportMetric(p99, "p99-ratio")
	if ratio > maxOverheadRatio || p99 > maxP99Ratio {
		b.Fatalf("latency through the entry instance: %.1fx the direct mean, want at most %.1f; %.1fx the direct p99, want at most %.1f", ratio, maxOverheadRatio, p99, maxP99Ratio)
	}
}

// report reports a histogram's median and 99th percentile in microseconds.
func report(b *testing.B, name string, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), name+"-p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), name+"-p99-us")
}

// median returns the median of f over the rounds.
func median(rounds []comparison, f func(comparison) float64) float64 {
	values := make([]float64, len(rounds))
	for i, r := range rounds {
		values[i] = f(r)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// compare returns the latencies of b.N calls of each kind. benchCallers callers alternate
// between the kinds, after one call of each to open the connections. Calls are numbered
// across rounds.
func compare(b *testing.B, round int, direct, through func(caller, i int) error) comparison {
	b.Helper()
	var mu sync.Mutex
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Minute.Microseconds(), 3) }
	c := comparison{direct: newHistogram(), entry: newHistogram()}
	record := func(h *hdrhistogram.Histogram, call func(caller, i int) error, caller, i int) error {
		start := time.Now()
		if err := call(caller, i); err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		return h.RecordValue(max(1, time.Since(start).Microseconds()))
	}
	warmUp := newHistogram()
	calls := max(b.N/benchCallers, 1) + 1
	var g errgroup.Group
	for caller := range benchCallers {
		g.Go(func() error {
			for i := range calls {
				to := c
				if i == 0 {
					to = comparison{direct: warmUp, entry: warmUp}
				}
				n := round*calls + i
				if err := record(to.direct, direct, caller, n); err != nil {
					return err
				}
				if err := record(to.entry, through, caller, n); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	return c
}
