package loadsim

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Scenario is a load on a pool whose capacity is contended.
type Scenario struct {
	Name string
	Load Load
}

// Scenarios are the loads on which the policies for contended pools are compared.
func Scenarios() []Scenario {
	base := Minho
	base.Upstreams, base.Duration, base.Customers = 4, 8*time.Second, 10
	burst, standing, heavy, slow, long := base, base, base, base, base
	burst.BurstRate, burst.BurstStart, burst.BurstDuration = 6, 2*time.Second, 500*time.Millisecond
	standing.Rate = 4
	heavy.Rate, heavy.HeavyFactor = 1.5, 10
	slow.Rate, slow.SlowUpstreams, slow.SlowFactor = 0.4, 2, 5
	long.Rate, long.LongShare, long.LongFactor = 0.5, 0.03, 7
	return []Scenario{{"burst of 6 times the capacity for 0.5 s", burst}, {"4 times the capacity", standing},
		{"1.5 times, one customer with 10 times the others' load", heavy},
		{"half of the services 5 times slower", slow}, {"3 calls in 100 take 7 times as long", long}}
}

// WriteScenarios simulates each scenario under each of policies with the seeds from 0 to
// seeds-1, and writes the means as a table. An error is one of w.
func WriteScenarios(w io.Writer, scenarios []Scenario, policies []Policy, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tpolicy\tanswered\tin objective\tworst second\tfairness\tp50\tp99\tattempts\tcopies\t")
	for _, s := range scenarios {
		for _, p := range policies {
			r := Mean(runSeeds(s.Load, p, seeds))
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d ms\t%d ms\t%.2f\t%.3f\t\n", s.Name, p.Name, r.Answered, r.WithinObjective, r.WorstSecond, r.Fairness,
				r.P50.Milliseconds(), r.P99.Milliseconds(), r.Attempts, r.Copies)
		}
	}
	return t.Flush()
}
