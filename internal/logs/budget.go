package logs

import (
	"sync"
	"time"
)

// Limiter bounds how many lines of one kind are written in a second, so that a
// load many times the usual does not cost more lines. Failures are given a
// Limiter of their own, so that successes never take their place. It is safe for
// concurrent use.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	second  int64
	written int
	skipped int
}

// NewLimiter returns a Budget of lines a second.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at now, and how many of its kind
// have been skipped since the last one, to be told in it.
func (b *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second, b.written = s, 0
	}
	if b.written >= b.perSecond {
		b.skipped++
		return 0, false
	}
	b.written++
	skipped, b.skipped = b.skipped, 0
	return skipped, true
}
