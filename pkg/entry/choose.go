package entry

import (
	"fmt"
	"net/http"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// choose selects one of ups by load, data centre and affinity, and reserves a slot at it,
// which the caller frees with in.load.Release. Upstreams that are ejected or for which
// avoid returns true are selected only if no other has a free slot. It reports false if no
// upstream has a free slot.
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

// chooseFrom reserves a slot at the best of ups that has a free one.
func (in *Instance) chooseFrom(v *View, ups []catalogue.Upstream, affinity string) (catalogue.Upstream, bool) {
	cands := in.candidates(v, ups)
	for len(cands) > 0 {
		i := in.policy.Pick(cands, affinity)
		if in.acquire(v, ups[i]) {
			return ups[i], true
		}
		cands = append(cands[:i], cands[i+1:]...)
		ups = append(append([]catalogue.Upstream(nil), ups[:i]...), ups[i+1:]...)
	}
	return catalogue.Upstream{}, false
}

// candidates returns ups with their load: the number of requests that one more request
// would wait for, scaled by how slow the upstream is.
func (in *Instance) candidates(v *View, ups []catalogue.Upstream) []route.Candidate {
	addrs := make([]string, len(ups))
	for i, u := range ups {
		addrs[i] = u.Address
	}
	slowness := in.tokenTimes.Slowness(addrs, in.cfg.Clock.Now())
	cands := make([]route.Candidate, len(ups))
	for i, u := range ups {
		wait := (in.loadOf(v, u.Address)+1)*slowness[i] - 1
		cands[i] = route.Candidate{Key: u.Address, Load: wait + in.distance(u)}
	}
	return cands
}

// affinitySlack is how many more requests than the least loaded engine an engine may hold
// and still be selected for its prefix cache. A lower value spreads prefixes over more
// caches than can hold them. A higher value makes requests queue at the engine of a popular
// prefix. BenchmarkPrefixRouting measures both effects.
const affinitySlack = 3

// noUpstreamError returns the NotRun error of a request for which no upstream has a free
// slot.
func (in *Instance) noUpstreamError(e catalogue.Entry) error {
	return verdict.Refuse(http.StatusServiceUnavailable, in.defaultRetryAt(),
		fmt.Errorf("entry %s: no upstream of pool %q accepts requests", e.Name, e.Pool))
}

// loadOf returns the estimated load of an upstream: this instance's own requests in flight,
// which are exact, plus the requests of others according to the upstream's last report.
func (in *Instance) loadOf(v *View, addr string) float64 {
	return float64(in.load.Get(addr) + v.Loads.OtherRequests(addr))
}

// remoteLoad is the load added to an upstream in another data centre. Half a request
// decides between upstreams with equal load without moving a queue to another data centre.
const remoteLoad = 0.5

func (in *Instance) distance(u catalogue.Upstream) float64 {
	if u.DataCentre == in.cfg.DataCentre {
		return 0
	}
	return remoteLoad
}
