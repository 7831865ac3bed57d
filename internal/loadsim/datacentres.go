package loadsim

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// DataCentres describes the data centres of a site. Callers, instances and upstreams are
// spread evenly over them, and callers send their requests to an instance of their own.
type DataCentres struct {
	Count      int           // 0 for a single one
	CrossDelay time.Duration // additional one-way network delay to another data centre
	// Swing is the amplitude of the demand of each data centre, relative to its mean. The
	// demand oscillates with the period Period, shifted by an equal part of it from one data
	// centre to the next, so that that of all together is constant.
	Swing  float64
	Period time.Duration
	// Between SlowFrom and SlowUntil after the start, work takes SlowFactor times as long at
	// the upstreams of the first data centre.
	SlowFactor          float64
	SlowFrom, SlowUntil time.Duration
}

// of returns the data centre of the i-th of n instances or upstreams.
func (d DataCentres) of(i, n int) int {
	return i * max(d.Count, 1) / n
}

// demand returns the share of the offered requests that arrive in a data centre at a time
// after the start.
func (d DataCentres) demand(dataCentre int, after time.Duration) float64 {
	if d.Count == 0 {
		return 1
	}
	if d.Period == 0 {
		return 1 / float64(d.Count)
	}
	phase := after.Seconds()/d.Period.Seconds() + float64(dataCentre)/float64(d.Count)
	return (1 + d.Swing*math.Sin(2*math.Pi*phase)) / float64(d.Count)
}

// slowness returns how long work takes in a data centre at a time after the start relative to
// the usual.
func (d DataCentres) slowness(dataCentre int, after time.Duration) float64 {
	if d.SlowFactor == 0 || dataCentre != 0 || after < d.SlowFrom || after >= d.SlowUntil {
		return 1
	}
	return d.SlowFactor
}

// setDataCentre sets the data centre of the i-th upstream's entry, unless the site's policy
// ignores data centres.
func (s *site) setDataCentre(e *upstream.Entry, i int) {
	e.DataCentre = s.dataCentreName(s.load.DataCentres.of(i, s.load.Upstreams))
}

// dataCentreName returns the name by which instances know a data centre.
func (s *site) dataCentreName(dataCentre int) string {
	if s.load.DataCentres.Count == 0 || s.policy.IgnoreDataCentres {
		return ""
	}
	return fmt.Sprintf("z%d", dataCentre)
}

// instanceIn returns a random instance of a data centre.
func (s *site) instanceIn(dataCentre int) *instance {
	n, count := len(s.instances), max(s.load.DataCentres.Count, 1)
	first := (dataCentre*n + count - 1) / count
	last := ((dataCentre+1)*n + count - 1) / count
	return s.instances[first+s.rand.IntN(last-first)]
}

// delay returns the one-way network delay between an instance and an upstream.
func (s *site) delay(in *instance, to *server) time.Duration {
	if in.dataCentre == to.dataCentre {
		return linkDelay
	}
	return linkDelay + s.load.DataCentres.CrossDelay
}

// crossings counts attempts by the data centre of their instance and the second after the
// start in which they were sent.
type crossings struct {
	sent, crossed map[[2]int]int
}

// add counts an attempt.
func (c *crossings) add(dataCentre int, after time.Duration, crosses bool) {
	if c.sent == nil {
		c.sent, c.crossed = map[[2]int]int{}, map[[2]int]int{}
	}
	at := [2]int{dataCentre, int(after / time.Second)}
	c.sent[at]++
	if crosses {
		c.crossed[at]++
	}
}

// share returns the share of the attempts that crossed, and the largest change of that share
// in any data centre from one second of load to the next.
func (c *crossings) share(load Load) (share, change float64) {
	sent, crossed := 0, 0
	for at, n := range c.sent {
		sent += n
		crossed += c.crossed[at]
		next := [2]int{at[0], at[1] + 1}
		if time.Duration(next[1]+1)*time.Second > load.Duration || c.sent[next] == 0 {
			continue // callers no longer arrive
		}
		change = max(change, math.Abs(float64(c.crossed[next])/float64(c.sent[next])-float64(c.crossed[at])/float64(n)))
	}
	return float64(crossed) / float64(max(sent, 1)), change
}

// ThreeDataCentres is a load of plain calls in three data centres, with two periods of their
// demand.
func ThreeDataCentres(rate, swing float64) Load {
	load := PlainCalls
	load.Instances, load.Upstreams, load.Rate, load.Duration = 30, 21, rate, 22*time.Second
	load.DataCentres = DataCentres{Count: 3, CrossDelay: 450 * time.Microsecond, Swing: swing, Period: 11 * time.Second}
	return load
}

// DataCentreScenarios returns the loads on which placement in several data centres is compared.
func DataCentreScenarios() []CallScenario {
	var out []CallScenario
	for _, slow := range []bool{false, true} {
		for _, swing := range []float64{0.15, 0.6} {
			for _, rate := range []float64{0.5, 0.7, 0.9} {
				load, name := ThreeDataCentres(rate, swing), fmt.Sprintf("load %g, demand +-%g %%", rate, 100*swing)
				if slow {
					load.DataCentres.SlowFactor, load.DataCentres.SlowFrom, load.DataCentres.SlowUntil = 2.5, 10*time.Second, 12*time.Second
					name += ", one slow"
				}
				out = append(out, CallScenario{name, load})
			}
		}
	}
	return out
}

// DataCentrePolicies are the policies that are compared in several data centres: that of
// pools that are not contended, that of pools that are, and the latter without regard to data
// centres.
var DataCentrePolicies = []Policy{SpreadRetries, HedgedQueued, IgnoringDataCentres}

// WriteDataCentres simulates the scenarios with the seeds from 0 to seeds-1 and writes the
// means as a table. An error is one of w.
func WriteDataCentres(w io.Writer, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tcross\tchange\tanswered\tin objective\tp50\tp99\tattempts\t")
	for _, s := range DataCentreScenarios() {
		for _, p := range DataCentrePolicies {
			r := Mean(runSeeds(s.Load, p, seeds))
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.2f\t%.4f\t%.3f\t%d ms\t%d ms\t%.2f\t\n", s.Name, p.Name, r.CrossShare, r.CrossChange, r.Answered, r.WithinObjective,
				r.P50.Milliseconds(), r.P99.Milliseconds(), r.Attempts)
		}
	}
	return t.Flush()
}
