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

// otherDataCentre returns 0 if s is in the registry's data centre and 1 otherwise. The means of
// others' requests are kept apart by it: how many requests there are in this data centre
// tells little about the others, whose demand rises at other times.
func (r *Registry) otherDataCentre(s *upstreamState) int {
	if s.DataCentre == r.dataCentre {
		return 0
	}
	return 1
}

// expectedLoad returns the requests that are expected at s. The load of other senders in its
// last report approaches that mean as the report ages, since their requests
// end and others begin. An upstream that has sent no recent report has the mean: if it were
// taken for empty, it would be preferred to those that are known to have few.
func (s *upstreamState) expectedLoad(others meanOthers, now time.Time) float64 {
	local := s.localOrZero()
	mean := others.mean(now) * float64(max(s.Slots, 1))
	known := max(1-max(now.Sub(local.otherLoadAt), 0).Seconds()/loadMaxAge.Seconds(), 0)
	return float64(local.inFlight) + mean + known*(float64(local.otherLoad)-mean)
}
