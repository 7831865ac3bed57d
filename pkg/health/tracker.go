// Package health tracks which upstreams answer, from the outcome of the
// requests sent to them, so that a crashed upstream, which is always the
// least loaded, does not draw every request.
package health

import (
	"sync"
	"time"
)

// Config says when an upstream is ejected and for how long.
type Config struct {
	// FailureThreshold in a row that eject an upstream; default 2.
	FailureThreshold int
	// EjectionTime is how long the first ejection lasts; each failure after it
	// doubles the time, up to MaxEjectFor. Defaults 500ms and 10s.
	EjectionTime    time.Duration
	MaxEjectionTime time.Duration
}

// Tracker keeps the health of upstreams by address. It is safe for
// concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[string]*upstream // those that have failed since they last answered
}

type upstream struct {
	failures  int
	ejectedTo time.Time // when it may be tried again; zero if not ejected
}

// NewTracker returns a Tracker to which every upstream is healthy.
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

// RecordSuccess tells that the upstream at addr answered.
func (t *Tracker) RecordSuccess(addr string) {
	t.mu.Lock()
	delete(t.upstreams, addr)
	t.mu.Unlock()
}

// RecordFailure tells that a request to the upstream at addr got no answer at now.
// Fatal means that it took no connection at all, which ejects it at once.
// It reports whether the upstream is now ejected and was not before.
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
	if u.failures < t.cfg.FailureThreshold || now.Before(u.ejectedTo) {
		return false
	}
	fresh := u.ejectedTo.IsZero()
	u.ejectedTo = now.Add(t.ejection(u.failures))
	return fresh
}

func (t *Tracker) ejection(failures int) time.Duration {
	d := t.cfg.EjectionTime
	for i := t.cfg.FailureThreshold; i < failures && d < t.cfg.MaxEjectionTime; i++ {
		d *= 2
	}
	return min(d, t.cfg.MaxEjectionTime)
}

// Usable reports whether the upstream at addr may be sent a request at now.
func (t *Tracker) Usable(addr string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[addr]
	return u == nil || !now.Before(u.ejectedTo)
}

// RecordAttempt tells that a request is about to be sent to the upstream at addr.
// After an ejection that request tries the upstream, and others keep away
// until it succeeds or another EjectFor has passed.
func (t *Tracker) RecordAttempt(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[addr]; u != nil && !u.ejectedTo.IsZero() && !now.Before(u.ejectedTo) {
		u.ejectedTo = now.Add(t.cfg.EjectionTime)
	}
}
