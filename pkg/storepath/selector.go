// Package storepath selects the path on which an instance reaches the platform's store:
// directly, or through a peer that reaches it. The store may refuse some instances, or be
// cut off from them, while it serves the others. An instance that continues through a
// peer keeps the work that it owns.
package storepath

import "time"

const (
	// AnswerTimeout is the time without an answer after which the path is checked: the
	// store answers in 4 to 10 ms, and in 300 to 600 ms when it is sixty times slower.
	AnswerTimeout = 250 * time.Millisecond
	// FastPing is the time in which a ping must be answered for its path to be selected
	// at once: 20 times the usual time. When the store is slow for all instances, no path
	// is fast, and the direct one stays in use.
	FastPing = 120 * time.Millisecond
	// PeerPingDelay is how long only the direct path is pinged before peers are.
	PeerPingDelay = 40 * time.Millisecond
	// PingTimeout bounds a ping. A store that is sixty times slower than usual still
	// answers within it.
	PingTimeout = 600 * time.Millisecond
	// maxPeers is how many peers are pinged at once. Some of them may be cut off as well:
	// if a third of a site's instances have lost the store, three peers are all cut off
	// one time in thirty.
	maxPeers = 3
	// unreachablePause is the time between two checks while the store is unreachable, and
	// viaPeerPause the time between two pings of the direct path while a peer is used.
	unreachablePause = 150 * time.Millisecond
	viaPeerPause     = 500 * time.Millisecond
	// minCheckPause is the least time between two checks requested by calls.
	minCheckPause = 150 * time.Millisecond
	// returnAfter is how many pings in a row must be answered within FastPing on the
	// direct path before it is used again, so that the path does not follow a store that
	// comes and goes.
	returnAfter = 2
)

// AccessPath is a path to the store. The zero value is the direct path.
type AccessPath struct {
	Kind Kind
	Peer string // address of the peer if Kind is ThroughPeer
}

// Kind is the kind of an AccessPath.
type Kind int

// The kinds of access paths.
const (
	Direct Kind = iota
	ThroughPeer
	Unreachable // no path works: calls are still tried directly, and callers are turned away
)

func (ap AccessPath) String() string {
	switch ap.Kind {
	case Direct:
		return "direct"
	case ThroughPeer:
		return "peer " + ap.Peer
	}
	return "none"
}

// Ping is the state of one ping.
type Ping struct {
	Path  AccessPath // of kind Direct or ThroughPeer
	Ended bool
	Took  time.Duration // duration, if it has ended
	Err   error
}

func (p Ping) answered() bool { return p.Ended && p.Err == nil }

// Choose chooses a path from pings that were started elapsed ago. ok is false while pings
// in flight may still change the choice.
//
// It covers three situations. When the store refuses some instances for some seconds, the
// direct ping fails, and the first peer that answers fast is chosen. When the store is
// cut off silently, the direct ping is given FastPing, in which it would have been
// answered. When the store is slow or unavailable for all instances, no peer answers
// fast, and the direct path is chosen, or Unreachable.
func Choose(pings []Ping, elapsed time.Duration) (ap AccessPath, ok bool) {
	var direct Ping
	var peer, slowPeer *Ping
	pending := false
	for _, p := range pings {
		switch {
		case p.Path.Kind == Direct:
			direct = p
		case !p.Ended:
			pending = true
		case p.answered() && p.Took <= FastPing && (peer == nil || p.Took < peer.Took):
			peer = &p
		case p.answered() && (slowPeer == nil || p.Took < slowPeer.Took):
			slowPeer = &p
		}
	}
	directIsSlow := direct.Ended || elapsed >= FastPing
	switch {
	case direct.answered() && direct.Took <= FastPing:
		return AccessPath{}, true
	case peer != nil && directIsSlow:
		return peer.Path, true
	case direct.answered():
		return AccessPath{}, true
	case (!direct.Ended || pending) && elapsed < PingTimeout:
		return AccessPath{}, false
	case slowPeer != nil:
		return slowPeer.Path, true
	}
	return AccessPath{Kind: Unreachable}, true
}

// Selector holds the path that an instance uses and what is needed to change it. It does
// no I/O.
type Selector struct {
	path      AccessPath
	answered  time.Time // last answer on the path
	checkedAt time.Time // end of the last check
	fastPings int       // number of fast direct pings in a row while another path is used
}

// Path returns the path that calls use.
func (s *Selector) Path() AccessPath { return s.path }

// Answered records that a call on path ap was answered at at, and reports whether the path
// changed. A store that answers a call is not unreachable even if pings fail, as it can
// serve a part of its partitions.
func (s *Selector) Answered(ap AccessPath, at time.Time) bool {
	if ap != s.path {
		return false
	}
	if ap.Kind == Unreachable {
		return s.set(AccessPath{})
	}
	if at.After(s.answered) {
		s.answered = at
	}
	return false
}

// Failed reports whether the paths should be checked after a call on path ap was refused
// or interrupted at at. While the store is unreachable they should not: they are checked
// periodically, and further checks would delay these.
func (s *Selector) Failed(ap AccessPath, at time.Time) bool {
	return ap == s.path && ap.Kind != Unreachable && s.CheckIsDue(at)
}

// CheckIsDue reports whether the last check is long enough ago for another.
func (s *Selector) CheckIsDue(at time.Time) bool { return at.Sub(s.checkedAt) >= minCheckPause }

// Overdue reports whether the paths should be checked after a call on path ap, sent at
// sentAt, has not been answered in time. If other calls were answered since sentAt, they
// should not: either only this answer was lost, or the store is still holding the call.
func (s *Selector) Overdue(ap AccessPath, sentAt, at time.Time) bool {
	return !s.answered.After(sentAt) && s.Failed(ap, at)
}

// Checked selects the path that a check has found at at, and reports whether the path
// changed.
func (s *Selector) Checked(ap AccessPath, at time.Time) bool {
	s.checkedAt = at
	return s.set(ap)
}

// DirectPinged records the outcome of a ping of the direct path while another path is
// used, and reports whether the direct path is used again.
func (s *Selector) DirectPinged(took time.Duration, err error) bool {
	if s.path.Kind == Direct {
		return false
	}
	s.fastPings++
	if err != nil || took > FastPing {
		s.fastPings = 0
	}
	return s.fastPings >= returnAfter && s.set(AccessPath{})
}

func (s *Selector) set(ap AccessPath) bool {
	if ap == s.path {
		return false
	}
	s.path, s.fastPings, s.answered = ap, 0, time.Time{}
	return true
}

// NextCheck returns when the paths are to be checked next without a request, given the
// current time at; zero for never.
func (s *Selector) NextCheck(at time.Time) time.Time {
	switch s.path.Kind {
	case Unreachable:
		return at.Add(unreachablePause)
	case ThroughPeer:
		return at.Add(viaPeerPause)
	}
	return time.Time{}
}
