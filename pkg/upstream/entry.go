// Package upstream keeps what an instance knows of the upstreams that it may
// send requests to, and chooses among them.
package upstream

import (
	"maps"
	"time"
)

// Entry is what an upstream has registered of itself.
type Entry struct {
	ID         string // one for each start, unless the upstream starts again under it; see Born
	Born       int64  // Unix millisecond of its start; 0 if not told
	Pool       string
	Address    string // IP:port
	DataCentre string
	Slots      int // requests that it serves at once
	Draining   bool
	// Spot means that it may be taken back at short notice.
	Spot bool
	// Versions are the weight versions that it holds, by model; empty for a
	// plain service.
	Versions map[string]uint64
}

// SameProcess reports whether e and o are of the same start of an upstream: what
// is known of one holds for the other.
func (e Entry) SameProcess(o Entry) bool {
	return e.ID == o.ID && e.Born == o.Born && e.Address == o.Address && e.Pool == o.Pool
}

// Equal reports whether e and o tell the same.
func (e Entry) Equal(o Entry) bool {
	return e.SameProcess(o) && e.DataCentre == o.DataCentre && e.Slots == o.Slots && e.Draining == o.Draining && e.Spot == o.Spot && maps.Equal(e.Versions, o.Versions)
}

// Load is what an upstream told of its load with an answer.
type Load struct {
	Running, Queued int
	Slots           int
}

// AttemptResult tells a Registry how an attempt at an upstream went.
type AttemptResult struct {
	At   time.Time
	Load *Load // nil if the upstream told none

	// Failed means that the upstream gave no usable answer.
	Failed bool
	// Unreachable means that it took no connection.
	Unreachable bool
	// AddressReused means that another upstream has its address now.
	AddressReused bool
	// Busy means that it had no room, and is left alone until BusyUntil.
	Busy      bool
	BusyUntil time.Time

	// VersionRefused means that it turned the request away for its weight version.
	VersionRefused bool

	// TimePerUnit is the time that it took for a unit of work, 0 if not measured.
	TimePerUnit time.Duration
	// Versions are weight versions that its answer showed, by model.
	Versions map[string]uint64
}
