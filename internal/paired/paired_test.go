package paired_test

import (
	"math"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/paired"
)

// A gain that varies little between pairs is significant though the pairs themselves
// differ widely. One within its standard deviation is not, and neither is that of a
// single pair.
func TestCompare(t *testing.T) {
	steady := []paired.Pair{{0.50, 0.54}, {0.80, 0.85}, {0.65, 0.69}, {0.90, 0.96}}
	r := paired.Compare(steady)
	if math.Abs(r.Difference-0.0475) > 1e-9 || !r.Significant() {
		t.Errorf("steady gain: %+v, Significant() = %v, want a difference of 0.0475 and true", r, r.Significant())
	}
	wild := []paired.Pair{{0.50, 0.70}, {0.80, 0.65}, {0.65, 0.80}, {0.90, 0.85}}
	if r := paired.Compare(wild); r.Significant() {
		t.Errorf("difference within its standard deviation is significant: %+v", r)
	}
	if paired.Compare(steady[:1]).Significant() {
		t.Error("difference of a single pair is significant")
	}
}

// The differences 1, 2, 3, 4, 5 have a mean of 3 and a standard deviation of 1.5811.
// With a quantile of 2.7764 for four degrees of freedom, the half-width of the interval
// is 1.9632.
func TestInterval(t *testing.T) {
	var pairs []paired.Pair
	for d := 1.0; d <= 5; d++ {
		pairs = append(pairs, paired.Pair{Before: 10, After: 10 + d})
	}
	if r := paired.Compare(pairs); math.Abs(r.HalfWidth-1.9632) > 1e-3 {
		t.Errorf("half-width %v, want 1.9632", r.HalfWidth)
	}
}

// Half the difference needs about four times as many pairs.
func TestPairsNeeded(t *testing.T) {
	r := paired.Result{StdDev: 0.1}
	large, small := r.PairsNeeded(0.04), r.PairsNeeded(0.02)
	if ratio := float64(small) / float64(large); ratio < 3.5 || ratio > 4.2 {
		t.Errorf("%d pairs for 0.04 and %d for 0.02, want a ratio of 3.5 to 4.2", large, small)
	}
}
