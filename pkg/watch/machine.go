package watch

import (
	"errors"
	"time"
)

// Events that a Machine reduces. The Follower sends them; At is when the event occurred.
type (
	// Started is sent once, when Run starts. The Machine reads the directory of relays.
	Started struct{ At time.Time }
	// Ticked gives the current time. It is sent at the time returned by Next at the
	// latest; the Machine does what is due.
	Ticked struct{ At time.Time }
	// DirectoryRead is the outcome of a ReadDirectory. The Machine starts a search,
	// claims a slot or reads the store.
	DirectoryRead struct {
		At     time.Time
		Relays []Relay // nil if Err is set
		Err    error
	}
	// DirectoryChanged is sent when rows of the followed directory change. The Machine
	// replaces its list of relays.
	DirectoryChanged struct {
		At     time.Time
		Relays []Relay // all relays
	}
	// ConnectDone is the outcome of a Connect. The Machine uses the relay, or goes on
	// searching.
	ConnectDone struct {
		At      time.Time
		Address string
		Outcome ConnectOutcome
	}
	// WatchOpened is the outcome of an OpenWatch. The Machine records the source, or
	// searches for another relay.
	WatchOpened struct {
		At  time.Time
		Err error // nil if the watch is open
	}
	// RelayStatus is sent when the status of the watched relay changes. The Machine looks
	// for another relay if this one is leaving, or is without the store for long.
	RelayStatus struct {
		At               time.Time
		StoreUnavailable bool // the relay cannot reach the store
		Leaving          bool // the relay is about to stop
	}
	// WatchEnded is sent when a watch ends. The Machine searches for another relay.
	WatchEnded struct {
		At     time.Time
		Reason string
		Silent bool // the relay sent nothing for silenceTimeout; its connection may still be open
	}
	// ClaimDone is the outcome of a ClaimSlot. The Machine starts relaying, or reads the
	// directory again.
	ClaimDone struct {
		At  time.Time
		Err error
	}
	// RelayingDisabled is sent when this instance must not act as a relay any more. The
	// Machine claims no slot from then on.
	RelayingDisabled struct{ At time.Time }
)

// Effects of a Machine. The Follower carries them out.
type (
	// ReadDirectory reads the directory, the table of relays, from the store.
	ReadDirectory struct{}
	// Connect opens a link to a relay and a watch of the directory there.
	Connect struct{ Relay Relay }
	// CloseConnections cancels and closes what Connect effects have opened, except for
	// the relay at the address Keep.
	CloseConnections struct{ Keep string }
	// OpenWatch ends the current source and watches all tables at a connected relay.
	OpenWatch struct{ Relay Relay }
	// ReadStore ends the current source and reads the tables from the store.
	ReadStore struct{}
	// ClaimSlot writes the row of this instance into a slot of the directory.
	ClaimSlot struct {
		Key     string
		Version uint64 // version of the row to replace; 0 if there is no row
	}
	// StartRelay ends the current source and makes this instance the relay in the slot
	// Key, which reads the tables from the store for its watchers.
	StartRelay struct{ Key string }
	// StopRelay stops acting as a relay and sends the watchers elsewhere.
	StopRelay struct{}
	// NotifyUnavailable notifies OnUpdate that the tables cannot be read for now.
	NotifyUnavailable struct{}
	// SetSource records the source of the tables from now on, and the reason.
	SetSource struct {
		Source Source
		Reason string
	}
)

// Effect is one of the effects above.
type Effect any

// ConnectOutcome is the outcome of a Connect.
type ConnectOutcome int

// The outcomes of a Connect.
const (
	RelayReady        ConnectOutcome = iota // the relay reaches the store
	RelayWithoutStore                       // the relay cannot reach the store
	RelayFull                               // the relay has no room for another watcher
	RelayGone                               // there is no relay at the address, or it is about to stop
	RelaySilent                             // the relay did not answer in time
)

// MachineConfig configures a Machine.
type MachineConfig struct {
	StartID    string  // ID of this start of the instance
	DataCentre string  // data centre of this instance
	Cores      float64 // processor cores of this instance
	CanRelay   bool    // other instances can connect to this one
	// UseRelays reports whether the tables are too large for each instance to read them
	// from the store.
	UseRelays func() bool
	// Live reports whether the instance with a start ID is live; known is false while
	// that cannot be determined.
	Live func(start string) (live, known bool)
	// Watchers returns how many instances follow tables through this one.
	Watchers func() int
	// Rand returns a random number, uniformly distributed over [0, 1).
	Rand func() float64
}

