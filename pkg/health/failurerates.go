package health

import (
	"math"
	"sync"
	"time"
)

// priorSuccesses is the weight, in requests, of the assumption that an upstream fails
// none. With it a single failure counts as at most one in five.
const priorSuccesses = 4

// FailureRatesConfig configures FailureRates.
type FailureRatesConfig struct {
	// Requests is the weight, in requests, that older requests keep at least while they
	// are followed by others. The default is 20.
	Requests float64
	// Memory is the time constant of the moving average, for upstreams with more than
	// Requests in it. The default is 5 s.
	Memory time.Duration
	// Retention is the time after the last observation at which a rate has decayed to 0.
	// The default is 9 s, so that a failing upstream has been tried again after 10 s.
	Retention time.Duration
}

// FailureRates estimates the share of this process's recent requests to each upstream
// that failed. It is safe for concurrent use. Use NewFailureRates to create one.
type FailureRates struct {
	cfg FailureRatesConfig

	mu   sync.Mutex
	byID map[string]failureRate
}

// failureRate is what is known of one upstream: a moving average in which older requests
// count for less.
type failureRate struct {
	requests   float64
	failures   float64 // of requests
	observedAt time.Time
}

// NewFailureRates returns FailureRates without observations.
func NewFailureRates(cfg FailureRatesConfig) *FailureRates {
	if cfg.Requests == 0 {
		cfg.Requests = 20
	}
	if cfg.Memory == 0 {
		cfg.Memory = 5 * time.Second
	}
	if cfg.Retention == 0 {
		cfg.Retention = 9 * time.Second
	}
	return &FailureRates{cfg: cfg, byID: map[string]failureRate{}}
}

// Observe records that a request to an upstream ended at a time, and whether it failed.
func (f *FailureRates) Observe(id string, failed bool, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.byID[id]
	if u.requests > 0 {
		weight := math.Exp(-max(at.Sub(u.observedAt), 0).Seconds() / f.cfg.Memory.Seconds())
		weight = max(weight, min(f.cfg.Requests/u.requests, 1)) * f.remaining(u, at)
		u.requests *= weight
		u.failures *= weight
	}
	u.requests++
	if failed {
		u.failures++
	}
	if at.After(u.observedAt) {
		u.observedAt = at
	}
	f.byID[id] = u
}

// Forget discards what is known of an upstream.
func (f *FailureRates) Forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, id)
}

// Rates returns the failure rate at now of each of the upstreams, from 0 to 1. It is 0 for
// one without recent observations.
func (f *FailureRates) Rates(ids []string, now time.Time) []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]float64, len(ids))
	for i, id := range ids {
		out[i] = f.rate(id, now)
	}
	return out
}

// Rate returns the failure rate at now of one upstream, as Rates does, without allocating.
func (f *FailureRates) Rate(id string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rate(id, now)
}

// rate is Rate with f.mu held.
func (f *FailureRates) rate(id string, now time.Time) float64 {
	u := f.byID[id]
	remaining := f.remaining(u, now)
	return u.failures * remaining / (u.requests*remaining + priorSuccesses)
}

// remaining returns the share of u's observations that still counts at now. It falls with
// the square of the time since the last one, so that Requests are remembered also by an
// upstream that gets one every second or two.
func (f *FailureRates) remaining(u failureRate, now time.Time) float64 {
	age := max(now.Sub(u.observedAt), 0).Seconds() / f.cfg.Retention.Seconds()
	return max(1-age*age, 0)
}
