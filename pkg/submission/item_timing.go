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

func (c *ItemTiming) attemptStarted(now time.Time) {
	c.Attempts++
	c.attemptStartedAt, c.hasOutput = now, false
}

// eventsReceived records that the current attempt produced the given number of events.
func (c *ItemTiming) eventsReceived(events int) { c.hasOutput = c.hasOutput || events > 0 }

func (c *ItemTiming) attemptEnded(now time.Time) {
	c.GenerationEndedAt = now
	if !c.hasOutput {
		c.EmptyAttempts++
		return
	}
	if c.GenerationStartedAt.IsZero() {
		c.GenerationStartedAt = c.attemptStartedAt
	}
	c.Generating += now.Sub(c.attemptStartedAt)
}

// Waited returns how long the item waited for an engine before its generation started,
// in a run that started at runStartedAt; 0 if generation has not started.
func (c ItemTiming) Waited(runStartedAt time.Time) time.Duration {
	if c.GenerationStartedAt.IsZero() {
		return 0
	}
	return c.GenerationStartedAt.Sub(runStartedAt)
}

// Interrupted returns how long no engine worked on the text between its first and its
// last attempt.
func (c ItemTiming) Interrupted() time.Duration {
	if c.GenerationStartedAt.IsZero() {
		return 0
	}
	return c.GenerationEndedAt.Sub(c.GenerationStartedAt) - c.Generating
}

// Scoring returns the time from the complete text to the result; 0 while either is
// missing.
func (c ItemTiming) Scoring() time.Duration {
	if c.FinishedAt.IsZero() || c.GenerationEndedAt.IsZero() {
		return 0
	}
	return c.FinishedAt.Sub(c.GenerationEndedAt)
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
