// Package usage counts, by customer, the requests that upstreams begin to run in each
// usage window, stores the counts in the platform's store, and decides when a window is
// closed. The report of a window is finalized in a row before it is first sent, so that
// all lease holders that send it send the same.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Window is the number of a usage window: window k begins k times the window length
// after the Unix epoch.
type Window int64

// Counts is the number of requests begun, by customer.
type Counts map[string]int

// Add adds other to c.
func (c Counts) Add(other Counts) {
	for customer, n := range other {
		c[customer] += n
	}
}

// Schedule divides time into windows and gives the times at which their reports are
// due.
type Schedule struct {
	Length      time.Duration // of a window
	ReportDelay time.Duration // a report is due this long after its window's end
}

// WindowAt returns the window that contains t.
func (s Schedule) WindowAt(t time.Time) Window { return Window(t.UnixNano() / int64(s.Length)) }

// End returns when w ends.
func (s Schedule) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(s.Length)) }

// Due returns the time at which the report of w is due.
func (s Schedule) Due(w Window) time.Time { return s.End(w).Add(s.ReportDelay) }

const (
	// settleDelay is how long after a window's end instances still write counts of it:
	// a request is counted when it is answered, which takes at most 2 s where callers
	// wait no longer, and written within TallyWritePeriod.
	settleDelay = 3300 * time.Millisecond
	// recoveryDelay is how long instances take to write the counts that they could not
	// write while the store was unavailable.
	recoveryDelay = 2 * time.Second
	// sendMargin is the time reserved to send a report before it is due. With less, the
	// report would certainly be late.
	sendMargin = 2500 * time.Millisecond
	// TallyWritePeriod is how often an instance writes counts that have changed. Counts
	// not yet written are lost when the process is killed.
	TallyWritePeriod = time.Second
)

// CloseAt returns when the counts of w are added up. reachableSince is the time since
// which the store has been available without a break.
//
// There are three cases. Usually all instances have written their counts settleDelay
// after the window's end. If the store was unavailable in that time, instances write
// them when it is available again, and CloseAt waits for this as long as the report is
// still in time. If instances were killed, the counts that they had not written are
// lost, and waiting does not help.
func (s Schedule) CloseAt(w Window, reachableSince time.Time) time.Time {
	end := s.End(w)
	settled := end.Add(settleDelay)
	last := s.Due(w).Add(-sendMargin)
	at := settled
	if recovered := reachableSince.Add(recoveryDelay); recovered.After(at) && reachableSince.After(end) {
		at = recovered
	}
	if at.After(last) && last.After(settled) {
		return last
	}
	return at
}

// Meter counts the requests begun through this instance. It is safe for concurrent use.
type Meter struct {
	schedule Schedule

	mu      sync.Mutex
	tallies map[Window]*tally
}

type tally struct {
	counts  Counts
	changed bool   // since it was last written
	version uint64 // version of its row; 0 if there is none
}

// NewMeter returns a Meter for the windows of schedule.
func NewMeter(schedule Schedule) *Meter {
	return &Meter{schedule: schedule, tallies: map[Window]*tally{}}
}

// Count counts a request of customer that began at the given time.
func (m *Meter) Count(customer string, at time.Time) {
	w := m.schedule.WindowAt(at)
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tallies[w]
	if t == nil {
		t = &tally{counts: Counts{}}
		m.tallies[w] = t
	}
	t.counts[customer]++
	t.changed = true
}

// Tally is what an instance has counted in a window.
type Tally struct {
	Window  Window
	Counts  Counts
	Version uint64 // version of the row that holds an earlier state of the tally; 0 for none
}

// Unwritten returns the tallies that have changed since they were last written.
func (m *Meter) Unwritten() []Tally {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Tally
	for w, t := range m.tallies {
		if t.changed {
			out = append(out, Tally{Window: w, Counts: maps.Clone(t.counts), Version: t.version})
		}
	}
	return out
}

// Written records the version of a tally's row, and whether the row holds the tally's
// counts.
func (m *Meter) Written(written Tally, version uint64, current bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tallies[written.Window]
	if t == nil {
		return
	}
	t.version = version
	if current {
		t.changed = !maps.Equal(t.counts, written.Counts)
	}
}

// tallyRetention is how long past windows are retained to be written: longer than most
// outages of the store.
const tallyRetention = 2 * time.Minute

// Expire drops the windows that ended more than tallyRetention before now.
func (m *Meter) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.tallies, func(w Window, _ *tally) bool { return now.Sub(m.schedule.End(w)) > tallyRetention })
}
