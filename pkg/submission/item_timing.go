package submission

import "time"

// ItemTiming holds the times and attempts of one item at one owner. They are logged, so
// that operators can see what a training step waited for.
type ItemTiming struct {
	GenerationStartedAt time.Time     // start of the first attempt that produced events; zero if there was none
	GenerationEndedAt   time.Time     // when the text was complete, or the last attempt ended
	FinishedAt          time.Time     // when the item got its result; zero while it has none
	Generating          time.Duration // total time of the attempts that produced events
	Attempts            int           // generation attempts
	EmptyAttempts       int           // attempts that produced no events

	attemptStartedAt time.Time
	hasOutput        bool // the current attempt has produced events
}

func (t *ItemTiming) attemptStarted(now time.Time) {
	t.Attempts++
	t.attemptStartedAt, t.hasOutput = now, false
}

// eventsReceived records that the current attempt produced the given number of events.
func (t *ItemTiming) eventsReceived(events int) { t.hasOutput = t.hasOutput || events > 0 }

func (t *ItemTiming) attemptEnded(now time.Time) {
	t.GenerationEndedAt = now
	if !t.hasOutput {
		t.EmptyAttempts++
		return
	}
	if t.GenerationStartedAt.IsZero() {
		t.GenerationStartedAt = t.attemptStartedAt
	}
	t.Generating += now.Sub(t.attemptStartedAt)
}

// Waited returns how long the item waited for an engine before its generation started,
// in a run that started at runStartedAt; 0 if generation has not started.
func (t ItemTiming) Waited(runStartedAt time.Time) time.Duration {
	if t.GenerationStartedAt.IsZero() {
		return 0
	}
	return t.GenerationStartedAt.Sub(runStartedAt)
}

// Interrupted returns how long no engine worked on the text between its first and its
// last attempt.
func (t ItemTiming) Interrupted() time.Duration {
	if t.GenerationStartedAt.IsZero() {
		return 0
	}
	return t.GenerationEndedAt.Sub(t.GenerationStartedAt) - t.Generating
}

// Scoring returns the time from the complete text to the result; 0 while either is
// missing.
func (t ItemTiming) Scoring() time.Duration {
	if t.FinishedAt.IsZero() || t.GenerationEndedAt.IsZero() {
		return 0
	}
	return t.FinishedAt.Sub(t.GenerationEndedAt)
}

// LastFinished returns the timing of the item that got its result last, the number of
// generation attempts of all items, and how many of these produced no events.
func (r *Run) LastFinished() (last ItemTiming, attempts, empty int) {
	for _, it := range r.items {
		attempts += it.timing.Attempts
		empty += it.timing.EmptyAttempts
		if it.timing.FinishedAt.After(last.FinishedAt) {
			last = it.timing
		}
	}
	return last, attempts, empty
}
