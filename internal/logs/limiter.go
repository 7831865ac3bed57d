package logs

import (
	"sync"
	"time"
)

// Limiter limits how many log lines of one kind are written per second, so that the log
// does not grow with the load. Failures have a Limiter of their own, so that successes
// do not use up their limit. It is safe for concurrent use.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	second  int64 // Unix time of the current second
	written int   // lines in that second
	skipped int   // lines since the last one written
}

// NewLimiter returns a Limiter that allows perSecond lines in each second of Unix time.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at now. If so, it also returns how many
// lines have been skipped since the last one written, for the line to include.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.written = s, 0
	}
	if l.written >= l.perSecond {
		l.skipped++
		return 0, false
	}
	l.written++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
