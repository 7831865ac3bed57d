package watch

import (
	"errors"
	"time"
)

// Events that a Machine reduces. Each tells when it happened.
type (
	// Started tells that the instance follows nothing yet.
	Started struct{ At time.Time }
	// Ticked tells the time, at the latest at what Next returned.
	Ticked struct{ At time.Time }
	// DirectoryRead tells the outcome of a ReadDirectory.
	DirectoryRead struct {
		At     time.Time
		Relays []Relay // nothing if Err is set
		Err    error
	}
	// DirectoryChanged tells that relays have come, gone or changed, by the table that is
	// followed.
	DirectoryChanged struct {
		At     time.Time
		Relays []Relay // all there are
	}
	// ConnectDone tells the outcome of a Try.
	ConnectDone struct {
		At      time.Time
		Address string
		Outcome ConnectOutcome
	}
	// WatchOpened tells the outcome of an Open.
	WatchOpened struct {
		At  time.Time
		Err error // nil for a watch that runs
	}
	// RelayStatus tells what a watch has told of its relay.
	RelayStatus struct {
		At               time.Time
		StoreUnavailable bool // the relay has lost the store
		Leaving          bool // the relay is about to stop
	}
	// WatchEnded tells that a watch has ended.
	WatchEnded struct {
		At     time.Time
		Reason string
	}
	// ClaimDone tells the outcome of a Claim.
	ClaimDone struct {
		At  time.Time
		Err error
	}
	// RelayingDisabled tells that this instance is to be no relay any more, and never again.
	RelayingDisabled struct{ At time.Time }
)

// Effects that a Machine asks for.
type (
	// ReadDirectory reads the relays' table from the store.
	ReadDirectory struct{}
	// Connect opens a link to a relay, and a watch of the relays' table.
	Connect struct{ Relay Relay }
	// CloseConnections closes what Tries have opened, and gives up those under way, but for the
	// relay at the address Keep.
	CloseConnections struct{ Keep string }
	// OpenWatch ends what is followed, and watches all tables at a relay that was tried.
	OpenWatch struct{ Relay Relay }
	// ReadStore ends what is followed, and reads the tables from the store.
	ReadStore struct{}
	// ClaimSlot takes a slot.
	ClaimSlot struct {
		Key     string
		Version uint64 // of its row; 0 if it has none
	}
	// StartRelay ends what is followed, and reads the tables from the store for others.
	StartRelay struct{ Key string }
	// StopRelay ends that.
	StopRelay struct{}
	// NotifyUnavailable tells that the tables cannot be read for now.
	NotifyUnavailable struct{}
	// SetSource tells what the tables are followed by from now on, and why.
	SetSource struct {
		Source Source
		Reason string
	}
)

// Effect is one of the effects.
type Effect any

// ConnectOutcome is what became of a Try.
type ConnectOutcome int

// The outcomes of a Try.
const (
	RelayReady        ConnectOutcome = iota // the relay has the store
	RelayWithoutStore                       // the relay has lost it
	RelayFull                               // the relay has no room
	RelayGone                               // there is no relay, or it is about to stop
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	StartID    string  // identifies the start of this instance
	DataCentre string  // that it is in
	Cores      float64 // processor cores that it has
	CanRelay   bool    // others can connect to it
	// UseRelays reports whether the tables are so large that they are not to be read by
	// each instance.
	UseRelays func() bool
	// Live reports whether the instance with a start is there; known is false while
	// that cannot be told.
	Live func(start string) (live, known bool)
	// Watchers returns how many instances follow tables through this one.
	Watchers func() int
	// Rand returns a number drawn evenly from [0, 1).
	Rand func() float64
}

// Machine decides what an instance follows tables by. It does no I/O: it is told events
// and returns effects, whose outcomes are events.
type Machine struct {
	cfg MachineConfig

	mode    mode
	dir     directory
	avoided map[string]avoidance // by address
	search  *search
	// known means that the tables have been followed, so that they can be read on from
	// the versions that are known.
	known     bool
	why       string // the last source was left, or none was taken yet
	lookAt    time.Time
	giveUpAt  time.Time // when an instance that knows nothing reads the store
	looks     int       // at the directory since the last source was left
	claimAt   time.Time // when a free slot may be taken; zero while none is known to be free
	claiming  ClaimSlot // that is under way, or was carried out; zero for none
	left      bool
	relay     Relay     // that is watched
	lostAt    time.Time // since when it has lost the store; zero if it has not
	farFromAt time.Time // from when relays of other data centres will do
}

// mode is what a Machine is about.
type mode int

const (
	seeking  mode = iota // nothing is followed
	opening              // a watch is being opened
	watching             // a relay is followed
	direct               // the tables are read from the store
	serving              // and for others
)

// avoidance tells why a relay is not tried for a while.
type avoidance struct {
	until time.Time
	found condition
}

// NewMachine returns a Machine that is to be told Began.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{cfg: cfg, avoided: map[string]avoidance{}, why: "begins"}
}

