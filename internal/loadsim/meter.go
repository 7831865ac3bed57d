package loadsim

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// meter counts the requests of callers and their attempts at upstreams.
type meter struct {
	offered               int
	arrived               map[int]int     // requests by the second in which they arrived
	served                map[int]int     // answered ones of them
	attempts              int             // attempts at upstreams
	copies                int             // hedged copies among them
	failed                int             // attempts answered with an error
	offeredBy, answeredBy map[int]int     // by customer
	steady                int             // answers that count for Result.Goodput
	answered              []time.Duration // times from a caller's first attempt to its answer
	waits                 []time.Duration // waits of attempts that were rejected without being sent
	firstSends            []time.Duration // times from a caller's first attempt until its request was first sent
	urgent                int             // requests that are urgent
	answeredUrgent        int             // answered ones of them
}

// result returns the outcome of the requests counted. It sorts m.answered and
// m.firstSends.
func (m *meter) result(load Load, p Policy) Result {
	r := Result{Policy: p.Name, Rate: load.Rate, MaxWait: longest(m.waits),
		Goodput: float64(m.steady) / (load.Duration - load.Timeout).Seconds() / load.capacity()}
	if m.offered > 0 {
		offered := float64(m.offered)
		r.Answered = float64(len(m.answered)) / offered
		r.Attempts = float64(m.attempts) / offered
		r.Copies = float64(m.copies) / offered
		r.Failed = float64(m.failed) / offered
		inTime := 0
		for _, d := range m.answered {
			if d <= load.LatencyObjective {
				inTime++
			}
		}
		r.WithinObjective = float64(inTime) / offered
		r.AnsweredUrgent = float64(m.answeredUrgent) / float64(max(m.urgent, 1))
		r.AnsweredOther = float64(len(m.answered)-m.answeredUrgent) / float64(max(m.offered-m.urgent, 1))
	}
	r.Fairness = m.fairness(load)
	r.WorstSecond = 1
	for second, n := range m.arrived {
		r.WorstSecond = min(r.WorstSecond, float64(m.served[second])/float64(n))
	}
	slices.Sort(m.answered)
	r.P50, r.P99 = quantile(m.answered, 0.5), quantile(m.answered, 0.99)
	for _, d := range m.answered {
		r.Mean += d / time.Duration(len(m.answered))
	}
	slices.Sort(m.firstSends)
	r.FirstSendP99 = quantile(m.firstSends, 0.99)
	return r
}

// offer counts a request that arrived at a time after the start.
func (m *meter) offer(after time.Duration, customer int) {
	if m.arrived == nil {
		m.arrived, m.served = map[int]int{}, map[int]int{}
		m.offeredBy, m.answeredBy = map[int]int{}, map[int]int{}
	}
	m.offered++
	m.offeredBy[customer]++
	m.arrived[int(after/time.Second)]++
}

// answer counts an answer at a time after the start. took is the time from the
// caller's first attempt, and arrivedAt is the request's arrival after the start.
func (m *meter) answer(load Load, after, took, arrivedAt time.Duration, customer int) {
	m.answeredBy[customer]++
	m.answered = append(m.answered, took)
	m.served[int(arrivedAt/time.Second)]++
	if after >= load.Timeout && after < load.Duration {
		m.steady++
	}
}

// longest returns the longest of ds, or 0 if there is none.
func longest(ds []time.Duration) time.Duration { return slices.Max(append(ds, 0)) }

// quantile returns the q-quantile of sorted times, or 0 if there is none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// fairness returns Result.Fairness.
func (m *meter) fairness(load Load) float64 {
	left := load.capacity() * load.Duration.Seconds()
	customers := slices.SortedFunc(maps.Keys(m.offeredBy), func(a, b int) int { return cmp.Or(cmp.Compare(m.offeredBy[a], m.offeredBy[b]), cmp.Compare(a, b)) })
	var sum, squares float64
	for i, c := range customers {
		fair := min(float64(m.offeredBy[c]), left/float64(len(customers)-i))
		left -= fair
		x := float64(m.answeredBy[c]) / fair
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(customers)) * squares)
}
