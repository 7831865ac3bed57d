package upstream

import "time"

const (
	// othersWeight is the weight of a new report in the mean of others' requests per slot.
	// A single report varies by the requests of one upstream at one moment.
	othersWeight = 0.1
	// othersMaxAge is how long that mean is used without a new report.
	othersMaxAge = 5 * time.Second
	// maxOthers is the most requests per slot that a report counts with: upstreams queue up
	// to three times as many as they run.
	maxOthers = 4
)

// meanOthers is the mean of other senders' requests per slot in the last reports of a
// pool's upstreams in this data centre, or in the others.
type meanOthers struct {
	perSlot float64
	reports int       // in perSlot
	at      time.Time // of the last report
}

// observe records a report.
func (m *meanOthers) observe(perSlot float64, at time.Time) {
	if at.Sub(m.at) > othersMaxAge {
		m.reports = 0
	}
	m.reports++
	m.perSlot += max(othersWeight, 1/float64(m.reports)) * (min(perSlot, maxOthers) - m.perSlot)
	m.at = at
}

// mean returns the mean at now, or 0 if there is no recent report.
func (m meanOthers) mean(now time.Time) float64 {
	if now.Sub(m.at) > othersMaxAge {
		return 0
	}
	return m.perSlot
}

// localityIndex returns the index of s's mean in poolState.others: 0 in the registry's data
// centre and 1 in others. The load of this data centre says little about the others, whose
// demand peaks at other times.
func (r *Registry) localityIndex(s *upstreamState) int {
	if s.DataCentre == r.dataCentre {
		return 0
	}
	return 1
}

// loadAge returns the age at now of the last report of s as a fraction of loadMaxAge, at
// most 1.
func (s *upstreamState) loadAge(now time.Time) float64 {
	return min(max(now.Sub(s.localOrZero().otherLoadAt).Seconds(), 0)/loadMaxAge.Seconds(), 1)
}

// expectedLoad returns the expected number of requests at s, which has the given slots: this
// instance's own, and those of other senders. For the latter, the last report counts less the
// older it is, and the mean of others more; without a recent report it is the mean alone.
// Counting such an upstream as empty would prefer it to upstreams that are known to have few
// requests.
func (s *upstreamState) expectedLoad(others meanOthers, slots int, now time.Time) float64 {
	local := s.localOrZero()
	mean := others.mean(now) * float64(slots)
	return float64(local.inFlight) + mean + (1-s.loadAge(now))*(float64(local.otherLoad)-mean)
}