// Next returns when the Machine wants to be told the time; zero for no time.
func (m *Machine) Next() time.Time {
	if m.search != nil {
		return m.search.next()
	}
	return m.lookAt
}

// Reduce applies ev and returns what to do.
func (m *Machine) Reduce(ev any) []Effect {
	switch e := ev.(type) {
	case Started:
		m.giveUpAt = e.At.Add(patience)
		return []Effect{ReadDirectory{}}
	case Ticked:
		return m.onTick(e.At)
	case DirectoryRead:
		return m.onDirectory(e)
	case DirectoryChanged:
		m.dir.set(e.Relays)
	case ConnectDone:
		return m.onTried(e)
	case WatchOpened:
		return m.onOpened(e)
	case RelayStatus:
		return m.onHeard(e)
	case WatchEnded:
		if m.mode == watching {
			m.avoid(m.relay.Address, gone, e.At)
			return append([]Effect{SetSource{Source{Kind: None}, e.Reason}}, m.seek(e.At, e.Reason)...)
		}
	case ClaimDone:
		return m.onClaimed(e)
	case RelayingDisabled:
		m.left = true
	}
	return nil
}

// seek begins to look for a relay, first among those that are known.
func (m *Machine) seek(now time.Time, why string) []Effect {
	m.mode, m.why, m.looks, m.lookAt, m.search = seeking, why, 0, time.Time{}, nil
	return append([]Effect{CloseConnections{}}, m.find(now)...)
}

// find tries all relays that are known. An instance that knows the tables does not wait
// long: what it knows grows old, and to read on from the store costs little.
func (m *Machine) find(now time.Time) []Effect {
	limit := raceTime
	if m.known {
		limit = quickRaceTime
	}
	return m.race(now, forAny, m.candidates(now, true), limit)
}

func (m *Machine) onTick(now time.Time) []Effect {
	if m.search != nil {
		if now.Before(m.search.next()) {
			return nil
		}
		if !now.Before(m.search.endsAt) {
			return m.searched(now)
		}
		return m.tryNext(now)
	}
	if m.lookAt.IsZero() || now.Before(m.lookAt) {
		return nil
	}
	m.lookAt = time.Time{}
	switch m.mode {
	case seeking:
		return []Effect{ReadDirectory{}}
	case direct:
		if m.cfg.UseRelays() {
			return []Effect{ReadDirectory{}}
		}
		m.lookAgain(now)
	case watching:
		return m.check(now)
	case serving:
		if m.cfg.Watchers() == 0 && !m.holds(m.claiming.Key) {
			m.claiming = ClaimSlot{}
			return append([]Effect{StopRelay{}, SetSource{Source{Kind: None}, "its slot is another's"}}, m.seek(now, "its slot is another's")...)
		}
		m.lookAt = now.Add(checkPause)
	}
	return nil
}

// lookAgain has the time be told when relays are looked for again.
func (m *Machine) lookAgain(now time.Time) {
	pause := time.Duration((0.5 + m.cfg.Rand()) * float64(lookPause))
	if !m.claimAt.IsZero() {
		pause = min(pause, max(m.claimAt.Sub(now), minPause))
	}
	m.lookAt = now.Add(pause)
}

func (m *Machine) onDirectory(e DirectoryRead) []Effect {
	if e.Err == nil {
		m.dir.set(e.Relays)
	}
	if m.mode == serving {
		return nil
	}
	if m.claiming != (ClaimSlot{}) && m.holds(m.claiming.Key) {
		return m.serve(e.At) // the answer to its claim was lost
	}
	m.claiming = ClaimSlot{}
	switch m.mode {
	case seeking:
		if e.Err == nil && len(m.dir.relays) == 0 && !m.cfg.UseRelays() {
			return m.readStore(e.At) // a small site
		}
		return m.find(e.At)
	case direct:
		if e.Err != nil {
			m.lookAgain(e.At)
			return nil
		}
		if effs := m.claim(e.At); effs != nil {
			return effs
		}
		return m.race(e.At, forBetter, m.candidates(e.At, !e.At.Before(m.farFromAt)), raceTime)
	case watching:
		m.lookAt = e.At.Add(checkPause)
	}
	return nil
}

// notFound decides what to do where no relay was found.
func (m *Machine) notFound(now time.Time) []Effect {
	if effs := m.claim(now); effs != nil {
		return effs
	}
	if m.known && m.looks > 0 || !m.known && now.After(m.giveUpAt) {
		return m.readStore(now)
	}
	m.looks++
	if m.known {
		return []Effect{NotifyUnavailable{}, ReadDirectory{}}
	}
	m.lookAgain(now)
	return []Effect{NotifyUnavailable{}}
}

func (m *Machine) readStore(now time.Time) []Effect {
	m.mode, m.known = direct, true
	m.farFromAt = now.Add(patience)
	m.lookAgain(now)
	return []Effect{ReadStore{}, SetSource{Source{Kind: FromStore}, m.why}}
}

