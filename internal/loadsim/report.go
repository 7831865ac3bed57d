package loadsim

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// Mean returns the means of results that differ only in their seeds. Its MaxWait,
// LongestGap and CrossChange are the largest ones.
func Mean(results []Result) Result {
	if len(results) == 0 {
		return Result{}
	}
	out := Result{Policy: results[0].Policy, Rate: results[0].Rate}
	n := float64(len(results))
	for _, r := range results {
		out.Goodput += r.Goodput / n
		out.WithinObjective += r.WithinObjective / n
		out.Answered += r.Answered / n
		out.Attempts += r.Attempts / n
		out.Copies += r.Copies / n
		out.WorstSecond += r.WorstSecond / n
		out.Fairness += r.Fairness / n
		out.P50 += r.P50 / time.Duration(len(results))
		out.P99 += r.P99 / time.Duration(len(results))
		out.Mean += r.Mean / time.Duration(len(results))
		out.FirstSendP99 += r.FirstSendP99 / time.Duration(len(results))
		out.AnsweredUrgent += r.AnsweredUrgent / n
		out.AnsweredOther += r.AnsweredOther / n
		out.MaxWait = max(out.MaxWait, r.MaxWait)
		out.BusiestShare += r.BusiestShare / n
		out.Failed += r.Failed / n
		out.LongestGap = max(out.LongestGap, r.LongestGap)
		out.CrossShare += r.CrossShare / n
		out.CrossChange = max(out.CrossChange, r.CrossChange)
	}
	return out
}

// Sweep simulates load at each of rates, as fractions of the capacity, under each of
// policies with the seeds from 0 to seeds-1. It returns the means over the seeds.
func Sweep(load Load, policies []Policy, rates []float64, seeds int) []Result {
	var out []Result
	for _, p := range policies {
		for _, rate := range rates {
			load.Rate = rate
			out = append(out, Mean(runSeeds(load, p, seeds)))
		}
	}
	return out
}

// runSeeds simulates load under p with the seeds from 0 to seeds-1.
func runSeeds(load Load, p Policy, seeds int) []Result {
	var out []Result
	for seed := range uint64(seeds) {
		load.Seed = seed
		out = append(out, Run(load, p))
	}
	return out
}

// WriteTable writes results as a table. An error is one of w.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\toffered\tgoodput\tanswered\tin objective\tp50\tp99\tattempts\theld untried\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.2f\t%.3f\t%.3f\t%.3f\t%d ms\t%d ms\t%.2f\t%d ms\t\n", r.Policy, r.Rate, r.Goodput, r.Answered, r.WithinObjective,
			r.P50.Milliseconds(), r.P99.Milliseconds(), r.Attempts, r.MaxWait.Milliseconds())
	}
	return t.Flush()
}

// WriteChart draws goodput against the offered load as SVG, a line for each policy.
func WriteChart(w io.Writer, results []Result) error {
	lines := map[string]*chart.ContinuousSeries{}
	var series []chart.Series
	for _, r := range results {
		l := lines[r.Policy]
		if l == nil {
			l = &chart.ContinuousSeries{Name: r.Policy}
			lines[r.Policy] = l
			series = append(series, l)
		}
		l.XValues, l.YValues = append(l.XValues, r.Rate), append(l.YValues, r.Goodput)
	}
	c := chart.Chart{Width: 720, Height: 400, Series: series,
		XAxis: chart.XAxis{Name: "offered, in parts of the capacity"},
		YAxis: chart.YAxis{Name: "goodput, in parts of the capacity", Range: &chart.ContinuousRange{Min: 0, Max: 1.2}}}
	c.Elements = []chart.Renderable{chart.LegendLeft(&c)}
	return c.Render(chart.SVG, w)
}

// StepSummary is the outcome of a step load under a policy over many seeds.
type StepSummary struct {
	Policy      string
	Engines     int
	SlowEngines int           // number of slow engines
	DesiredTime time.Duration // mean time until the groups that the trainer waits for were complete
	DesiredP90  time.Duration // 90th percentile of that time
	// DesiredWorst is the longest of that time.
	DesiredWorst time.Duration
	AllTime      time.Duration // mean time until all groups were complete
	Moves        float64       // mean number of moves of texts
}

// SweepSteps simulates load with each number of engines, without and with an engine
// that is slowFactor times as slow, under each policy with the seeds from 0 to seeds-1.
func SweepSteps(load StepLoad, policies []StepPolicy, engines []int, slowFactor float64, seeds int) []StepSummary {
	var out []StepSummary
	load.SlowFactor = slowFactor
	for _, load.SlowEngines = range []int{0, 1} {
		for _, load.Engines = range engines {
			for _, p := range policies {
				out = append(out, RunStepSeeds(load, p, seeds))
			}
		}
	}
	return out
}

