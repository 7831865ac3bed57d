package submission

import "time"

// ItemTiming is how one item went at one owner, from which on-call engineers see what a
// step waited for.
type ItemTiming struct {
	GenerationStartedAt time.Time     // when an engine first made a part of its text; zero for not yet
	GenerationEndedAt   time.Time     // when its text was whole, or its last attempt ended
	FinishedAt          time.Time     // when it had a result; zero for not yet
	Generating          time.Duration // at engines that made a part of its text
	Attempts            int           // at engines
	EmptyAttempts       int           // of them, that made nothing

	attemptAt time.Time
	made      bool // the attempt has made a part of the text
}

func (c *ItemTiming) started(now time.Time) {
	c.Attempts++
	c.attemptAt, c.made = now, false
}

// extended tells how many events of the text the attempt has made.
func (c *ItemTiming) extended(events int) { c.made = c.made || events > 0 }

func (c *ItemTiming) generated(now time.Time) {
	c.GenerationEndedAt = now
	if !c.made {
		c.EmptyAttempts++
		return
	}
	if c.GenerationStartedAt.IsZero() {
		c.GenerationStartedAt = c.attemptAt
	}
	c.Generating += now.Sub(c.attemptAt)
}

// Waited returns how long the item was without an engine before its text began, of a
// run that began at begun.
func (c ItemTiming) Waited(begun time.Time) time.Duration {
	if c.GenerationStartedAt.IsZero() {
		return 0
	}
	return c.GenerationStartedAt.Sub(begun)
}

// Interrupted returns how long its text, once begun, was without an engine.
func (c ItemTiming) Interrupted() time.Duration {
	if c.GenerationStartedAt.IsZero() {
		return 0
	}
	return c.GenerationEndedAt.Sub(c.GenerationStartedAt) - c.Generating
}

// Scoring returns how long its text, once whole, waited for its score.
func (c ItemTiming) Scoring() time.Duration {
	if c.FinishedAt.IsZero() || c.GenerationEndedAt.IsZero() {
		return 0
	}
	return c.FinishedAt.Sub(c.GenerationEndedAt)
}

// LastFinished returns the course of the item that had its result last, and how many
// attempts were made at all items and how many of them made nothing.
func (r *Run) LastFinished() (last ItemTiming, attempts, refused int) {
	for _, it := range r.items {
		attempts += it.course.Attempts
		refused += it.course.EmptyAttempts
		if it.course.FinishedAt.After(last.FinishedAt) {
			last = it.course
		}
	}
	return last, attempts, refused
}