// Machine decides where an instance gets its tables from. It is a pure state machine
// without I/O: it reduces events to effects, whose outcomes are events again.
type Machine struct {
	cfg MachineConfig

	mode    mode
	dir     directory
	avoided map[string]avoidance // by address
	search  *search
	// hasVersions means that there was a source before, so that the tables can be read
	// from their known versions on.
	hasVersions      bool
	reason           string // why the last source was left; "begins" before the first
	nextCheckAt      time.Time
	readStoreAt      time.Time // when an instance without versions falls back to the store
	directoryReads   int       // reads of the directory since the last source was left
	claimAt          time.Time // when this instance may claim a free slot; zero while no slot is known to be free
	claiming         ClaimSlot // slot that is claimed, until the outcome is known, or held; zero for none
	claimInFlight    bool      // a ClaimSlot has not been answered
	relayingDisabled bool
	relay            Relay     // relay that is watched
	storeLostAt      time.Time // since when the watched relay cannot reach the store; zero if it can
	acceptRemoteAt   time.Time // when relays of other data centres become acceptable
}

// mode is the state of a Machine.
type mode int

const (
	searching    mode = iota // no source; a search is under way or scheduled
	opening                  // a watch is being opened
	watching                 // a relay is the source
	readingStore             // the tables are read from the store
	relaying                 // the tables are read from the store, for watchers too
)

// avoidance records why and until when a relay is left out of searches.
type avoidance struct {
	until time.Time
	found relayState
}

// NewMachine returns a Machine. Its first event must be Started.
func NewMachine(cfg MachineConfig) *Machine {
	return &Machine{cfg: cfg, avoided: map[string]avoidance{}, reason: "begins"}
}

// Next returns when the next Ticked is due; zero for none.
func (m *Machine) Next() time.Time {
	if m.search != nil {
		return m.search.next()
	}
	return m.nextCheckAt
}

// Reduce applies an event and returns its effects.
func (m *Machine) Reduce(ev any) []Effect {
	switch e := ev.(type) {
	case Started:
		m.readStoreAt = e.At.Add(storeFallbackDelay)
		return []Effect{ReadDirectory{}}
	case Ticked:
		return m.onTick(e.At)
	case DirectoryRead:
		return m.onDirectoryRead(e)
	case DirectoryChanged:
		m.dir.replace(e.Relays)
	case ConnectDone:
		return m.onConnectDone(e)
	case WatchOpened:
		return m.onWatchOpened(e)
	case RelayStatus:
		return m.onRelayStatus(e)
	case WatchEnded:
		if m.mode == watching {
			found := gone
			if e.Silent {
				found = silent
			}
			m.avoid(m.relay.Address, found, e.At)
			return append([]Effect{SetSource{Source{Kind: None}, e.Reason}}, m.restartSearch(e.At, e.Reason)...)
		}
	case ClaimDone:
		return m.onClaimDone(e)
	case RelayingDisabled:
		m.relayingDisabled = true
	}
	return nil
}

// restartSearch leaves the current source and starts a search among the known relays.
func (m *Machine) restartSearch(now time.Time, reason string) []Effect {
	m.mode, m.reason, m.directoryReads, m.nextCheckAt, m.search = searching, reason, 0, time.Time{}, nil
	return append([]Effect{CloseConnections{}}, m.searchAll(now)...)
}

// searchAll starts a search among all known relays. An instance with versions searches
// for a shorter time: what it knows becomes outdated, and continuing from the store costs
// little.
func (m *Machine) searchAll(now time.Time) []Effect {
	limit := searchTimeout
	if m.hasVersions {
		limit = shortSearchTimeout
	}
	return m.startSearch(now, forAny, m.candidates(now, true), limit)
}

func (m *Machine) onTick(now time.Time) []Effect {
	if m.search != nil {
		if now.Before(m.search.next()) {
			return nil
		}
		if !now.Before(m.search.endsAt) {
			return m.endSearch(now)
		}
		return m.connectNext(now)
	}
	if m.nextCheckAt.IsZero() || now.Before(m.nextCheckAt) {
		return nil
	}
	m.nextCheckAt = time.Time{}
	switch m.mode {
	case searching:
		return []Effect{ReadDirectory{}}
	case readingStore:
		if m.cfg.UseRelays() {
			return []Effect{ReadDirectory{}}
		}
		m.scheduleSearch(now)
	case watching:
		return m.check(now)
	case relaying:
		return m.checkSlot(now)
	}
	return nil
}

// slotLost is the reason of a relay for stopping.
const slotLost = "another instance has its slot"

