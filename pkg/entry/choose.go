package entry

import (
	"fmt"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// choose chooses one of ups by load, distance and affinity, and takes a place
// at it, which the caller gives back with in.load.Release. Upstreams that are
// ejected, or that avoid holds for, are chosen only if there is no other. It
// reports false if no upstream has a place.
func (in *Instance) choose(v *View, ups []catalogue.Upstream, avoid func(catalogue.Upstream) bool, affinity string) (addr string, ok bool) {
	now := in.cfg.Clock.Now()
	var good, rest []catalogue.Upstream
	for _, u := range ups {
		if avoid(u) || !in.health.Usable(u.Address, now) {
			rest = append(rest, u)
		} else {
			good = append(good, u)
		}
	}
	for _, set := range [][]catalogue.Upstream{good, rest} {
		if u, ok := in.chooseFrom(v, set, affinity); ok {
			in.health.RecordAttempt(u.Address, now)
			return u.Address, true
		}
	}
	return "", false
}

// chooseFrom takes a place at the best of ups that has one.
func (in *Instance) chooseFrom(v *View, ups []catalogue.Upstream, affinity string) (catalogue.Upstream, bool) {
	cands := in.candidates(v, ups)
	for len(cands) > 0 {
		i := in.policy.Pick(cands, affinity)
		if in.enter(v, ups[i]) {
			return ups[i], true
		}
		cands = append(cands[:i], cands[i+1:]...)
		ups = append(append([]catalogue.Upstream(nil), ups[:i]...), ups[i+1:]...)
	}
	return catalogue.Upstream{}, false
}

// candidates returns ups with what one request more would wait for at each,
// in requests at the usual pace.
func (in *Instance) candidates(v *View, ups []catalogue.Upstream) []route.Candidate {
	addrs := make([]string, len(ups))
	for i, u := range ups {
		addrs[i] = u.Address
	}
	slowness := in.paces.Slowness(addrs, in.cfg.Clock.Now())
	cands := make([]route.Candidate, len(ups))
	for i, u := range ups {
		wait := (in.loadOf(v, u.Address)+1)*slowness[i] - 1
		cands[i] = route.Candidate{Key: u.Address, Load: wait + in.distance(u)}
	}
	return cands
}

// affinitySlack is how many requests more than the least loaded engine one
// may hold and still be chosen for its prefix cache. With less, prefixes
// spread over more caches than can hold them; with more, requests queue at
// the engine of a prefix that many ask for (BenchmarkPrefixRouting).
const affinitySlack = 3

// noUpstream is the refusal of a request for which no upstream has a place.
func (in *Instance) noUpstream(e catalogue.Entry) error {
	return verdict.Refuse(http.StatusServiceUnavailable, in.comeBackAt(),
		fmt.Errorf("entry %s: no upstream of pool %q takes requests", e.Name, e.Pool))
}

// loadOf is the believed load of an upstream: this instance's own requests in
// flight to it, which are exact, and those of others when it last told.
func (in *Instance) loadOf(v *View, addr string) float64 {
	return float64(in.load.Get(addr) + v.Loads.OtherRequests(addr))
}

// distanceLoad is the load that sending to another data centre counts for: it
// decides between upstreams otherwise alike, and moves no queue.
const distanceLoad = 0.5

func (in *Instance) distance(u catalogue.Upstream) float64 {
	if u.DataCentre == in.cfg.DataCentre {
		return 0
	}
	return distanceLoad
}
