// Package paired compares two builds by runs in pairs, with the same workload and seed
// for both runs of a pair. It computes the mean difference with its confidence interval
// by Student's t-distribution, and the number of pairs that a smaller difference needs.
package paired

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// ConfidenceLevel is the confidence level of the interval and of Significant. 0.95 is
	// customary: one interval in twenty misses the true difference.
	ConfidenceLevel = 0.95
	// Power is the probability that PairsNeeded pairs show a true difference to be
	// significant. 0.8 is customary.
	Power = 0.8
)

// Pair is the results of one run of each build.
type Pair struct{ Before, After float64 }

// Result is the comparison of a set of pairs.
type Result struct {
	Pairs         int
	Before, After float64 // means
	Difference    float64 // mean of After minus Before
	StdDev        float64 // standard deviation of the differences
	HalfWidth     float64 // half-width of Difference's confidence interval; infinite for fewer than two pairs
}

// Compare compares the builds of pairs.
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

// Significant reports whether the confidence interval of Difference excludes zero.
func (r Result) Significant() bool { return math.Abs(r.Difference) > r.HalfWidth }

// PairsNeeded returns the number of pairs that show a difference of d with the given
// Power, for differences of the same standard deviation. It is between 2 and maxPairs.
func (r Result) PairsNeeded(d float64) int {
	if r.StdDev == 0 || d == 0 {
		return 2
	}
	n := 2
	for ; n < maxPairs; n++ {
		seen := (quantile((1+ConfidenceLevel)/2, n) + quantile(Power, n)) * r.StdDev / math.Sqrt(float64(n))
		if seen <= math.Abs(d) {
			break
		}
	}
	return n
}

// maxPairs is the limit of PairsNeeded.
const maxPairs = 10000

// quantile returns the p-quantile of Student's t-distribution with n-1 degrees of
// freedom.
func quantile(p float64, n int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(p)
}
