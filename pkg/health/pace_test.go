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

// Of upstreams that all took the usual time but some, those and no others are
// slow, by how much they took; ones that nothing is known of are not.
func TestSlownessIsAgainstTheLowerQuartile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		p := health.NewTokenTimes(0)
		factors := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 1.5, 4, 8}), 1, 9).Draw(t, "factors")
		known := rapid.SliceOfN(rapid.Bool(), len(factors), len(factors)).Draw(t, "known")
		var addrs []string
		var paces []float64
		for i, f := range factors {
			addrs = append(addrs, string(rune('a'+i)))
			if known[i] {
				p.Observe(addrs[i], time.Duration(f*float64(usual)), now)
				paces = append(paces, f)
			}
		}
		slices.Sort(paces)
		for i, got := range p.Slowness(addrs, now) {
			want := 1.0
			if known[i] && factors[i] >= health.DefaultSlowFactor*paces[(len(paces)-1)/4] {
				want = factors[i] / paces[(len(paces)-1)/4]
			}
			if got != want {
				t.Fatalf("%s: slowness %v, want %v", addrs[i], got, want)
			}
		}
	})
}

// A slow upstream that is used no more is forgotten after a while, so that it
// is tried again, and one that recovers is soon usual.
func TestSlowUpstreamsRecover(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := health.NewTokenTimes(0)
	addrs := []string{"a", "b", "slow", "mended"}
	for _, a := range addrs {
		p.Observe(a, usual, now)
	}
	for range 20 {
		p.Observe("slow", 8*usual, now)
		p.Observe("mended", 8*usual, now)
	}
	if s := p.Slowness(addrs, now); s[2] < 7 || s[3] < 7 || s[0] != 1 {
		t.Fatalf("slowness %v, want about 8 of the last two", s)
	}
	for range 8 {
		p.Observe("mended", usual, now)
	}
	now = now.Add(5 * time.Second)
	p.Observe("a", usual, now)
	p.Observe("b", usual, now)
	if s := p.Slowness(addrs, now); s[2] < 7 || s[3] != 1 {
		t.Fatalf("slowness %v, want about 8 of the third alone", s)
	}
	now = now.Add(6 * time.Second)
	if s := p.Slowness(addrs, now); s[2] != 1 {
		t.Fatalf("slowness %v, want the third forgotten after 11 s", s)
	}
}

// A negative factor takes nothing for slow.
func TestNothingIsSlowByANegativeFactor(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := health.NewTokenTimes(-1)
	p.Observe("a", usual, now)
	p.Observe("b", usual, now)
	p.Observe("c", 8*usual, now)
	if s := p.Slowness([]string{"a", "b", "c"}, now); s[2] != 1 {
		t.Fatalf("slowness %v, want 1 of all", s)
	}
}
