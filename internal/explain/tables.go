package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Distribution is the distribution of durations.
type Distribution struct{ P50, P99, Worst time.Duration }

// distribution returns the distribution of ds, which it sorts.
func distribution(ds []int64) Distribution {
	if len(ds) == 0 {
		return Distribution{}
	}
	p := metrics.SamplePercentiles(ds, []float64{0.5, 0.99})
	return Distribution{P50: time.Duration(p[0]), P99: time.Duration(p[1]), Worst: time.Duration(ds[len(ds)-1])}
}

// ModelTiming is the processing times of the submissions of one model.
type ModelTiming struct {
	Model                   string // empty if no owner logged it
	Submissions             int
	Attempts, EmptyAttempts int // of all items, see SubmissionTiming
	Took                    Distribution
}

// RequestTiming is the times of the requests of one route or customer that are in the
// logs.
type RequestTiming struct {
	Name     string // of the route or customer
	Requests int
	Rejected int          // that have not run and were sent back
	Took     Distribution // of those that were not rejected
}

// byModel returns the timings of submissions by model, sorted by name.
func byModel(submissions []SubmissionTiming) []ModelTiming {
	timings, took := map[string]*ModelTiming{}, map[string][]int64{}
	for _, s := range submissions {
		t := timings[s.Model]
		if t == nil {
			t = &ModelTiming{Model: s.Model}
			timings[s.Model] = t
		}
		t.Submissions++
		t.Attempts += s.Attempts
		t.EmptyAttempts += s.EmptyAttempts
		took[s.Model] = append(took[s.Model], int64(s.Duration))
	}
	var out []ModelTiming
	for _, t := range timings {
		t.Took = distribution(took[t.Model])
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b ModelTiming) int { return cmp.Compare(a.Model, b.Model) })
	return out
}

// requestsBy returns the timings of the requests in lines by the value of a key of their
// lines, sorted by it. Requests without the key are left out.
func requestsBy(key string, lines []Line) []RequestTiming {
	timings, took := map[string]*RequestTiming{}, map[string][]int64{}
	for _, l := range lines {
		name := l.Get(key)
		if l.Message != "request" || name == "" {
			continue
		}
		t := timings[name]
		if t == nil {
			t = &RequestTiming{Name: name}
			timings[name] = t
		}
		t.Requests++
		if l.Get("verdict") == verdict.NotRun.String() {
			t.Rejected++
		} else if d, err := time.ParseDuration(l.Get("took")); err == nil {
			took[name] = append(took[name], int64(d))
		}
	}
	var out []RequestTiming
	for _, t := range timings {
		t.Took = distribution(took[t.Name])
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b RequestTiming) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// skippedLines returns how many lines exceeded the instances' limits per second, by what
// the lines that tell it are about. Lines skipped after the last one written are unknown.
func skippedLines(lines []Line) map[string]int {
	out := map[string]int{}
	for _, l := range lines {
		n, err := strconv.Atoi(l.Get("skipped"))
		if err != nil || n <= 0 {
			continue
		}
		switch {
		case l.Level == "warn":
			out["failures"] += n
		case l.Message == "request":
			out["requests"] += n
		case l.Get("item") != "":
			out["items"] += n
		default:
			out["others"] += n
		}
	}
	return out
}

// writeTables writes the tables by model, by route, by customer, if there are any, by pool
// and by upstream, and the numbers of skipped lines.
func (s Summary) writeTables(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nmodel\tsubmissions\tp50\tp99\tworst\tattempts\trefused\t")
	for _, m := range s.Models {
		fmt.Fprintf(t, "%s\t%d\t%s\t%d\t%d\t\n", cmp.Or(m.Model, "unknown"), m.Submissions, m.Took, m.Attempts, m.EmptyAttempts)
	}
	for _, table := range []struct {
		name string
		rows []RequestTiming
	}{{"route", s.Routes}, {"customer", s.Customers}} {
		if len(table.rows) == 0 && table.name == "customer" {
			continue // the site has none
		}
		fmt.Fprintf(t, "\n%s\trequests logged\tp50\tp99\tworst\trejected\t\n", table.name)
		for _, r := range table.rows {
			fmt.Fprintf(t, "%s\t%d\t%s\t%d\t\n", r.Name, r.Requests, r.Took, r.Rejected)
		}
	}
	s.writeUpstreams(t)
	if err := t.Flush(); err != nil {
		return err
	}
	var skipped []string
	for _, kind := range slices.Sorted(maps.Keys(s.Skipped)) {
		skipped = append(skipped, fmt.Sprintf("%s %d", kind, s.Skipped[kind]))
	}
	_, err := fmt.Fprintf(w, "lines skipped by the limits per second: %s\n", cmp.Or(strings.Join(skipped, ", "), "none recorded"))
	return err
}

// String returns the columns of a table.
func (d Distribution) String() string {
	if d == (Distribution{}) {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%.3f s\t%.3f s\t%.3f s", d.P50.Seconds(), d.P99.Seconds(), d.Worst.Seconds())
}
