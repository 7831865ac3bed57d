// Package upstream tracks the upstreams that an instance may send requests to, and
// chooses among them.
package upstream

import (
	"maps"
	"time"
)

// Entry is the registration of an upstream, as the upstream wrote it.
type Entry struct {
	ID         string // unique for each process of an upstream, unless it restarts under the same ID; see Born
	Born       int64  // start of the process, in Unix milliseconds; 0 if unknown
	Pool       string
	Address    string // IP:port
	DataCentre string
	Slots      int // requests served concurrently
	Draining   bool
	// Spot means that the machine may be reclaimed at short notice.
	Spot bool
	// Versions are the weight versions that the upstream holds, by model. It is empty
	// for a plain service.
	Versions map[string]uint64
}

// SameProcess reports whether e and o describe the same process of an upstream, so that
// what is known of one applies to the other.
func (e Entry) SameProcess(o Entry) bool {
	return e.ID == o.ID && e.Born == o.Born && e.Address == o.Address && e.Pool == o.Pool
}

// Equal reports whether all fields of e and o are equal.
func (e Entry) Equal(o Entry) bool {
	return e.SameProcess(o) && e.DataCentre == o.DataCentre && e.Slots == o.Slots && e.Draining == o.Draining && e.Spot == o.Spot && maps.Equal(e.Versions, o.Versions)
}

// Load is the load that an upstream sent with a response.
type Load struct {
	Running, Queued int
	Slots           int
	// Pace is how long work takes on the upstream's machine now, relative to the usual
	// time. It is 0 if the upstream did not tell.
	Pace float64
}

// AttemptResult is the outcome of an attempt at an upstream.
type AttemptResult struct {
	At   time.Time
	Load *Load // nil if the upstream sent none
	// LoadAt is when the upstream sent Load; zero for At. The header of a stream comes
	// long before its end, and the pace in it holds for a short time.
	LoadAt time.Time

	// Superseded means that the attempt was cancelled because another one had answered.
	// It says nothing about the upstream's health.
	Superseded bool
	// Cancelled means that this instance or the caller ended the attempt before its
	// response was complete, or held the response back until it had no time left. It is
	// left out of the upstream's failure rate, and says nothing about its health unless the
	// upstream has responded.
	Cancelled bool
	// Failed means that the upstream gave no usable response.
	Failed bool
	// TimedOut qualifies Failed and Unreachable: the attempt's deadline passed, or the time
	// for a connection. It says nothing about the upstream's health if a request that was
	// sent later has been answered.
	TimedOut bool
	// Interrupted means that the upstream ended a response early that it had begun. The
	// response counts as failed in the upstream's failure rate, and nowhere else.
	Interrupted bool
	// Unreachable means that the upstream accepted no connection.
	Unreachable bool
	// AddressReused means that another upstream has the address now.
	AddressReused bool
	// Busy means that the upstream had no free slot. It gets no requests until
	// BusyUntil.
	Busy      bool
	BusyUntil time.Time
	// Loading means that the upstream refused the request, as Busy, because it was
	// loading weights. In a contended pool it then gets no requests until the load can
	// have ended.
	Loading bool

	// VersionRefused means that the upstream refused the request because of its weight
	// version.
	VersionRefused bool

	// TimePerUnit is the time the upstream took for a unit of work, 0 if not measured.
	TimePerUnit time.Duration
	// Versions are the weight versions that the response showed, by model.
	Versions map[string]uint64
}

// responded reports whether the upstream has sent some of a response.
func (r AttemptResult) responded() bool {
	return r.Load != nil || len(r.Versions) > 0 || r.TimePerUnit > 0
}
