package entry

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/health"
)

// minPaceGaps is how many gaps between chunks a stream must have had for its
// pace to count.
const minPaceGaps = 3

// paceWatch times the gaps between the chunks of one stream.
type paceWatch struct {
	clock   clock.Clock
	last    time.Time
	gaps    int
	sum     time.Duration
	longest time.Duration
}

// heard tells that a chunk has come.
func (w *paceWatch) heard() {
	now := w.clock.Now()
	if !w.last.IsZero() {
		gap := now.Sub(w.last)
		w.gaps++
		w.sum += gap
		w.longest = max(w.longest, gap)
	}
	w.last = now
}

// tell records the pace of the stream from the engine at addr, also of one
// that was given up. The longest gap is left out: the engine may have been
// loading weights.
func (w *paceWatch) tell(paces *health.TokenTimes, addr string) {
	if w.gaps < minPaceGaps {
		return
	}
	paces.Observe(addr, (w.sum-w.longest)/time.Duration(w.gaps-1), w.last)
}
