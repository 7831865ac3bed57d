package health_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/health"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

const usual = 2 * time.Millisecond

// Of upstreams with different times per token, those that take at least
// DefaultSlowFactor times the lower quartile are slow, by that ratio. The others and
// those not known are not.
func TestSlownessUsesLowerQuartile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		p := health.NewTokenTimes(0)
		factors := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 1.5, 4, 8}), 1, 9).Draw(t, "factors")
		known := rapid.SliceOfN(rapid.Bool(), len(factors), len(factors)).Draw(t, "known")
		var addrs []string
		var factorsKnown []float64
		for i, f := range factors {
			addrs = append(addrs, string(rune('a'+i)))
			if known[i] {
				p.Observe(addrs[i], time.Duration(f*float64(usual)), now)
				factorsKnown = append(factorsKnown, f)
			}
		}
		slices.Sort(factorsKnown)
		for i, got := range p.Slowness(addrs, now) {
			want := 1.0
			if known[i] && factors[i] >= health.DefaultSlowFactor*factorsKnown[(len(factorsKnown)-1)/4] {
				want = factors[i] / factorsKnown[(len(factorsKnown)-1)/4]
			}
			if got != want {
				t.Fatalf("slowness of %s: got %v, want %v", addrs[i], got, want)
			}
		}
	})
}

// A slow upstream that gets no requests counts as not slow after a while, so that it
// gets some again. One that recovers counts as not slow after a few observations.
func TestSlowUpstreamsRecover(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := health.NewTokenTimes(0)
	addrs := []string{"a", "b", "slow", "recovered"}
	for _, a := range addrs {
		p.Observe(a, usual, now)
	}
	for range 20 {
		p.Observe("slow", 8*usual, now)
		p.Observe("recovered", 8*usual, now)
	}
	if s := p.Slowness(addrs, now); s[2] < 7 || s[3] < 7 || s[0] != 1 {
		t.Fatalf("slowness: got %v, want about 8 for the last two and 1 for the first", s)
	}
	for range 8 {
		p.Observe("recovered", usual, now)
	}
	now = now.Add(5 * time.Second)
	p.Observe("a", usual, now)
	p.Observe("b", usual, now)
	if s := p.Slowness(addrs, now); s[2] < 7 || s[3] != 1 {
		t.Fatalf("slowness: got %v, want about 8 for the third and 1 for the last", s)
	}
	now = now.Add(6 * time.Second)
	if s := p.Slowness(addrs, now); s[2] != 1 {
		t.Fatalf("slowness after 11 s: got %v, want 1 for the third", s)
	}
}

// With a negative factor no upstream is slow.
func TestNegativeFactorDisablesSlowness(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := health.NewTokenTimes(-1)
	p.Observe("a", usual, now)
	p.Observe("b", usual, now)
	p.Observe("c", 8*usual, now)
	if s := p.Slowness([]string{"a", "b", "c"}, now); s[2] != 1 {
		t.Fatalf("slowness: got %v, want 1 for all", s)
	}
}