// checkSlot decides, while this instance is a relay, whether to stop being one. A relay
// that has lost its slot hands its watchers over to the new holder, once it is ready for
// them. Otherwise the relay would read the tables from the store, and be unknown to
// instances that look for one, for as long as a watcher stays.
func (m *Machine) checkSlot(now time.Time) []Effect {
	m.nextCheckAt = now.Add(checkPeriod)
	if m.holdsSlot(m.claiming.Key) {
		return nil
	}
	if m.cfg.Watchers() == 0 {
		return append(m.stopRelay(), m.restartSearch(now, slotLost)...)
	}
	successor, ok := m.dir.get(m.claiming.Key)
	if !ok || now.Before(m.avoided[successor.Address].until) {
		return nil
	}
	return m.startSearch(now, forBetter, []Relay{successor}, searchTimeout)
}

// stopRelay gives up the role of a relay. The caller selects another source.
func (m *Machine) stopRelay() []Effect {
	m.claiming = ClaimSlot{}
	return []Effect{StopRelay{}, SetSource{Source{Kind: None}, slotLost}}
}

// scheduleSearch schedules the next search for a relay, at the claim time at the latest.
func (m *Machine) scheduleSearch(now time.Time) {
	pause := time.Duration((0.5 + m.cfg.Rand()) * float64(searchPeriod))
	if !m.claimAt.IsZero() {
		pause = min(pause, max(m.claimAt.Sub(now), minSearchPause))
	}
	m.nextCheckAt = now.Add(pause)
}

func (m *Machine) onDirectoryRead(e DirectoryRead) []Effect {
	if e.Err == nil {
		m.dir.replace(e.Relays)
	}
	if m.mode == relaying {
		return nil
	}
	if m.claiming != (ClaimSlot{}) && m.holdsSlot(m.claiming.Key) {
		return m.becomeRelay(e.At) // the claim succeeded; its answer was lost or is late
	}
	if !m.claimInFlight {
		m.claiming = ClaimSlot{}
	}
	switch m.mode {
	case searching:
		if e.Err == nil && len(m.dir.relays) == 0 && !m.cfg.UseRelays() {
			return m.readStore(e.At) // a small site without relays
		}
		return m.searchAll(e.At)
	case readingStore:
		if e.Err != nil {
			m.scheduleSearch(e.At)
			return nil
		}
		if effs := m.claim(e.At); effs != nil {
			return effs
		}
		return m.startSearch(e.At, forBetter, m.candidates(e.At, !e.At.Before(m.acceptRemoteAt)), searchTimeout)
	case watching:
		m.nextCheckAt = e.At.Add(checkPeriod)
	}
	return nil
}

// noRelayFound returns the effects of a search without a result. An instance with
// versions that claims a slot reads the store meanwhile: the claim is a write that may
// take storeTimeout or lose against another instance.
func (m *Machine) noRelayFound(now time.Time) []Effect {
	claims := m.claim(now)
	switch {
	case m.hasVersions && (claims != nil || m.directoryReads > 0), !m.hasVersions && now.After(m.readStoreAt):
		effs := append(m.readStore(now), claims...)
		if claims != nil {
			m.nextCheckAt = time.Time{} // ClaimDone is next
		}
		return effs
	case claims != nil:
		return claims
	}
	m.directoryReads++
	if m.hasVersions {
		return []Effect{NotifyUnavailable{}, ReadDirectory{}}
	}
	m.scheduleSearch(now)
	return []Effect{NotifyUnavailable{}}
}

func (m *Machine) readStore(now time.Time) []Effect {
	m.mode, m.hasVersions = readingStore, true
	m.acceptRemoteAt = now.Add(storeFallbackDelay)
	m.scheduleSearch(now)
	return []Effect{ReadStore{}, SetSource{Source{Kind: FromStore}, m.reason}}
}

// claim returns the effects of claiming a slot, nil if none is to be claimed now.
func (m *Machine) claim(now time.Time) []Effect {
	if !m.cfg.CanRelay || m.relayingDisabled || m.claiming != (ClaimSlot{}) {
		return nil
	}
	slot, ok := m.dir.findFreeSlot(m.cfg.DataCentre, func(r Relay) relayState { return m.stateOf(r, now) })
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
	m.claiming, m.claimInFlight = ClaimSlot{Key: slot.key, Version: slot.version}, true
	return []Effect{m.claiming}
}

func (m *Machine) onClaimDone(e ClaimDone) []Effect {
	m.claimInFlight = false
	if m.mode == relaying {
		return nil // the directory has shown the outcome already
	}
	if e.Err != nil {
		return []Effect{ReadDirectory{}} // another instance has the slot, or this one has and the answer was lost
	}
	m.dir.put(m.claiming.Key, Relay{StartID: m.cfg.StartID, DataCentre: m.cfg.DataCentre})
	return m.becomeRelay(e.At)
}

