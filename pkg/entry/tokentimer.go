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
func (t *tokenTimer) received() {
	now := t.clock.Now()
	if !t.last.IsZero() {
		gap := now.Sub(t.last)
		t.gaps++
		t.sum += gap
		t.longest = max(t.longest, gap)
	}
	t.last = now
}

// record adds the mean time between the chunks of the stream to tokenTimes, also if the stream
// was abandoned. It leaves out the longest gap, because the engine may have been loading
// weights.
func (t *tokenTimer) record(tokenTimes *health.TokenTimes, addr string) {
	if t.gaps < minTokenGaps {
		return
	}
	tokenTimes.Observe(addr, (t.sum-t.longest)/time.Duration(t.gaps-1), t.last)
}
