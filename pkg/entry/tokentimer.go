package entry

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/health"
)

// minTokenGaps is the minimum number of gaps between chunks for a stream's token time to be
// recorded.
const minTokenGaps = 3

// tokenTimer measures the time between the chunks of one stream.
type tokenTimer struct {
	clock   clock.Clock
	last    time.Time
	gaps    int
	sum     time.Duration
	longest time.Duration
}

// received records that a chunk was received.
func (w *tokenTimer) received() {
	now := w.clock.Now()
	if !w.last.IsZero() {
		gap := now.Sub(w.last)
		w.gaps++
		w.sum += gap
		w.longest = max(w.longest, gap)
	}
	w.last = now
}

// record adds the mean time between the chunks of the stream to tokenTimes, also if the stream
// was abandoned. It leaves out the longest gap, because the engine may have been loading
// weights.
func (w *tokenTimer) record(tokenTimes *health.TokenTimes, addr string) {
	if w.gaps < minTokenGaps {
		return
	}
	tokenTimes.Observe(addr, (w.sum-w.longest)/time.Duration(w.gaps-1), w.last)
}
