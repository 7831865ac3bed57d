package watch

import "time"

// purpose is the purpose of a search.
type purpose int

const (
	forAny    purpose = iota // there is no source: a relay that cannot reach the store will do
	forBetter                // there is a source, which stays in use during the search
)

// search connects to relays one after the other, without waiting for the outcome of one
// before the next is started. The first that has the store is used. Each connection
// watches Table only: whole tables are requested from a single relay. If no relay that
// answers can reach the store, the search may end with one of these.
type search struct {
	purpose      purpose
	pending      []Relay                   // not connected to yet
	inFlight     map[string]pendingConnect // by address
	withoutStore []Relay                   // answered, but cannot reach the store
	stepAt       time.Time
	endsAt       time.Time
}

// pendingConnect is a relay whose Connect has not ended.
type pendingConnect struct {
	Relay
	startedAt time.Time
}

// maxWithoutStore is how many relays must answer that they cannot reach the store for a
// search to assume that none can. If each instance asked every relay, an outage of the
// store would cause more connections than all other traffic.
const maxWithoutStore = 3

// next returns when the next relay is to be connected to, or the search ends.
func (s *search) next() time.Time {
	if len(s.pending) > 0 && s.stepAt.Before(s.endsAt) {
		return s.stepAt
	}
	return s.endsAt
}

// startSearch starts a search among relays that ends after limit.
func (m *Machine) startSearch(now time.Time, p purpose, relays []Relay, limit time.Duration) []Effect {
	m.search = &search{purpose: p, pending: relays, inFlight: map[string]pendingConnect{}, endsAt: now.Add(limit)}
	if len(relays) == 0 {
		return m.endSearch(now)
	}
	return m.connectNext(now)
}

// connectNext connects to the next relay, if there is one.
func (m *Machine) connectNext(now time.Time) []Effect {
	s := m.search
	s.stepAt = now.Add(connectStep)
	if len(s.pending) == 0 {
		return nil
	}
	r := s.pending[0]
	s.pending = s.pending[1:]
	s.inFlight[r.Address] = pendingConnect{r, now}
	return []Effect{Connect{r}}
}

func (m *Machine) onConnectDone(e ConnectDone) []Effect {
	switch e.Outcome {
	case RelayFull:
		m.avoid(e.Address, full, e.At)
	case RelayGone:
		m.avoid(e.Address, gone, e.At)
	case RelaySilent:
		m.avoid(e.Address, silent, e.At)
	}
	s := m.search
	if s == nil {
		return nil
	}
	pc, ok := s.inFlight[e.Address]
	if !ok {
		return nil
	}
	delete(s.inFlight, e.Address)
	switch e.Outcome {
	case RelayReady:
		return m.useRelay(pc.Relay, e.At)
	case RelayWithoutStore:
		s.withoutStore = append(s.withoutStore, pc.Relay)
	}
	if len(s.withoutStore) >= maxWithoutStore || len(s.pending) == 0 && len(s.inFlight) == 0 {
		return m.endSearch(e.At)
	}
	return m.connectNext(e.At)
}

// useRelay ends the search with a relay that has the store.
func (m *Machine) useRelay(r Relay, now time.Time) []Effect {
	if m.search.purpose == forBetter {
		m.reason = m.improvementReason()
		if m.mode == watching && !m.storeLostAt.IsZero() {
			m.avoid(m.relay.Address, full, now)
		}
	}
	m.search = nil
	var effs []Effect
	if m.mode == relaying {
		effs = m.stopRelay()
	}
	return append(effs, m.openRelay(r)...)
}

// improvementReason returns why the current source is given up for a relay.
func (m *Machine) improvementReason() string {
	switch {
	case m.mode == readingStore:
		return "there are relays"
	case m.mode == relaying:
		return slotLost
	case !m.storeLostAt.IsZero():
		return "the relay cannot reach the store, another can"
	}
	return "there is a relay in the data centre"
}

func (m *Machine) openRelay(r Relay) []Effect {
	m.mode, m.relay, m.nextCheckAt = opening, r, time.Time{}
	return []Effect{CloseConnections{Keep: r.Address}, OpenWatch{r}}
}

// endSearch ends a search in which no relay was found that has the store.
func (m *Machine) endSearch(now time.Time) []Effect {
	s := m.search
	m.search = nil
	for _, pc := range s.inFlight {
		if now.Sub(pc.startedAt) >= silenceTimeout {
			m.avoid(pc.Address, silent, now)
		}
	}
	if s.purpose == forAny && len(s.withoutStore) > 0 {
		return m.openRelay(s.withoutStore[0])
	}
	effs := []Effect{CloseConnections{}}
	if s.purpose == forAny {
		return append(effs, m.noRelayFound(now)...)
	}
	switch m.mode {
	case readingStore:
		m.scheduleSearch(now)
	case watching, relaying:
		m.nextCheckAt = now.Add(checkPeriod)
	}
	return effs
}
