// Package health tracks which upstreams answer, from the outcomes of the requests sent
// to them. A crashed upstream always has the lowest load, and would otherwise attract
// all requests.
package health

import (
	"sync"
	"time"
)

// Config configures when an upstream is ejected and for how long.
type Config struct {
	// FailureThreshold is the number of consecutive failures that eject an upstream.
	// The default is 2.
	FailureThreshold int
	// EjectionTime is the duration of the first ejection; the default is 500 ms. Each
	// further failure doubles it, up to MaxEjectionTime.
	EjectionTime time.Duration
	// MaxEjectionTime bounds the duration of an ejection. The default is 10 s.
	MaxEjectionTime time.Duration
}

// Tracker tracks the health of upstreams by address. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[string]*upstream // those that have failed since their last answer
}

type upstream struct {
	failures     int
	ejectedUntil time.Time // when it may be probed; zero if it was not ejected
}

// NewTracker returns a Tracker in which every upstream is healthy.
func NewTracker(cfg Config) *Tracker {
	if cfg.FailureThreshold == 0 {
		cfg.FailureThreshold = 2
	}
	if cfg.EjectionTime == 0 {
		cfg.EjectionTime = 500 * time.Millisecond
	}
	if cfg.MaxEjectionTime == 0 {
		cfg.MaxEjectionTime = 10 * time.Second
	}
	return &Tracker{cfg: cfg, upstreams: map[string]*upstream{}}
}

// RecordSuccess records that the upstream at addr answered, which readmits it.
func (t *Tracker) RecordSuccess(addr string) {
	t.mu.Lock()
	delete(t.upstreams, addr)
	t.mu.Unlock()
}

// RecordFailure records that a request to the upstream at addr got no answer at now.
// fatal means that the upstream accepted no connection, which ejects it at once. It
// reports whether the upstream is ejected for the first time since it last answered.
func (t *Tracker) RecordFailure(addr string, now time.Time, fatal bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[addr]
	if u == nil {
		u = &upstream{}
		t.upstreams[addr] = u
	}
	u.failures++
	if fatal {
		u.failures = max(u.failures, t.cfg.FailureThreshold)
	}
	if u.failures < t.cfg.FailureThreshold || now.Before(u.ejectedUntil) {
		return false
	}
	first := u.ejectedUntil.IsZero()
	u.ejectedUntil = now.Add(t.ejectionTime(u.failures))
	return first
}

// ejectionTime returns the duration of the ejection after the given number of
// consecutive failures.
func (t *Tracker) ejectionTime(failures int) time.Duration {
	d := t.cfg.EjectionTime
	for i := t.cfg.FailureThreshold; i < failures && d < t.cfg.MaxEjectionTime; i++ {
		d *= 2
	}
	return min(d, t.cfg.MaxEjectionTime)
}

// Usable reports whether a request may be sent to the upstream at addr at now.
func (t *Tracker) Usable(addr string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[addr]
	return u == nil || !now.Before(u.ejectedUntil)
}

// RecordAttempt records that a request is about to be sent to the upstream at addr. If
// its ejection has passed, the request is a probe: other requests avoid the upstream
// until the probe succeeds or another EjectionTime has passed.
func (t *Tracker) RecordAttempt(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[addr]; u != nil && !u.ejectedUntil.IsZero() && !now.Before(u.ejectedUntil) {
		u.ejectedUntil = now.Add(t.cfg.EjectionTime)
	}
}
