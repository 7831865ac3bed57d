package completion

import (
	"sync"
	"time"
)

const (
	// minLeftShare is the share of its estimated length that a text is assumed to lack
	// at least, however long it is already: lengths have a long tail.
	minLeftShare = 1.0 / 3
	// decay is the factor by which an observation counts less with each newer one, so
	// that the estimates follow a few steps of some hundred texts.
	decay = 1 - 1.0/500
)

// Estimator estimates how long engines take for texts from what earlier texts of a
// sender and model took. It is safe for concurrent use. The zero value knows nothing.
type Estimator struct {
	mu      sync.Mutex
	hints   float64 // sum of the length hints of complete texts
	lengths float64 // sum of their numbers of events
	events  float64 // sum of the numbers of events of attempts
	seconds float64 // sum of the times that these attempts took
}

// ObserveAttempt records that an engine took a time for a number of events.
func (e *Estimator) ObserveAttempt(events int, took time.Duration) {
	if events <= 0 || took <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events, e.seconds = decay*e.events+float64(events), decay*e.seconds+took.Seconds()
}

// ObserveText records the length hint and the number of events of a complete text.
func (e *Estimator) ObserveText(hint, events int) {
	if hint <= 0 || events <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hints, e.lengths = decay*e.hints+float64(hint), decay*e.lengths+float64(events)
}

// Rates returns the current estimates, and false while no text is known.
func (e *Estimator) Rates() (Rates, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hints == 0 || e.events == 0 {
		return Rates{}, false
	}
	return Rates{EventsPerUnit: e.eventsPerUnit(), EventTime: e.seconds / e.events}, true
}

// EventTime returns the estimated time that an engine takes for an event, or 0 while none is
// known.
func (e *Estimator) EventTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.events == 0 {
		return 0
	}
	return time.Duration(e.seconds / e.events * float64(time.Second))
}

// EventsPerUnit returns the number of events of a text for each unit of its length hint,
// or 0 while no text is known.
func (e *Estimator) EventsPerUnit() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.eventsPerUnit()
}

// eventsPerUnit is EventsPerUnit with e.mu held.
func (e *Estimator) eventsPerUnit() float64 {
	if e.hints == 0 {
		return 0
	}
	return e.lengths / e.hints
}

// Rates convert length hints to times.
type Rates struct {
	EventsPerUnit float64 // events of a text for each unit of its length hint
	EventTime     float64 // time that an engine takes for an event, in seconds
}

// Left returns the estimated time, in seconds, that an engine takes for the rest of a
// text with the given length hint of which it has a number of events.
func (r Rates) Left(hint float64, events int) float64 {
	length := hint * r.EventsPerUnit
	return max(length-float64(events), minLeftShare*length) * r.EventTime
}