// becomeRelay makes this instance the relay in the claimed slot.
func (m *Machine) becomeRelay(now time.Time) []Effect {
	m.mode, m.hasVersions, m.claimAt, m.nextCheckAt, m.search = relaying, true, time.Time{}, now.Add(checkPeriod), nil
	return []Effect{CloseConnections{}, StartRelay{Key: m.claiming.Key}, SetSource{Source{Kind: AsRelay}, "the data centre needs a relay"}}
}

// holdsSlot reports whether this instance has the slot with the given key.
func (m *Machine) holdsSlot(key string) bool {
	r, ok := m.dir.get(key)
	return ok && r.StartID == m.cfg.StartID
}

// minSearchPause is the least time between two searches for a relay.
const minSearchPause = 50 * time.Millisecond

// stateOf returns the state of a relay as far as this instance knows. A relay that is
// silent is not gone while it is live: this instance itself may have been suspended or
// starved, and if it claimed the slot, the relay would lose it with all its watchers.
func (m *Machine) stateOf(r Relay, now time.Time) relayState {
	if r.StartID == m.cfg.StartID {
		if m.mode != relaying {
			return gone // the claim succeeded, but its answer was lost
		}
		return usable
	}
	a := m.avoided[r.Address]
	avoided := now.Before(a.until)
	if avoided && a.found != silent {
		return a.found
	}
	live, known := m.cfg.Live(r.StartID)
	if known && !live || avoided && (!known || m.longWithoutRelay(now)) {
		return gone
	}
	return usable
}

// longWithoutRelay reports whether this instance reads the store because it has found no
// relay for storeFallbackDelay. It may then be unable to reach relays that are live.
func (m *Machine) longWithoutRelay(now time.Time) bool {
	return m.mode == readingStore && !now.Before(m.acceptRemoteAt)
}

// avoid leaves the relay at address out of searches for avoidPeriod, as it was found full,
// gone or silent. A relay that has reported itself full stays marked full for that time.
func (m *Machine) avoid(address string, found relayState, now time.Time) {
	if a := m.avoided[address]; found != full && a.found == full && now.Before(a.until) {
		return
	}
	m.avoided[address] = avoidance{until: now.Add(avoidPeriod), found: found}
}

// candidates returns the relays to connect to, in order: those of this data centre,
// followed by all others if remote is set.
func (m *Machine) candidates(now time.Time, remote bool) []Relay {
	var out []Relay
	for _, r := range m.dir.nearest(m.cfg.DataCentre, m.cfg.StartID, m.cfg.Rand) {
		if now.Before(m.avoided[r.Address].until) || !remote && r.DataCentre != m.cfg.DataCentre {
			continue
		}
		out = append(out, r)
	}
	return out
}

func (m *Machine) onWatchOpened(e WatchOpened) []Effect {
	if m.mode != opening {
		return nil
	}
	if e.Err != nil {
		found := gone
		switch {
		case errors.Is(e.Err, errBehind), errors.Is(e.Err, errFull):
			found = full
		case isTimeout(e.Err):
			found = silent
		}
		m.avoid(m.relay.Address, found, e.At)
		m.mode = searching
		return m.searchAll(e.At)
	}
	m.mode, m.hasVersions, m.storeLostAt, m.nextCheckAt = watching, true, time.Time{}, e.At.Add(checkPeriod)
	return []Effect{SetSource{Source{Kind: FromRelay, Relay: m.relay.Address}, m.reason}}
}

func (m *Machine) onRelayStatus(e RelayStatus) []Effect {
	if m.mode != watching {
		return nil
	}
	switch {
	case e.Leaving:
		m.avoid(m.relay.Address, gone, e.At)
		return m.restartSearch(e.At, "the relay is about to stop")
	case !e.StoreUnavailable:
		m.storeLostAt = time.Time{}
	case m.storeLostAt.IsZero():
		m.storeLostAt = e.At
	}
	return nil
}

// check decides, while a relay is watched, whether this instance should become a relay
// itself or search for a better one.
func (m *Machine) check(now time.Time) []Effect {
	m.nextCheckAt = now.Add(checkPeriod)
	if effs := m.claim(now); effs != nil {
		return effs
	}
	longWithoutStore := !m.storeLostAt.IsZero() && now.Sub(m.storeLostAt) > unavailableGrace
	remote := m.relay.DataCentre != m.cfg.DataCentre
	if !longWithoutStore && !remote {
		return nil
	}
	others := m.candidates(now, longWithoutStore)
	for i, r := range others {
		if r.Address == m.relay.Address {
			others = append(others[:i:i], others[i+1:]...)
			break
		}
	}
	if len(others) == 0 {
		return nil
	}
	return m.startSearch(now, forBetter, others, searchTimeout)
}