// claim returns the effects of taking a slot, nil if none is to be taken now.
func (m *Machine) claim(now time.Time) []Effect {
	if !m.cfg.CanRelay || m.left || m.claiming != (ClaimSlot{}) {
		return nil
	}
	v, ok := m.dir.vacant(m.cfg.DataCentre, func(r Relay) condition { return m.condition(r, now) })
	if !ok {
		m.claimAt = time.Time{}
		return nil
	}
	if m.claimAt.IsZero() {
		m.claimAt = claimAt(now, m.cfg.Cores, m.cfg.Rand())
	}
	if now.Before(m.claimAt) {
		return nil
	}
	m.claiming = ClaimSlot{Key: v.key, Version: v.version}
	return []Effect{m.claiming}
}

func (m *Machine) onClaimed(e ClaimDone) []Effect {
	if e.Err != nil {
		return []Effect{ReadDirectory{}} // another has taken it, or this instance may have
	}
	m.dir.take(m.claiming.Key, Relay{StartID: m.cfg.StartID, DataCentre: m.cfg.DataCentre})
	return m.serve(e.At)
}

// serve makes this instance the relay that has the slot claimed.
func (m *Machine) serve(now time.Time) []Effect {
	m.mode, m.known, m.claimAt, m.lookAt, m.search = serving, true, time.Time{}, now.Add(checkPause), nil
	return []Effect{CloseConnections{}, StartRelay{Key: m.claiming.Key}, SetSource{Source{Kind: AsRelay}, "a relay is wanted"}}
}

// holds reports whether this instance has the slot with a key.
func (m *Machine) holds(key string) bool {
	r, ok := m.dir.of(key)
	return ok && r.StartID == m.cfg.StartID
}

// minPause is the least time between two looks for a relay.
const minPause = 50 * time.Millisecond

// condition returns how a relay was found.
func (m *Machine) condition(r Relay, now time.Time) condition {
	if r.StartID == m.cfg.StartID {
		if m.mode != serving {
			return gone // the answer to its claim was lost
		}
		return useful
	}
	if a := m.avoided[r.Address]; now.Before(a.until) {
		return a.found
	}
	if live, known := m.cfg.Live(r.StartID); known && !live {
		return gone
	}
	return useful
}

// avoid has the relay at address not tried for a while, as it was found to be full or
// gone. One that has said itself that it is full is not gone.
func (m *Machine) avoid(address string, found condition, now time.Time) {
	if a := m.avoided[address]; found == gone && a.found == full && now.Before(a.until) {
		return
	}
	m.avoided[address] = avoidance{until: now.Add(avoidTime), found: found}
}

// candidates returns the relays to try, in order: those of the own data centre, and after
// them all others if these are wanted.
func (m *Machine) candidates(now time.Time, others bool) []Relay {
	var out []Relay
	for _, r := range m.dir.nearest(m.cfg.DataCentre, m.cfg.StartID, m.cfg.Rand) {
		if now.Before(m.avoided[r.Address].until) || !others && r.DataCentre != m.cfg.DataCentre {
			continue
		}
		out = append(out, r)
	}
	return out
}

func (m *Machine) onOpened(e WatchOpened) []Effect {
	if m.mode != opening {
		return nil
	}
	if e.Err != nil {
		found := gone
		if errors.Is(e.Err, errBehind) || errors.Is(e.Err, errFull) {
			found = full
		}
		m.avoid(m.relay.Address, found, e.At)
		m.mode = seeking
		return m.find(e.At)
	}
	m.mode, m.known, m.lostAt, m.lookAt = watching, true, time.Time{}, e.At.Add(checkPause)
	return []Effect{SetSource{Source{Kind: FromRelay, Relay: m.relay.Address}, m.why}}
}

func (m *Machine) onHeard(e RelayStatus) []Effect {
	if m.mode != watching {
		return nil
	}
	switch {
	case e.Leaving:
		m.avoid(m.relay.Address, gone, e.At)
		return m.seek(e.At, "the relay is about to stop")
	case !e.StoreUnavailable:
		m.lostAt = time.Time{}
	case m.lostAt.IsZero():
		m.lostAt = e.At
	}
	return nil
}

// check looks, while a relay is watched, whether this instance is to be one itself, or
// whether another is better.
func (m *Machine) check(now time.Time) []Effect {
	m.lookAt = now.Add(checkPause)
	if effs := m.claim(now); effs != nil {
		return effs
	}
	longLost := !m.lostAt.IsZero() && now.Sub(m.lostAt) > lostPatience
	far := m.relay.DataCentre != m.cfg.DataCentre
	if !longLost && !far {
		return nil
	}
	others := m.candidates(now, longLost)
	for i, r := range others {
		if r.Address == m.relay.Address {
			others = append(others[:i:i], others[i+1:]...)
			break
		}
	}
	if len(others) == 0 {
		return nil
	}
	return m.race(now, forBetter, others, raceTime)
}
