package upstream

import (
	"slices"
	"time"
)

const (
	// maxFailureRate bounds the failure rate by which an upstream is ranked, so that one
	// that fails all requests is not ranked behind upstreams that are overloaded many times.
	maxFailureRate = 0.9
	// failingRate is the failure rate from which on an upstream is reported as failing, and
	// no text moves to it. One failure among the first requests is just as much.
	failingRate = 0.2
	// recoveredRate is the failure rate below which an upstream is no longer reported as
	// failing. It is lower than failingRate, as estimates vary by as much around it.
	recoveredRate = 0.1
)

// FailureChange tells that an upstream fails many of this instance's requests, or that it
// no longer does.
type FailureChange struct {
	Upstream string // ID
	Pool     string
	Failing  bool
	Rate     float64 // share of the requests that failed, by which the change was noticed
}

// failingUpstream is an upstream whose failure rate has reached failingRate and has not been
// seen below recoveredRate since.
type failingUpstream struct {
	state    *upstreamState
	rate     float64 // when it reached failingRate
	reported bool    // FailureChanges has returned it
}

// recordFailure records whether rsv's request, which has ended, failed at its upstream.
// Results that show nothing about that are left out.
func (r *Registry) recordFailure(rsv *Reservation, result AttemptResult) {
	s := rsv.state
	failed := result.Failed || result.Interrupted
	refused := result.Busy || result.VersionRefused || result.AddressReused || result.Unreachable
	if result.Superseded || result.Cancelled || refused && !failed || !r.isContended(s.Pool) || r.byID[s.ID] != s {
		return
	}
	r.failures.Observe(s.ID, failed, result.At)
	if !failed || slices.ContainsFunc(r.failing, func(f failingUpstream) bool { return f.state == s }) {
		return
	}
	if rate := r.failures.Rate(s.ID, result.At); rate >= failingRate {
		r.failing = append(r.failing, failingUpstream{state: s, rate: rate})
	}
}

// FailureChanges returns which upstreams have begun or ceased to fail many requests since
// the last call, and the number of those that do at now. An upstream begins when its rate
// reaches 0.2 and ceases when it is below 0.1.
func (r *Registry) FailureChanges(now time.Time) (changes []FailureChange, failing int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, len(r.failing))
	for i, f := range r.failing {
		ids[i] = f.state.ID
	}
	var kept []failingUpstream
	for i, rate := range r.failures.Rates(ids, now) {
		f := r.failing[i]
		if !f.reported {
			f.reported = true
			changes = append(changes, FailureChange{Upstream: f.state.ID, Pool: f.state.Pool, Failing: true, Rate: f.rate})
		}
		if rate >= failingRate {
			failing++
		}
		if rate < recoveredRate {
			changes = append(changes, FailureChange{Upstream: f.state.ID, Pool: f.state.Pool, Rate: rate})
			continue
		}
		kept = append(kept, f)
	}
	r.failing = kept
	return changes, failing
}

// forgetFailures discards what is known of the failures of s.
func (r *Registry) forgetFailures(s *upstreamState) {
	r.failures.Forget(s.ID)
	r.failing = slices.DeleteFunc(r.failing, func(f failingUpstream) bool { return f.state == s })
}

// repeats returns how many times as long a request takes at an upstream with the failure
// rate. A failed request is sent again, 1/(1-rate) times in the mean. One that may be sent
// only once is lost instead, which counts as much again.
func repeats(rate float64, once bool) float64 {
	n := 1 / (1 - min(rate, maxFailureRate))
	if once {
		return n * n
	}
	return n
}
