package usage

import (
	"slices"
	"time"
)

const (
	// maxReportAge is how long after its end a window is still reported. A window that no
	// instance could report for so long is skipped.
	maxReportAge = 10 * time.Minute
	// minBackoff and maxBackoff bound the delay before a report that was not accepted
	// is sent again. The delay doubles.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// RetainedReports is how many sent reports stay in the store, for operators.
	RetainedReports = 60
)

// Reporter is the state machine of the lease holder that reports usage: it decides
// which window to finalize, which report to send and which to delete. It does no I/O.
// The zero Reporter has no reports; Restore must be called first.
type Reporter struct {
	Schedule Schedule

	next    Window // first window without a finalized report
	unsent  []Report
	sent    []Report
	backoff time.Duration
	sendAt  time.Time // earliest time of the next send
}

// Restore takes over the reports that previous lease holders stored, oldest first.
// startedAt is when this instance started: where no report is stored, the first window
// to be reported is the one that contains startedAt.
func (rp *Reporter) Restore(stored []Report, startedAt, now time.Time) {
	rp.unsent, rp.sent = nil, nil
	rp.next = rp.Schedule.WindowAt(startedAt)
	for _, r := range stored {
		rp.next = r.Window + 1
		if r.SentAt.IsZero() && now.Sub(rp.Schedule.End(r.Window)) < maxReportAge {
			rp.unsent = append(rp.unsent, r)
		} else {
			rp.sent = append(rp.sent, r)
		}
	}
	rp.next = max(rp.next, rp.Schedule.WindowAt(now.Add(-maxReportAge)))
	rp.backoff, rp.sendAt = 0, time.Time{}
}

// ToClose returns the next window without a report, and whether its counts are to be
// added up and finalized at now. reachableSince is as in Schedule.CloseAt.
func (rp *Reporter) ToClose(reachableSince, now time.Time) (Window, bool) {
	return rp.next, !now.Before(rp.Schedule.CloseAt(rp.next, reachableSince))
}

// Finalized adds the finalized report of a window.
func (rp *Reporter) Finalized(r Report) {
	rp.next = max(rp.next, r.Window+1)
	if r.SentAt.IsZero() {
		rp.unsent = append(rp.unsent, r)
	} else {
		rp.sent = append(rp.sent, r)
	}
}

// ToSend returns the report to be sent at now, the first in the queue, if there is one.
func (rp *Reporter) ToSend(now time.Time) (Report, bool) {
	if len(rp.unsent) == 0 || now.Before(rp.sendAt) {
		return Report{}, false
	}
	return rp.unsent[0], true
}

// SendEnded applies the outcome of a call that ended at the given time. A report that
// was not accepted is sent again after a delay and after the others, unless its window
// is older than maxReportAge.
func (rp *Reporter) SendEnded(r Report, accepted bool, at time.Time) {
	rp.unsent = slices.DeleteFunc(rp.unsent, func(u Report) bool { return u.Window == r.Window })
	if accepted {
		rp.sent = append(rp.sent, r)
		rp.backoff, rp.sendAt = 0, at
		return
	}
	if at.Sub(rp.Schedule.End(r.Window)) < maxReportAge {
		rp.unsent = append(rp.unsent, r)
	}
	rp.backoff = min(max(2*rp.backoff, minBackoff), maxBackoff)
	rp.sendAt = at.Add(rp.backoff)
}

// ToDelete returns the sent reports in excess of RetainedReports and removes them from
// the Reporter.
func (rp *Reporter) ToDelete() []Report {
	n := len(rp.sent) - RetainedReports
	if n <= 0 {
		return nil
	}
	old := slices.Clone(rp.sent[:n])
	rp.sent = rp.sent[n:]
	return old
}
