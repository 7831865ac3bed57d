package watch

import "time"

// purpose is what a search is for.
type purpose int

const (
	forAny    purpose = iota // nothing is followed: a relay that has lost the store will do
	forBetter                // what is followed goes on meanwhile
)

// search is a trial of relays, one after the other, without waiting for the end of one
// before the next is begun. The first that serves is taken, with a watch of the relays'
// table alone: whole tables are asked of one relay only. If all that answer have lost the
// store, it may be one of these.
type search struct {
	purpose purpose
	left    []Relay          // not tried yet
	under   map[string]trial // under way, by address
	lost    []Relay          // have answered, and lost the store
	stepAt  time.Time
	endsAt  time.Time
}

// trial is a relay that is being tried.
type trial struct {
	Relay
	begunAt time.Time
}

// enoughLost is how many relays that have lost the store are asked until it is taken for
// lost for all: were each asked by each instance, an outage would cost more connections
// than all else.
const enoughLost = 3

// next returns when the next relay is tried, or the search ends.
func (s *search) next() time.Time {
	if len(s.left) > 0 && s.stepAt.Before(s.endsAt) {
		return s.stepAt
	}
	return s.endsAt
}

// race begins a search.
func (m *Machine) race(now time.Time, p purpose, relays []Relay, limit time.Duration) []Effect {
	m.search = &search{purpose: p, left: relays, under: map[string]trial{}, endsAt: now.Add(limit)}
	if len(relays) == 0 {
		return m.searched(now)
	}
	return m.tryNext(now)
}

// tryNext tries the next relay, if there is one.
func (m *Machine) tryNext(now time.Time) []Effect {
	s := m.search
	s.stepAt = now.Add(raceStep)
	if len(s.left) == 0 {
		return nil
	}
	r := s.left[0]
	s.left = s.left[1:]
	s.under[r.Address] = trial{r, now}
	return []Effect{Connect{r}}
}

func (m *Machine) onTried(e ConnectDone) []Effect {
	switch e.Outcome {
	case RelayFull:
		m.avoid(e.Address, full, e.At)
	case RelayGone:
		m.avoid(e.Address, gone, e.At)
	}
	s := m.search
	if s == nil {
		return nil
	}
	t, ok := s.under[e.Address]
	if !ok {
		return nil
	}
	delete(s.under, e.Address)
	switch e.Outcome {
	case RelayReady:
		return m.found(t.Relay, e.At)
	case RelayWithoutStore:
		s.lost = append(s.lost, t.Relay)
	}
	if len(s.lost) >= enoughLost || len(s.left) == 0 && len(s.under) == 0 {
		return m.searched(e.At)
	}
	return m.tryNext(e.At)
}

// found takes a relay that serves.
func (m *Machine) found(r Relay, now time.Time) []Effect {
	if m.search.purpose == forBetter {
		m.why = m.betterWhy()
		if m.mode == watching && !m.lostAt.IsZero() {
			m.avoid(m.relay.Address, full, now)
		}
	}
	m.search = nil
	return m.open(r)
}

// betterWhy tells why what is followed is left for a relay.
func (m *Machine) betterWhy() string {
	switch {
	case m.mode == direct:
		return "there are relays"
	case !m.lostAt.IsZero():
		return "the relay has lost the store, another has not"
	}
	return "there is a relay in the data centre"
}

func (m *Machine) open(r Relay) []Effect {
	m.mode, m.relay, m.lookAt = opening, r, time.Time{}
	return []Effect{CloseConnections{Keep: r.Address}, OpenWatch{r}}
}

// searched ends a search in which no relay was found that serves.
func (m *Machine) searched(now time.Time) []Effect {
	s := m.search
	m.search = nil
	for _, t := range s.under {
		if now.Sub(t.begunAt) >= silence {
			m.avoid(t.Address, gone, now)
		}
	}
	if s.purpose == forAny && len(s.lost) > 0 {
		return m.open(s.lost[0])
	}
	effs := []Effect{CloseConnections{}}
	if s.purpose == forAny {
		return append(effs, m.notFound(now)...)
	}
	switch m.mode {
	case direct:
		m.lookAgain(now)
	case watching:
		m.lookAt = now.Add(checkPause)
	}
	return effs
}
