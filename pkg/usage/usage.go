// Package usage counts, by customer, the requests that upstreams begin to run in
// each window of time, keeps the counts in the platform's store, and decides when
// a window is closed. What is reported of a window is fixed in a row before it is
// first sent, so that whoever sends it, then or later, sends the same.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Window is the number of a window of time: window k begins k times the windows'
// length after the start of 1970.
type Window int64

// Counts are how many requests began, by customer.
type Counts map[string]int

// Add adds other to c.
func (c Counts) Add(other Counts) {
	for customer, n := range other {
		c[customer] += n
	}
}

// Schedule divides time into windows and says when their reports are due.
type Schedule struct {
	Length      time.Duration // of a window
	ReportDelay time.Duration // a report is due this long after its window's end
}

// WindowAt returns the window that t is in.
func (c Schedule) WindowAt(t time.Time) Window { return Window(t.UnixNano() / int64(c.Length)) }

// End returns when w ends.
func (c Schedule) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(c.Length)) }

// Due returns when the report of w is due.
func (c Schedule) Due(w Window) time.Time { return c.End(w).Add(c.ReportDelay) }

const (
	// settleTime is how long after a window's end instances go on telling of it: a
	// request is counted when it is answered, which takes 2 s at the most where
	// callers wait no longer, and told within TellPeriod.
	settleTime = 3300 * time.Millisecond
	// returnTime is how long instances take to tell what they could not while the
	// store was away.
	returnTime = 2 * time.Second
	// sendTime is what is left to send a report before it is due, or it would be
	// late for sure.
	sendTime = 2500 * time.Millisecond
	// TallyWritePeriod is how often an instance tells counts that have changed: what it
	// has not told is lost when it is killed.
	TallyWritePeriod = time.Second
)

// CloseAt returns when the counts of w are added up. reachedSince is since when the
// store has been reached without a break.
//
// It answers three loads. In the usual one, all have told their counts settleTime
// after the end. Where the store was away over that time, instances tell them when
// it returns, and are waited for while the report would still be in time. Where
// some are killed, what they had not told is lost, and nothing is waited for.
func (c Schedule) CloseAt(w Window, reachedSince time.Time) time.Time {
	end := c.End(w)
	settled := end.Add(settleTime)
	last := c.Due(w).Add(-sendTime)
	at := settled
	if back := reachedSince.Add(returnTime); back.After(at) && reachedSince.After(end) {
		at = back
	}
	if at.After(last) && last.After(settled) {
		return last
	}
	return at
}

// Meter counts what begins at this instance. It is safe for concurrent use.
type Meter struct {
	calendar Schedule

	mu      sync.Mutex
	tallies map[Window]*tally
}

type tally struct {
	counts  Counts
	changed bool   // since it was told
	version uint64 // of the row that tells it; 0 if it was not told
}

// NewMeter returns a Meter of windows in calendar.
func NewMeter(calendar Schedule) *Meter {
	return &Meter{calendar: calendar, tallies: map[Window]*tally{}}
}

// Count counts a request of customer that began at at.
func (m *Meter) Count(customer string, at time.Time) {
	w := m.calendar.WindowAt(at)
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
	Version uint64 // of the row that tells an earlier state of it; 0 for none
}

// Unwritten returns the tallies that have changed since they were told.
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

// Written tells that the row of a tally has a version now, and whether it holds the
// tally's counts.
func (m *Meter) Written(told Tally, version uint64, holds bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tallies[told.Window]
	if t == nil {
		return
	}
	t.version = version
	if holds {
		t.changed = !maps.Equal(t.counts, told.Counts)
	}
}

// keepFor is how long counts of past windows are kept to be told: longer than most
// outages of the store.
const keepFor = 2 * time.Minute

// Expire drops the windows that ended long before now.
func (m *Meter) Expire(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.tallies, func(w Window, _ *tally) bool { return now.Sub(m.calendar.End(w)) > keepFor })
}
