package forward

import "time"

// Report tells how a request was served, for the log. Do and Stream fill in the Report of
// a Request, which the caller reads after they have returned.
type Report struct {
	// Upstream is the ID of the upstream whose response was returned, or, if there is none,
	// of the last one to which the request was sent. It is empty if it was sent to none.
	Upstream    string
	Attempt     int           // number of the attempt at Upstream, from 1
	AttemptTook time.Duration // how long that attempt took

	Waited time.Duration // time for which the request waited for capacity, at all attempts
	// JoinedAt is when the request first joined a wait queue. It is zero if it never did.
	JoinedAt time.Time
	// Ahead is the number of waiters before it when it first joined a wait queue, or when
	// a queue refused it.
	Ahead int

	Copies  int  // hedged copies sent
	CopyWon bool // the response is that of a copy
	// Superseded is the ID of the upstream whose attempt was cancelled because the other
	// copy had been answered. It is empty if there was none.
	Superseded string
}

// ended records that an attempt has ended, or that the response to an earlier one is
// returned. Like the other methods it does nothing if r is nil.
func (r *Report) ended(upstream string, number int, took time.Duration) {
	if r != nil {
		r.Upstream, r.Attempt, r.AttemptTook = upstream, number, took
	}
}

// queueing records the number of waiters before the request, which is about to join a queue.
func (r *Report) queueing(ahead int) {
	if r != nil && r.JoinedAt.IsZero() {
		r.Ahead = ahead
	}
}

// joined records that the request has joined a queue.
func (r *Report) joined(now time.Time) {
	if r != nil && r.JoinedAt.IsZero() {
		r.JoinedAt = now
	}
}

// waitedSince records that the request has waited for capacity since start.
func (r *Report) waitedSince(start time.Time) {
	if r != nil {
		r.Waited += time.Since(start)
	}
}

// copied records that a copy has been sent.
func (r *Report) copied() {
	if r != nil {
		r.Copies++
	}
}

// copyAnswered records that the response is that of a copy.
func (r *Report) copyAnswered() {
	if r != nil {
		r.CopyWon = true
	}
}

// superseded records that the attempt at an upstream has been cancelled.
func (r *Report) superseded(upstream string) {
	if r != nil {
		r.Superseded = upstream
	}
}