// RunStepSeeds simulates load under p with the seeds from 0 to seeds-1.
func RunStepSeeds(load StepLoad, p StepPolicy, seeds int) StepSummary {
	out := StepSummary{Policy: p.Name, Engines: load.Engines, SlowEngines: load.SlowEngines}
	var desired []time.Duration
	for seed := range uint64(seeds) {
		load.Seed = seed
		r := RunStep(load, p)
		desired = append(desired, r.DesiredTime)
		out.DesiredTime += r.DesiredTime / time.Duration(seeds)
		out.AllTime += r.AllTime / time.Duration(seeds)
		out.Moves += float64(r.Moves) / float64(seeds)
	}
	slices.Sort(desired)
	out.DesiredP90, out.DesiredWorst = quantile(desired, 0.9), desired[len(desired)-1]
	return out
}

// WriteSteps writes steps as a table. An error is one of w.
func WriteSteps(w io.Writer, steps []StepSummary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "engines\tslow\tpolicy\tdesired\tdesired p90\tall\t")
	for _, s := range steps {
		fmt.Fprintf(t, "%d\t%d\t%s\t%.2f s\t%.2f s\t%.2f s\t\n", s.Engines, s.SlowEngines, s.Policy, s.DesiredTime.Seconds(), s.DesiredP90.Seconds(), s.AllTime.Seconds())
	}
	return t.Flush()
}

// OrderSummary is the outcome of a step load under an order of items over many seeds.
type OrderSummary struct {
	Policy      string
	GroupSize   int
	Work        float64 // work of the step as a multiple of what its engines generate until it is due
	Lost        int     // engines taken away in the middle
	InTime      float64 // mean groups complete by the due time
	WorstInTime int
	// DesiredTime is the mean time until the groups that the trainer waits for were
	// complete.
	DesiredTime  time.Duration
	WorstDesired time.Duration
	// SequenceTime, SequenceInTime and SequenceGivenUp are the mean time of a step, its
	// groups complete by the due time, and the share of steps that the trainer gives up,
	// where steps follow each other.
	SequenceTime    time.Duration
	SequenceInTime  float64
	SequenceGivenUp float64
}

// sequenceSteps is the number of steps of a simulated sequence.
const sequenceSteps = 10

// SummarizeOrder simulates load under p with the seeds from 0 to seeds-1, as single steps
// and in sequences.
func SummarizeOrder(load StepLoad, p StepPolicy, seeds int) OrderSummary {
	out := OrderSummary{Policy: p.Name, GroupSize: load.GroupSize, Lost: load.LostEngines, WorstInTime: load.Groups}
	n := float64(seeds)
	for seed := range uint64(seeds) {
		load.Seed = seed
		r := RunStep(load, p)
		out.InTime += float64(r.InTime) / n
		out.WorstInTime = min(out.WorstInTime, r.InTime)
		out.DesiredTime += r.DesiredTime / time.Duration(seeds)
		out.WorstDesired = max(out.WorstDesired, r.DesiredTime)
		sequence := RunSequence(load, p, sequenceSteps)
		out.SequenceTime += sequence.StepTime / time.Duration(seeds)
		out.SequenceInTime += sequence.InTime / n
		out.SequenceGivenUp += float64(sequence.GivenUp) / sequenceSteps / n
	}
	return out
}

// SweepOrders simulates load with groups of each size and with each ratio of work,
// without and with a third of the engines taken away after 2 s, under OrderPolicies.
func SweepOrders(load StepLoad, sizes []int, ratios []float64, seeds int) []OrderSummary {
	var out []OrderSummary
	for _, load.GroupSize = range sizes {
		for _, ratio := range ratios {
			for _, taken := range []int{0, 1} {
				l := load.WithWork(ratio)
				l.LostEngines, l.LostAt = taken*l.Engines/3, 2*time.Second
				for _, p := range OrderPolicies {
					r := SummarizeOrder(l, p, seeds)
					r.Work = ratio
					out = append(out, r)
				}
			}
		}
	}
	return out
}

// WriteOrders writes orders as a table. An error is one of w.
func WriteOrders(w io.Writer, orders []OrderSummary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "group\twork\tlost\tpolicy\tin time\tworst\tdesired\tworst\tin sequence: step\tin time\tgiven up\t")
	for _, o := range orders {
		fmt.Fprintf(t, "%d\t%.1f\t%d\t%s\t%.1f\t%d\t%.2f s\t%.2f s\t%.2f s\t%.1f\t%.2f\t\n", o.GroupSize, o.Work, o.Lost, o.Policy, o.InTime, o.WorstInTime,
			o.DesiredTime.Seconds(), o.WorstDesired.Seconds(), o.SequenceTime.Seconds(), o.SequenceInTime, o.SequenceGivenUp)
	}
	return t.Flush()
}
