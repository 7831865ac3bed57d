// Package paired compares two builds by plays of the same days with the same
// seeds: it tells the mean difference, its spread, whether it counts, and how
// many pairs a smaller difference would need.
package paired

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// ConfidenceLevel is the confidence level of the interval and of a difference that
	// counts: the usual one in twenty.
	ConfidenceLevel = 0.95
	// Power is how surely NeededFor's number of pairs shows a difference that is
	// there: the usual four in five.
	Power = 0.8
)

// Pair is one play of each build.
type Pair struct{ Before, After float64 }

// Result is what a set of pairs tells.
type Result struct {
	Pairs         int
	Before, After float64 // means
	Difference    float64 // mean of After less Before
	StdDev        float64 // standard deviation of the differences
	HalfWidth     float64 // of the confidence interval of Difference
}

// Compare returns what pairs tell. The interval of fewer than two is infinite.
func Compare(pairs []Pair) Result {
	before, after, diffs := make([]float64, len(pairs)), make([]float64, len(pairs)), make([]float64, len(pairs))
	for i, p := range pairs {
		before[i], after[i], diffs[i] = p.Before, p.After, p.After-p.Before
	}
	r := Result{Pairs: len(pairs), HalfWidth: math.Inf(1)}
	if len(pairs) == 0 {
		return r
	}
	r.Before, r.After, r.Difference = stat.Mean(before, nil), stat.Mean(after, nil), stat.Mean(diffs, nil)
	if len(pairs) > 1 {
		r.StdDev = stat.StdDev(diffs, nil)
		r.HalfWidth = quantile((1+ConfidenceLevel)/2, len(pairs)) * r.StdDev / math.Sqrt(float64(len(pairs)))
	}
	return r
}

// Significant reports whether the difference is not within what chance gives.
func (r Result) Significant() bool { return math.Abs(r.Difference) > r.HalfWidth }

// PairsNeeded returns how many pairs of this spread show a difference of d.
func (r Result) PairsNeeded(d float64) int {
	if r.StdDev == 0 || d == 0 {
		return 2
	}
	n := 2
	for ; n < maxNeeded; n++ {
		seen := (quantile((1+ConfidenceLevel)/2, n) + quantile(Power, n)) * r.StdDev / math.Sqrt(float64(n))
		if seen <= math.Abs(d) {
			break
		}
	}
	return n
}

// maxNeeded ends the search of NeededFor.
const maxNeeded = 10000

// quantile is that of Student's distribution for n pairs.
func quantile(p float64, n int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(p)
}
