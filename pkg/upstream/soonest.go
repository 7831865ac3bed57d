package upstream

import (
	"math"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/pace"
	"github.com/zinnialadder/zinnialadder/pkg/route"
)

const (
	// soonestSlack is how much later, as a fraction of the soonest, requests may be
	// expected to complete at upstreams that count as equal. Senders that have the same
	// report of an upstream would otherwise all choose it.
	soonestSlack = 0.1
	// loadWeight is the expected delay, as a fraction of the time of a mean request, by
	// requests that fill all slots of an upstream. Reports of other senders' requests
	// are old, so that an upstream that seems to have a free slot may have none, and the
	// more requests it has the more likely.
	loadWeight = 0.5
	// batchSlowdown is how much longer, as a fraction of its own time, a text is expected to
	// take when requests fill all slots of its engine. Engines take up to a quarter longer
	// for a token of a full batch.
	batchSlowdown = 0.25
	// crossingTime is the additional round-trip time of a plain call to another data centre;
	// those of a region have 0.5 to 0.9 ms.
	crossingTime = 900 * time.Microsecond
	// oldLoadError is the error of the expected delay by other requests, as a fraction of the
	// time of a mean request, where the load is a mean because the upstream has sent no recent
	// report. The requests may fill anything from none to all of the slots (loadWeight).
	oldLoadError = loadWeight / 2
	// maxCrossingError bounds the relative error of the pace of an upstream in another data
	// centre that has hardly been observed. Without a bound, calls stay too long in a data
	// centre whose upstreams have all become slow.
	maxCrossingError = 0.3
	// unknownPaceError is the relative error of the pace of an upstream without
	// observations: upstreams of a pool differ by a factor of two or more.
	unknownPaceError = 0.5
	// minMoveGain and minMoveTime are how much sooner a request that moves must complete,
	// as a fraction of its remaining time and as a time. A move makes an upstream read
	// the prompt again, and may be refused.
	minMoveGain = 0.25
	minMoveTime = 300 * time.Millisecond
)

// timedCandidate is a candidate of a contended pool.
type timedCandidate struct {
	Candidate
	pace.Estimate
	hold time.Duration // how long a reported pace holds
	// expectedLoad is the number of requests expected at the upstream.
	expectedLoad float64
	refused      bool    // refused its last request
	failureRate  float64 // share of the requests that fail
	// loadAge is the weight of the mean in expectedLoad: 0 for a new report, 1 without a
	// recent one.
	loadAge float64
}

// chooseSoonest returns the index of the candidate for a request in a contended pool, or
// -1 if there is none: one that is expected to complete it soonest, and among those about
// equal the one that rendezvous hashing ranks first for the affinity. All slots are used,
// whatever the pace and the failure rate of their upstream. A plain call is sent to another
// data centre only if it is expected to complete sooner there by more than crossingPenalty.
func chooseSoonest(candidates []timedCandidate, req Requirements) int {
	scored := make([]route.Candidate, 0, len(candidates))
	index := make([]int, 0, len(candidates))
	leastRate, remote := 1.0, false
	for _, c := range candidates {
		leastRate = min(leastRate, c.failureRate)
	}
	// Only differences matter: the factor is exactly 1 where all fail alike.
	leastRepeats := repeats(leastRate, req.Once)
	for i, c := range candidates {
		if c.full(req) {
			continue
		}
		d := float64(c.completion(req)) * (repeats(c.failureRate, req.Once) / leastRepeats)
		remote = remote || !c.Local
		scored = append(scored, route.Candidate{Key: c.ID, Load: d})
		index = append(index, i)
	}
	if remote && req.Model == "" {
		scored, index = withoutCrossing(candidates, scored, index, req)
	}
	soonest := 0.0
	for i, s := range scored {
		if i == 0 || s.Load < soonest {
			soonest = s.Load
		}
	}
	best := route.Policy{Slack: soonestSlack * soonest}.Pick(scored, req.Affinity)
	if best < 0 {
		return -1
	}
	return index[best]
}

