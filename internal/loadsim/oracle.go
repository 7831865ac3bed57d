package loadsim

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// acquire reserves an upstream for the request's next attempt.
func (r *request) acquire(req upstream.Requirements) (*upstream.Reservation, bool) {
	s, registry := r.caller.site, r.instance.registry
	if s.policy.Oracle {
		req.Exclude = r.plan.Tried()
		return s.acquireSoonest(registry, req)
	}
	return r.plan.Acquire(registry, req)
}

// acquireCopy reserves an upstream for a copy of the request.
func (r *request) acquireCopy(req upstream.Requirements) (*upstream.Reservation, bool) {
	s, registry := r.caller.site, r.instance.registry
	if s.policy.Oracle {
		return s.acquireSoonest(registry, req)
	}
	return registry.Acquire(req)
}

// acquireSoonest reserves, of the upstreams that registry accepts for req, the one at which
// a mean request would complete soonest.
func (s *site) acquireSoonest(registry *upstream.Registry, req upstream.Requirements) (*upstream.Reservation, bool) {
	at := req.Now.Add(linkDelay)
	ids := slices.Sorted(maps.Keys(s.upstreams))
	bySoonest := slices.SortedStableFunc(slices.Values(ids), func(a, b string) int {
		ua, ub := s.upstreams[a], s.upstreams[b]
		return cmp.Or(cmp.Compare(ua.completion(at), ub.completion(at)), cmp.Compare(ua.present(), ub.present()))
	})
	excluded, maxLoad := req.Exclude, req.MaxLoad
	req.MaxLoad, req.NeedFreeSlot = 0, false // the registry would judge by reports
	for _, id := range bySoonest {
		u := s.upstreams[id]
		if slices.Contains(excluded, id) || maxLoad > 0 && float64(u.present()) >= maxLoad*float64(s.load.Slots) {
			continue
		}
		req.Exclude = slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
		if rsv, ok := registry.Acquire(req); ok {
			return rsv, true
		}
	}
	return nil, false
}

// present returns how many requests are at the upstream or on their way to it.
func (s *server) present() int { return s.coming + s.running + len(s.queued) }

// completion returns the mean time until a request that arrives at a time is complete, with
// the pace that the upstream's machine has then.
func (s *server) completion(at time.Time) time.Duration {
	slots := s.site.load.Slots
	rounds := 1 + float64(max(s.present()+1-slots, 0))/float64(slots)
	if s.slow {
		rounds *= s.site.load.SlowFactor
	}
	return time.Duration(rounds * s.site.machines.pace(s.id, at) * float64(s.site.load.ServiceTime))
}

// OracleHedgedQueued is HedgedQueued with a placement that knows at the moment of sending
// how long work takes at each upstream and how many requests it has. It bounds what
// placement can achieve except that it does not know how long the requests take.
var OracleHedgedQueued = Policy{Name: "oracle", Contended: true, Hedge: true, Queue: true, Oracle: true, RetryAt: SpreadRetries.RetryAt}

// OracleTarget is the ratio to the oracle's time that placement is to reach.
const OracleTarget = 1.15

// OracleScenarios returns the loads on which placement is compared with the oracle's.
func OracleScenarios() []CallScenario {
	var out []CallScenario
	for _, rate := range []float64{0.5, 0.6} {
		for _, senders := range []int{10, 100} {
			for _, c := range []struct {
				name     string
				machines Machines
			}{{"equal services", Machines{}}, {"services 0.7, 0.7, 1.7", UnequalSpeeds}, {"slow moments", SlowMoments}} {
				load := PlainCalls
				load.Rate, load.Instances, load.Machines = rate, senders, c.machines
				out = append(out, CallScenario{fmt.Sprintf("%s, %d senders, %.1f of the capacity", c.name, senders, rate), load})
			}
		}
	}
	return out
}

// OracleRow compares the times of a load with the oracle's.
type OracleRow struct {
	Load        string
	Now, Oracle Result
}

// MeanRatio returns the mean time relative to the oracle's.
func (r OracleRow) MeanRatio() float64 { return r.Now.Mean.Seconds() / r.Oracle.Mean.Seconds() }

// P99Ratio returns the 99th percentile relative to the oracle's.
func (r OracleRow) P99Ratio() float64 { return r.Now.P99.Seconds() / r.Oracle.P99.Seconds() }

// CompareOracle simulates the scenarios with the seeds from 0 to seeds-1, with the rules of
// contended pools and with the oracle.
func CompareOracle(scenarios []CallScenario, seeds int) []OracleRow {
	var out []OracleRow
	for _, s := range scenarios {
		out = append(out, OracleRow{s.Name, Mean(runSeeds(s.Load, HedgedQueued, seeds)), Mean(runSeeds(s.Load, OracleHedgedQueued, seeds))})
	}
	return out
}

// WriteOracle writes rows as a table. An error is one of w.
func WriteOracle(w io.Writer, rows []OracleRow) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tmean\toracle\tratio\tp99\toracle\tratio\ttarget\t")
	for _, r := range rows {
		verdict := "met"
		if r.MeanRatio() > OracleTarget || r.P99Ratio() > OracleTarget {
			verdict = "missed"
		}
		fmt.Fprintf(t, "%s\t%.1f ms\t%.1f ms\t%.2f\t%d ms\t%d ms\t%.2f\t%s\t\n", r.Load, milliseconds(r.Now.Mean), milliseconds(r.Oracle.Mean), r.MeanRatio(),
			r.Now.P99.Milliseconds(), r.Oracle.P99.Milliseconds(), r.P99Ratio(), verdict)
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
