package submission

import (
	"math"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// MoveInterval is the minimum time between two moves of a text. The pace of an
	// engine that shares its machine changes after some hundred milliseconds, and a text
	// must not follow each change.
	MoveInterval = 500 * time.Millisecond
	// RereadTime is the time that a move costs: the new engine reads the prompt and the
	// text so far.
	RereadTime = 50 * time.Millisecond
	// minLeftShare is the part of what is generated that is expected to follow at least,
	// because texts often exceed their length hint and lengths have a long tail.
	minLeftShare = 1
	// unknownMeanEvents is the mean number of events of a text that is assumed until
	// texts are complete.
	unknownMeanEvents = 16
)

// EventsLeft returns how many events a text is expected to have after the generated
// ones. expected is the number of events that its length hint stands for, 0 if unknown.
func EventsLeft(expected float64, generated int) float64 {
	return max(expected-float64(generated), minLeftShare*float64(generated))
}

// Length is the estimated length of an item's text.
type Length struct {
	Work       float64 // rest of the text relative to the submission's mean text
	MeanEvents float64 // events of the mean text
}

// Length returns the estimated length of item i's text. An item without a length hint
// counts as a mean one.
func (r *Run) Length(i int) Length { return r.lengthAfter(i, r.items[i].lastEvent) }

// WholeLength returns the estimated length of item i's text if it starts again.
func (r *Run) WholeLength(i int) Length { return r.lengthAfter(i, 0) }

// lengthAfter returns the estimated length of item i's text of which a number of events have
// been generated.
func (r *Run) lengthAfter(i, generated int) Length {
	l := Length{Work: 1, MeanEvents: unknownMeanEvents}
	if r.completeTexts > 0 {
		l.MeanEvents = float64(r.completeEvents) / float64(r.completeTexts)
	}
	if perUnit := r.estimator.EventsPerUnit(); perUnit > 0 && r.meanHint > 0 {
		l.MeanEvents = r.meanHint * perUnit // complete texts are the shorter ones at first
	}
	if hint := r.spec.Items[i].Length; hint > 0 {
		l.Work = float64(hint) / r.meanHint
	}
	if generated > 0 {
		l.Work = EventsLeft(l.Work*l.MeanEvents, generated) / l.MeanEvents
	}
	return l
}

// meanHint returns the mean length hint of the items that have one, or 0 if none has.
func meanHint(items []Item) float64 {
	sum, n := 0, 0
	for _, it := range items {
		if it.Length > 0 {
			sum += it.Length
			n++
		}
	}
	return float64(sum) / float64(max(n, 1))
}

// mover decides when an item's text moves to another engine.
type mover struct {
	runner        *Runner
	item          int
	elsewhere     upstream.Requirements // what another engine must offer
	singleVersion bool                  // the text must not have several weight versions

	movedAt  time.Time             // last move; zero for none
	reserved *upstream.Reservation // where a slot is reserved for the text; nil for none
	version  uint64                // weight version that the text requires there; 0 for any
}

// leave reports whether the text, which has events up to the given ID, leaves the engine
// of rsv. In a contended pool it then has a reserved slot elsewhere.
func (m *mover) leave(rsv *upstream.Reservation, generated int, version uint64, now time.Time) bool {
	r := m.runner
	req := m.elsewhere
	req.Now = now
	m.version = 0
	if m.singleVersion && version != 0 {
		req.MinVersion, req.MaxVersion = version, version
		m.version = version
	}
	if !r.cfg.Registry.Contended(req.Pool) {
		return rsv.FasterAvailable(req, SlowEngineFactor)
	}
	if now.Sub(m.movedAt) < MoveInterval {
		return false
	}
	expected := float64(r.spec.Items[m.item].Length) * math.Float64frombits(r.eventsPerUnit.Load())
	req.Work, req.Units = 0, EventsLeft(expected, generated)
	next, ok := rsv.AcquireSooner(req, RereadTime)
	if ok {
		m.reserved, m.movedAt = next, now
	}
	return ok
}

// takeReserved returns the reservation for the text, which the caller must end, or nil.
func (m *mover) takeReserved() *upstream.Reservation {
	next := m.reserved
	m.reserved = nil
	return next
}
