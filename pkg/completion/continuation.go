package completion

import "time"

// unknownEventTime is the time that an engine is assumed to take for an event until some have
// been seen.
const unknownEventTime = 50 * time.Millisecond

// Interrupted is a text that only some of the engines can continue, such as those that hold the
// weights that generated it, and none of these has room at the moment.
type Interrupted struct {
	Events    int           // events that the text has
	Left      float64       // estimated number of events that it lacks
	EventTime time.Duration // time that an engine takes for an event; 0 if unknown
	Since     time.Time     // when it was first found that none had room
	Due       time.Time     // when the text's step is due; zero if it never is
	Room      time.Time     // estimate of when one will have room; zero if unknown
	// Awaited means that an engine that can continue the text may have room soon.
	Awaited bool
}

// StartsAgain reports whether the text should be discarded at now and start again at any engine
// that has room, rather than wait for one that can continue it.
//
// It does not wait if that is expected to take as long as generating the events again. The
// estimate may be wrong, so a wait ends once it has taken as long as that: the text is then
// complete at most that much later than with the better of both choices. The wait ends earlier if
// otherwise a text that starts again would no longer be complete when its step is due.
func (t Interrupted) StartsAgain(now time.Time) bool {
	if !t.Awaited {
		return true
	}
	perEvent := t.EventTime
	if perEvent <= 0 {
		perEvent = unknownEventTime
	}
	again := time.Duration(t.Events) * perEvent
	if !t.Room.IsZero() && t.Room.Sub(now) >= again {
		return true
	}
	until := t.Since.Add(again)
	if !t.Due.IsZero() {
		latest := t.Due.Add(-again - time.Duration(t.Left*float64(perEvent)))
		if latest.Before(until) && !latest.Before(t.Since) {
			until = latest
		}
	}
	return !now.Before(until)
}
