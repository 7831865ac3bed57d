package loadsim

import (
	"slices"
	"time"
)

// meter counts what callers and upstreams see.
type meter struct {
	offered  int
	came     map[int]int     // requests, by the second in which they came
	served   map[int]int     // of them answered
	attempts int             // at upstreams
	steady   int             // answers while the load stood, from its Timeout to its Time
	answered []time.Duration // from a caller's first attempt to its answer
	held     []time.Duration // of attempts that were rejected without being sent on
}

func (m *meter) result(load Load, p Policy) Result {
	r := Result{Policy: p.Name, Rate: load.Rate, MaxWait: most(m.held),
		Goodput: float64(m.steady) / (load.Duration - load.Timeout).Seconds() / load.capacity()}
	if m.offered > 0 {
		offered := float64(m.offered)
		r.Answered = float64(len(m.answered)) / offered
		r.Attempts = float64(m.attempts) / offered
		inTime := 0
		for _, d := range m.answered {
			if d <= load.LatencyObjective {
				inTime++
			}
		}
		r.WithinObjective = float64(inTime) / offered
	}
	r.WorstSecond = 1
	for second, n := range m.came {
		r.WorstSecond = min(r.WorstSecond, float64(m.served[second])/float64(n))
	}
	slices.Sort(m.answered)
	r.P50, r.P99 = quantile(m.answered, 0.5), quantile(m.answered, 0.99)
	return r
}

// offer counts a request that came at a time after the start.
func (m *meter) offer(after time.Duration) {
	if m.came == nil {
		m.came, m.served = map[int]int{}, map[int]int{}
	}
	m.offered++
	m.came[int(after/time.Second)]++
}

// answer counts an answer at a time after the start, how long it took, and when
// its request came.
func (m *meter) answer(load Load, after, took, came time.Duration) {
	m.answered = append(m.answered, took)
	m.served[int(came/time.Second)]++
	if after >= load.Timeout && after < load.Duration {
		m.steady++
	}
}

// most returns the longest of ds, 0 of none.
func most(ds []time.Duration) time.Duration { return slices.Max(append(ds, 0)) }

// quantile returns the q-quantile of sorted times, 0 of none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