// withoutCrossing returns those of the scored candidates, and their indexes in candidates,
// among which a plain call's is chosen: remote ones that are sooner than all local ones by
// their penalties, or all local ones if there is none. It reuses the slices. Remote candidates
// are then compared without penalties, so that one that is not known well is tried as well.
func withoutCrossing(candidates []timedCandidate, scored []route.Candidate, index []int, req Requirements) ([]route.Candidate, []int) {
	soonestLocal := math.Inf(1)
	for i, s := range scored {
		if candidates[index[i]].Local {
			soonestLocal = min(soonestLocal, s.Load)
		}
	}
	kept := 0
	for i, s := range scored {
		if c := candidates[index[i]]; !c.Local && s.Load+float64(c.crossingPenalty(req)) < soonestLocal {
			scored[kept], index[kept] = s, index[i]
			kept++
		}
	}
	if kept > 0 {
		return scored[:kept], index[:kept]
	}
	for i, s := range scored {
		if candidates[index[i]].Local {
			scored[kept], index[kept] = s, index[i]
			kept++
		}
	}
	return scored[:kept], index[:kept]
}

// chooseMove returns the index of the candidate at which the rest of a request, req, that
// is at the upstream here is expected to complete soonest, if it has a free slot and the
// move saves enough time, and otherwise -1.
func chooseMove(here timedCandidate, candidates []timedCandidate, req Requirements, overhead time.Duration) int {
	left := here.workTime(req)
	best, bestTime := -1, left-max(minMoveTime, time.Duration(minMoveGain*float64(left)))
	for i, c := range candidates {
		if c.ID == here.ID || c.Load >= c.Slots || c.refused || c.failureRate >= failingRate {
			continue
		}
		// The move must save the time even if the pace there is worse than estimated.
		if d := time.Duration(float64(c.workTime(req))*(1+c.Error)) + overhead; d <= bestTime {
			best, bestTime = i, d
		}
	}
	return best
}

// completion returns the expected time until a request is complete at c.
func (c timedCandidate) completion(req Requirements) time.Duration {
	load := (c.expectedLoad + 1) / float64(c.Slots)
	if !c.Local && req.Model != "" {
		load += remotePenalty
	}
	own, mean := c.workTime(req), c.workTime(Requirements{Units: req.Units})
	d := own + time.Duration((loadWeight*load+max(load-1, 0))*float64(mean))
	if req.Work > 0 { // the length of the request is known, as that of a text is
		d += time.Duration(batchSlowdown * load * float64(own))
	}
	return d
}

// crossingPenalty returns by how much sooner a plain call must be expected to complete at c,
// in another data centre, than at any local upstream to be sent there: what crossing costs its
// caller and the error of the estimate. An instance sends little to other data centres, so
// that it knows little of the pace and the load there. A copy is sent because the local
// upstreams may be slower than estimated, so the error does not count for it.
func (c timedCandidate) crossingPenalty(req Requirements) time.Duration {
	if req.Copy {
		return crossingTime
	}
	own, mean := c.workTime(req), c.workTime(Requirements{Units: req.Units})
	return crossingTime + time.Duration(math.Hypot(min(c.Error, maxCrossingError)*float64(own), c.loadAge*oldLoadError*float64(mean)))
}

// workTime returns how long the work of a request is expected to take at c. The passing
// factor, which decays while it holds, changes the time of a long request only by what is
// lost or gained in half of that time.
func (c timedCandidate) workTime(req Requirements) time.Duration {
	unit := c.Unit
	if unit == 0 {
		unit = time.Second // only ratios matter while no time is known
	}
	units := 1.0
	if req.Work > 0 {
		units = req.Work
	}
	if req.Units > 0 {
		units *= req.Units
	}
	usual, limit := units*float64(unit), float64(c.hold)/2*math.Abs(1-1/c.Passing)
	return time.Duration(usual + min(max(usual*(c.Passing-1), -limit), limit))
}
