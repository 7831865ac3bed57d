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
	// Failures in a row that eject an upstream; default 2.
	Failures int
	// EjectFor is how long the first ejection lasts; each failure after it
	// doubles the time, up to MaxEjectFor. Defaults 500ms and 10s.
	EjectFor    time.Duration
	MaxEjectFor time.Duration
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
	if cfg.Failures == 0 {
		cfg.Failures = 2
	}
	if cfg.EjectFor == 0 {
		cfg.EjectFor = 500 * time.Millisecond
	}
	if cfg.MaxEjectFor == 0 {
		cfg.MaxEjectFor = 10 * time.Second
	}
	return &Tracker{cfg: cfg, upstreams: map[string]*upstream{}}
}

// Succeeded tells that the upstream at addr answered.
func (t *Tracker) Succeeded(addr string) {
	t.mu.Lock()
	delete(t.upstreams, addr)
	t.mu.Unlock()
}

// Failed tells that a request to the upstream at addr got no answer at now.
// Fatal means that it took no connection at all, which ejects it at once.
// It reports whether the upstream is now ejected and was not before.
func (t *Tracker) Failed(addr string, now time.Time, fatal bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[addr]
	if u == nil {
		u = &upstream{}
		t.upstreams[addr] = u
	}
	u.failures++
	if fatal {
		u.failures = max(u.failures, t.cfg.Failures)
	}
	if u.failures < t.cfg.Failures || now.Before(u.ejectedTo) {
		return false
	}
	fresh := u.ejectedTo.IsZero()
	u.ejectedTo = now.Add(t.ejection(u.failures))
	return fresh
}

func (t *Tracker) ejection(failures int) time.Duration {
	d := t.cfg.EjectFor
	for i := t.cfg.Failures; i < failures && d < t.cfg.MaxEjectFor; i++ {
		d *= 2
	}
	return min(d, t.cfg.MaxEjectFor)
}

// Usable reports whether the upstream at addr may be sent a request at now.
func (t *Tracker) Usable(addr string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[addr]
	return u == nil || !now.Before(u.ejectedTo)
}

// Trying tells that a request is about to be sent to the upstream at addr.
// After an ejection that request tries the upstream, and others keep away
// until it succeeds or another EjectFor has passed.
func (t *Tracker) Trying(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[addr]; u != nil && !u.ejectedTo.IsZero() && !now.Before(u.ejectedTo) {
		u.ejectedTo = now.Add(t.cfg.EjectFor)
	}
}
