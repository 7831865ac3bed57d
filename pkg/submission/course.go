package submission

import "time"

// Course is how one item went at one owner, from which on-call engineers see what a
// step waited for.
type Course struct {
	BegunAt    time.Time     // when an engine first made a part of its text; zero for not yet
	WholeAt    time.Time     // when its text was whole, or its last attempt ended
	FinishedAt time.Time     // when it had a result; zero for not yet
	Generating time.Duration // at engines that made a part of its text
	Attempts   int           // at engines
	Refused    int           // of them, that made nothing

	attemptAt time.Time
	made      bool // the attempt has made a part of the text
}

func (c *Course) started(now time.Time) {
	c.Attempts++
	c.attemptAt, c.made = now, false
}

// extended tells how many events of the text the attempt has made.
func (c *Course) extended(events int) { c.made = c.made || events > 0 }

func (c *Course) generated(now time.Time) {
	c.WholeAt = now
	if !c.made {
		c.Refused++
		return
	}
	if c.BegunAt.IsZero() {
		c.BegunAt = c.attemptAt
	}
	c.Generating += now.Sub(c.attemptAt)
}

// Waited returns how long the item was without an engine before its text began, of a
// run that began at begun.
func (c Course) Waited(begun time.Time) time.Duration {
	if c.BegunAt.IsZero() {
		return 0
	}
	return c.BegunAt.Sub(begun)
}

// Interrupted returns how long its text, once begun, was without an engine.
func (c Course) Interrupted() time.Duration {
	if c.BegunAt.IsZero() {
		return 0
	}
	return c.WholeAt.Sub(c.BegunAt) - c.Generating
}

// Scoring returns how long its text, once whole, waited for its score.
func (c Course) Scoring() time.Duration {
	if c.FinishedAt.IsZero() || c.WholeAt.IsZero() {
		return 0
	}
	return c.FinishedAt.Sub(c.WholeAt)
}

// Last returns the course of the item that had its result last, and how many
// attempts were made at all items and how many of them made nothing.
func (r *Run) Last() (last Course, attempts, refused int) {
	for _, it := range r.items {
		attempts += it.course.Attempts
		refused += it.course.Refused
		if it.course.FinishedAt.After(last.FinishedAt) {
			last = it.course
		}
	}
	return last, attempts, refused
}
