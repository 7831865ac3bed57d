// Package storepath finds the way by which an instance reaches the platform's
// store: directly, or through a peer that reaches it. The store may turn some
// instances away, or be cut off from them, while it serves the others; an instance
// that works on through a peer keeps what it owns.
package storepath

import "time"

const (
	// AnswerTimeout is how long an answer may take until the way is looked at: the store
	// answers in 4 to 10 ms, and one that is sixty times slower in 300 to 600.
	AnswerTimeout = 250 * time.Millisecond
	// FastPing is how fast a ping by a way must be answered for the way to be taken at
	// once: 20 times the usual. By a store that is slow for all, no way is good,
	// and the direct one stays.
	FastPing = 120 * time.Millisecond
	// PeerPingDelay is how long the direct way is asked before peers are.
	PeerPingDelay = 40 * time.Millisecond
	// PingTimeout bounds a ping: a store that answers sixty times more slowly than
	// usual is still reached.
	PingTimeout = 600 * time.Millisecond
	// asked is how many peers are asked at once, some of which may be cut off
	// as well: of a site that has lost the store at a third of its instances, one
	// of three peers has it but for one time in thirty.
	asked = 3
	// lostPause is the pause between two looks for a way while there is none, and
	// returnPause that between two looks whether the direct one is back.
	lostPause   = 150 * time.Millisecond
	returnPause = 500 * time.Millisecond
	// checkPause is the least time between two looks that calls cause.
	checkPause = 150 * time.Millisecond
	// returnAfter is how many pings in a row the direct way must have answered to
	// be taken again, so that a store that comes and goes is not followed.
	returnAfter = 2
)

// AccessPath is a way to the store.
type AccessPath struct {
	Kind Kind
	Peer string // address of the peer of ThroughPeer
}

// Kind is the kind of a Way.
type Kind int

// The kinds of ways.
const (
	Direct Kind = iota
	ThroughPeer
	Unreachable // there is none: calls are tried directly, and callers are turned away
)

func (w AccessPath) String() string {
	switch w.Kind {
	case Direct:
		return "direct"
	case ThroughPeer:
		return "peer " + w.Peer
	}
	return "none"
}

// Ping is what is known of one ping by a way.
type Ping struct {
	Path  AccessPath // Direct or ThroughPeer
	Ended bool
	Took  time.Duration // if it has ended
	Err   error
}

func (p Ping) answered() bool { return p.Ended && p.Err == nil }

// Choose chooses a way from pings that were begun elapsed ago; ok is false while
// those under way may still change the choice.
//
// It answers three loads. The store turns a part of the instances away for some
// seconds: the direct ping fails, and the first peer that answers soon is taken.
// The store is cut off silently: the direct ping has its Good time, in which it
// would have answered. The store is slow for all, or away for all: no peer answers
// soon, and the direct way stays, or there is none.
func Choose(pings []Ping, elapsed time.Duration) (w AccessPath, ok bool) {
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

// Selector is what an instance knows of its way to the store. It does no I/O.
type Selector struct {
	way       AccessPath
	answered  time.Time // last answer by the way
	checkedAt time.Time // when the last look ended
	good      int       // direct pings answered in a row, while another way is taken
}

// Path returns the way that calls take.
func (p *Selector) Path() AccessPath { return p.way }

// Answered tells that a call by way w was answered at at, and reports whether
// the way is another than before: a store that answers is not lost, though pings
// of it were not answered, as it can serve a part of its partitions.
func (p *Selector) Answered(w AccessPath, at time.Time) bool {
	if w != p.way {
		return false
	}
	if w.Kind == Unreachable {
		return p.take(AccessPath{})
	}
	if at.After(p.answered) {
		p.answered = at
	}
	return false
}

// Failed tells that a call by way w was turned away or broke off at at, and
// reports whether the ways are to be looked at.
func (p *Selector) Failed(w AccessPath, at time.Time) bool {
	return w == p.way && p.CheckIsDue(at)
}

// CheckIsDue reports whether the last look is long enough ago for another.
func (p *Selector) CheckIsDue(at time.Time) bool { return at.Sub(p.checkedAt) >= checkPause }

// Overdue tells that a call by way w, sent at sentAt, has not been answered in
// time, and reports whether the ways are to be looked at: not if others were
// answered meanwhile, as then its own answer was lost or the store holds it.
func (p *Selector) Overdue(w AccessPath, sentAt, at time.Time) bool {
	return !p.answered.After(sentAt) && p.Failed(w, at)
}

// Checked takes the way that a look has found at at, and reports whether it is
// another than before.
func (p *Selector) Checked(w AccessPath, at time.Time) bool {
	p.checkedAt = at
	return p.take(w)
}

// DirectPinged takes the outcome of a ping of the direct way while another is
// taken, and reports whether the direct way is taken again.
func (p *Selector) DirectPinged(took time.Duration, err error) bool {
	if p.way.Kind == Direct {
		return false
	}
	p.good++
	if err != nil || took > FastPing {
		p.good = 0
	}
	return p.good >= returnAfter && p.take(AccessPath{})
}

func (p *Selector) take(w AccessPath) bool {
	if w == p.way {
		return false
	}
	p.way, p.good, p.answered = w, 0, time.Time{}
	return true
}

// NextCheck returns when the ways are looked at next though no call asks for it,
// after a look at at; zero for never.
func (p *Selector) NextCheck(at time.Time) time.Time {
	switch p.way.Kind {
	case Unreachable:
		return at.Add(lostPause)
	case ThroughPeer:
		return at.Add(returnPause)
	}
	return time.Time{}
}
