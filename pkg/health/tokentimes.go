package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// sampleWeight is the weight of a new observation in the moving mean.
	sampleWeight = 0.3
	// usualQuantile is the quantile of the known times per token that counts as usual:
	// the lower quartile, so that slow engines are found also if they are two of the
	// three that an instance uses.
	usualQuantile = 0.25
	// DefaultSlowFactor is the multiple of the usual time per token that counts as
	// slow. Smaller differences are normal between batches.
	DefaultSlowFactor = 2.0
	// maxSlowness bounds the slowness of an upstream.
	maxSlowness = 16.0
	// sampleLifetime is how long a time per token is used without a new observation, so
	// that an upstream that may have recovered gets requests again.
	sampleLifetime = 10 * time.Second
)

// TokenTimes tracks the time per token of upstreams, as observed on this process's own
// streams. It is safe for concurrent use. Use NewTokenTimes to create one.
type TokenTimes struct {
	slowFactor float64

	mu     sync.Mutex
	byAddr map[string]tokenTime
}

type tokenTime struct {
	perToken  time.Duration // exponential moving mean
	sampledAt time.Time     // time of the last observation
}

// NewTokenTimes returns an empty TokenTimes. An upstream counts as slow if its time per
// token is at least slowFactor times the usual time; 0 means DefaultSlowFactor, and a
// negative factor means that no upstream is slow.
func NewTokenTimes(slowFactor float64) *TokenTimes {
	switch {
	case slowFactor == 0:
		slowFactor = DefaultSlowFactor
	case slowFactor < 0:
		slowFactor = math.Inf(1)
	}
	return &TokenTimes{slowFactor: slowFactor, byAddr: map[string]tokenTime{}}
}

// Observe records that a stream from the upstream at addr took perToken for each token.
func (t *TokenTimes) Observe(addr string, perToken time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.byAddr[addr]
	if ok && now.Sub(old.sampledAt) < sampleLifetime {
		perToken = old.perToken + time.Duration(sampleWeight*float64(perToken-old.perToken))
	}
	t.byAddr[addr] = tokenTime{perToken: perToken, sampledAt: now}
}

// Slowness returns for each of addrs the ratio of its time per token to the usual time,
// which is the lower quartile of the known times. It is 1 for upstreams that are not
// slow or not known, and at most 16.
func (t *TokenTimes) Slowness(addrs []string, now time.Time) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]float64, len(addrs)) // at first the times per token; 0 if unknown
	known := make([]float64, 0, len(addrs))
	for i, a := range addrs {
		if d, ok := t.lookup(a, now); ok {
			out[i] = float64(d)
			known = append(known, out[i])
		}
	}
	slices.Sort(known)
	for i, d := range out {
		out[i] = 1
		if d == 0 {
			continue
		}
		if ratio := d / known[int(usualQuantile*float64(len(known)-1))]; ratio >= t.slowFactor {
			out[i] = min(ratio, maxSlowness)
		}
	}
	return out
}

// lookup returns the time per token of the upstream at addr, and whether it is recent.
func (t *TokenTimes) lookup(addr string, now time.Time) (time.Duration, bool) {
	last, ok := t.byAddr[addr]
	return max(last.perToken, 1), ok && now.Sub(last.sampledAt) < sampleLifetime
}
