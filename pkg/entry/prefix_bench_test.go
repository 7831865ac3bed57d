package entry_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
)

// The load of BenchmarkPrefixRouting: generations whose prompts share prefixes. The
// popularity of the prefixes has a Zipf distribution.
const (
	prefixCallers = 48
	prefixCalls   = 40 // per caller
	prefixes      = 40
	prefixSkew    = 1.2 // parameter s of the Zipf distribution
)

// minHitRatio is the minimum fraction of generations that find their prefix cached, by the
// number of entry instances.
var minHitRatio = map[int]float64{2: 0.70, 10: 0.63}

// BenchmarkPrefixRouting measures how often a generation finds its prompt's prefix in the
// cache of the selected engine, through two and through ten entry instances. There are nine
// engines, as at each user's site, with caches for six prefixes each.
func BenchmarkPrefixRouting(b *testing.B) {
	for _, entries := range []int{2, 10} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) { benchPrefixRouting(b, entries) })
	}
}

func benchPrefixRouting(b *testing.B, entries int) {
	s := startSite(b, 9, entries, enginetest.Config{TokenInterval: time.Millisecond, Slots: 8, WeightVersion: 1,
		CacheEntries: 6, PrefillDelay: 10 * time.Millisecond})
	h := callWithPrefixes(b, s)
	var hits, misses int64
	peak := 0
	for _, e := range s.Engines {
		eh, em := e.CacheCounts()
		hits, misses = hits+eh, misses+em
		peak = max(peak, e.PeakRequests())
	}
	ratio := float64(hits) / float64(hits+misses)
	b.ReportMetric(ratio, "hit-ratio")
	report(b, "entry", h)
	b.ReportMetric(float64(peak), "peak-requests")
	if ratio < minHitRatio[entries] {
		b.Fatalf("got hit ratio %.3f, want at least %.2f", ratio, minHitRatio[entries])
	}
}

// maxSlowShare is the maximum fraction of generations sent to the slow engine of
// BenchmarkSlowEngine. An even share would be a ninth.
const maxSlowShare = 0.016

// BenchmarkSlowEngine measures how many generations go to an engine whose token time is
// eight times that of the eight others, and the latency of all generations.
func BenchmarkSlowEngine(b *testing.B) {
	s := startSite(b, 9, 2, enginetest.Config{TokenInterval: 2 * time.Millisecond, Slots: 8, WeightVersion: 1})
	s.Engines[0].SetFaults(enginetest.Faults{SlowFactor: 8})
	h := callWithPrefixes(b, s)
	share := float64(s.Engines[0].Requests()) / (prefixCallers * prefixCalls)
	b.ReportMetric(share, "slow-share")
	report(b, "entry", h)
	if share > maxSlowShare {
		b.Fatalf("slow engine got a fraction of %.3f of the generations, want at most %.3f", share, maxSlowShare)
	}
}

// callWithPrefixes sends the generations of the load to the entry instances in turn, and
// returns their latencies in microseconds.
func callWithPrefixes(b *testing.B, s *site.Site) *hdrhistogram.Histogram {
	b.Helper()
	var mu sync.Mutex
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var g errgroup.Group
	for caller := range prefixCallers {
		g.Go(func() error {
			rng := rand.New(rand.NewPCG(1, uint64(caller)))
			zipf := rand.NewZipf(rng, prefixSkew, 1, prefixes-1)
			for i := range prefixCalls {
				req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprintf("p%d-%d", caller, i),
					Prompt: fmt.Sprintf("%064d, call %d of caller %d", zipf.Uint64(), i, caller), MaxTokens: 8}
				start := time.Now()
				if status, _, last := generate(b, s.Entries[(caller+i)%len(s.Entries)].Addr(), req); !last.Done {
					return fmt.Errorf("got status %d and last event %+v, want a complete response", status, last)
				}
				mu.Lock()
				_ = h.RecordValue(time.Since(start).Microseconds())
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
