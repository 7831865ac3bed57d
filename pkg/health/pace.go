package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// paceWeight is the weight of a new observation in an upstream's pace.
	paceWeight = 0.3
	// usualRank is which of the paces known, from the fastest on, is the usual
	// one: the lower quartile, so that engines are found slow also when they are
	// two of the three that an instance uses.
	usualRank = 0.25
	// DefaultSlowFactor is how many times the usual time counts as slow;
	// less is the ordinary difference between batches.
	DefaultSlowFactor = 2.0
	// maxSlowness bounds how slow an upstream is taken for.
	maxSlowness = 16.0
	// paceMemory is how long a pace is believed without a new observation,
	// so that one which has recovered is tried again.
	paceMemory = 10 * time.Second
)

// TokenTimes tracks how long upstreams take for a token, by what this process's own
// streams saw. It is safe for concurrent use. Call NewPaces.
type TokenTimes struct {
	slowFrom float64

	mu    sync.Mutex
	paces map[string]pace
}

type pace struct {
	perToken time.Duration // moving mean
	at       time.Time     // last observation
}

// NewTokenTimes returns a Paces that knows nothing yet and takes for slow what takes
// slowFrom times the usual time: 0 means DefaultSlowFrom, and less that
// nothing is slow.
func NewTokenTimes(slowFrom float64) *TokenTimes {
	switch {
	case slowFrom == 0:
		slowFrom = DefaultSlowFactor
	case slowFrom < 0:
		slowFrom = math.Inf(1)
	}
	return &TokenTimes{slowFrom: slowFrom, paces: map[string]pace{}}
}

// Observe tells that a stream from the upstream at addr took perToken for each
// token.
func (p *TokenTimes) Observe(addr string, perToken time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.paces[addr]
	if ok && now.Sub(old.at) < paceMemory {
		perToken = old.perToken + time.Duration(paceWeight*float64(perToken-old.perToken))
	}
	p.paces[addr] = pace{perToken: perToken, at: now}
}

// Slowness returns, for each of addrs, how many times the usual time it takes,
// that of the lower quartile: 1 for those not slow and those not known, which are never held
// against each other.
func (p *TokenTimes) Slowness(addrs []string, now time.Time) []float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]float64, len(addrs)) // first the times, 0 for those not known
	known := make([]float64, 0, len(addrs))
	for i, a := range addrs {
		if d, ok := p.known(a, now); ok {
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
		if ratio := d / known[int(usualRank*float64(len(known)-1))]; ratio >= p.slowFrom {
			out[i] = min(ratio, maxSlowness)
		}
	}
	return out
}

// known returns the pace of the upstream at addr, if it is recent.
func (p *TokenTimes) known(addr string, now time.Time) (time.Duration, bool) {
	k, ok := p.paces[addr]
	return max(k.perToken, 1), ok && now.Sub(k.at) < paceMemory
}
