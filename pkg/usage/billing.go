package usage

import (
	"slices"
	"time"
)

const (
	// maxBehind is how old a window may be and still be reported: one that nobody
	// could report for so long is missed.
	maxBehind = 10 * time.Minute
	// firstPause and maxPause bound the pause before a report that was not accepted
	// is sent again, which doubles.
	firstPause = 400 * time.Millisecond
	maxPause   = 3 * time.Second
	// RetainedReports is how many reports stay in the store, for operators.
	RetainedReports = 60
)

// Reporter is what the holder of the duty knows of the windows to report. It does no
// I/O. The zero Reporter knows nothing yet.
type Reporter struct {
	Schedule Schedule

	next   Window // the first that is not fixed
	unsent []Report
	sent   []Report
	pause  time.Duration
	sendAt time.Time // the next call, not before
}

// Restore takes up what holders before have left in the store. begunAt is when this
// instance started, which counts where nothing was ever reported.
func (b *Reporter) Restore(left []Report, begunAt, now time.Time) {
	b.unsent, b.sent = nil, nil
	b.next = b.Schedule.WindowAt(begunAt)
	for _, r := range left {
		b.next = r.Window + 1
		if r.SentAt.IsZero() && now.Sub(b.Schedule.End(r.Window)) < maxBehind {
			b.unsent = append(b.unsent, r)
		} else {
			b.sent = append(b.sent, r)
		}
	}
	b.next = max(b.next, b.Schedule.WindowAt(now.Add(-maxBehind)))
	b.pause, b.sendAt = 0, time.Time{}
}

// ToClose returns the window whose counts are to be added up and fixed at now, if
// there is one.
func (b *Reporter) ToClose(reachedSince, now time.Time) (Window, bool) {
	return b.next, !now.Before(b.Schedule.CloseAt(b.next, reachedSince))
}

// Finalized takes the report of the next window as it is fixed.
func (b *Reporter) Finalized(r Report) {
	b.next = max(b.next, r.Window+1)
	if r.SentAt.IsZero() {
		b.unsent = append(b.unsent, r)
	} else {
		b.sent = append(b.sent, r)
	}
}

// ToSend returns the report to send at now, if there is one: the oldest.
func (b *Reporter) ToSend(now time.Time) (Report, bool) {
	if len(b.unsent) == 0 || now.Before(b.sendAt) {
		return Report{}, false
	}
	return b.unsent[0], true
}

// SendEnded tells how the call for a report ended at at. One that was not accepted is
// sent again after a pause, behind others.
func (b *Reporter) SendEnded(r Report, accepted bool, at time.Time) {
	b.unsent = slices.DeleteFunc(b.unsent, func(u Report) bool { return u.Window == r.Window })
	if accepted {
		b.sent = append(b.sent, r)
		b.pause, b.sendAt = 0, at
		return
	}
	if at.Sub(b.Schedule.End(r.Window)) < maxBehind {
		b.unsent = append(b.unsent, r)
	}
	b.pause = min(max(2*b.pause, firstPause), maxPause)
	b.sendAt = at.Add(b.pause)
}

// ToDelete returns the reports that need not be kept any more, and forgets them.
func (b *Reporter) ToDelete() []Report {
	n := len(b.sent) - RetainedReports
	if n <= 0 {
		return nil
	}
	old := slices.Clone(b.sent[:n])
	b.sent = b.sent[n:]
	return old
}
