package loadsim

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"

	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Rules are the decisions with which hard load is replayed.
type Rules struct {
	Name  string
	Calls Policy
	Steps StepPolicy
	// ByUrgency weights the work of more urgent models when engines are assigned.
	ByUrgency bool
}

// RulesBefore are the rules of pools that are not contended, and RulesNow those of
// contended pools.
var (
	RulesBefore = Rules{Name: "before", Calls: SpreadRetries, Steps: LongestFirst}
	RulesNow    = Rules{Name: "now", Calls: HedgedQueued, Steps: ByCompletionAndPace, ByUrgency: true}
)

// Part is a part of RulesNow that can be disabled. The rule of RulesBefore replaces it.
type Part struct {
	Name         string
	Calls, Steps bool // kinds of load that it concerns
	disable      func(*Rules)
}

// Parts are the parts that can be disabled. Failure rates affect the placement by pace only,
// so that they are disabled with it.
var Parts = []Part{
	{Name: "pace", Calls: true, Steps: true, disable: func(r *Rules) { r.Calls.Contended, r.Steps.Contended = false, false }},
	{Name: "copies", Calls: true, disable: func(r *Rules) { r.Calls.Hedge = false }},
	{Name: "queue", Calls: true, disable: func(r *Rules) { r.Calls.Queue = false }},
	{Name: "failure-rates", Calls: true, disable: func(r *Rules) { r.Calls.NoFailureRates = true }},
	{Name: "order", Steps: true, disable: func(r *Rules) { r.Steps.Order = nil }},
}

// PartNames returns the names of Parts.
func PartNames() []string {
	var out []string
	for _, p := range Parts {
		out = append(out, p.Name)
	}
	return out
}

// PartNamed returns the part with a name. An error names the parts that there are.
func PartNamed(name string) (Part, error) {
	i := slices.IndexFunc(Parts, func(p Part) bool { return p.Name == name })
	if i < 0 {
		return Part{}, fmt.Errorf("loadsim: part %q: want one of %s", name, strings.Join(PartNames(), ", "))
	}
	return Parts[i], nil
}

// Without returns the rules without a part.
func (r Rules) Without(p Part) Rules {
	r.Name = "without " + p.Name
	p.disable(&r)
	return r
}

// HardCalls returns the loads of plain calls.
func HardCalls() []Scenario {
	out := Scenarios()
	for _, c := range []struct {
		name     string
		machines Machines
		delay    time.Duration
	}{{"services at 0.7, 0.7 and 1.7 of the usual time", UnequalSpeeds, 0}, {"work takes 2.5 times as long for 600 ms, 15 % of the time", SlowMoments, 0},
		{"100 senders, reports 200 ms old", Machines{}, 200 * time.Millisecond}} {
		load := PlainCalls
		load.Customers, load.Machines, load.ReportDelay = 10, c.machines, c.delay
		out = append(out, Scenario{c.name, load})
	}
	atOnce := Minho
	atOnce.Customers, atOnce.Rate, atOnce.Upstreams, atOnce.FailingUpstreams, atOnce.FailureShare = 10, 0.6, 6, 1, 0.4
	atEnd := atOnce
	atEnd.FailureTime = 1
	return append(out, Scenario{"one upstream in six fails 40 % of its requests, at once", atOnce}, Scenario{"one upstream in six fails 40 % of its requests, at the end", atEnd},
		UrgentScenario())
}

// UrgentScenario returns a load of 4 times the capacity of which a fifth is urgent.
func UrgentScenario() Scenario {
	i := slices.IndexFunc(Scenarios(), func(s Scenario) bool { return s.Load.Rate == 4 })
	s := Scenarios()[i]
	s.Name += ", a fifth urgent"
	s.Load.UrgentShare = 0.2
	return s
}

// HardSteps returns the loads of steps with the mean work, and with twice the work, that
// their engines generate until the steps are due. The first two of each are two trainers
// whose steps are due at once, on the engines of one pool.
func (r Rules) HardSteps() []StepScenario {
	var out []StepScenario
	for _, work := range []float64{1, 2} {
		base := HardLoad
		base.Slots, base.GroupSize = 2, 16
		base = base.WithWork(work)
		urgent, other, lost, unequal, slow := base, base, base, base, base
		urgent.Engines, other.Engines = r.enginesOfTwo(2 * base.Engines)
		lost.LostEngines, lost.LostAt = base.Engines/3, 2*time.Second
		unequal.Machines, unequal.Second = UnequalSpeeds, true
		slow.Machines, slow.Second = SlowMoments, true
		for _, s := range []StepScenario{{"two trainers, the more urgent one", urgent}, {"two trainers, the less urgent one", other}, {"a third of the engines lost after 2 s", lost},
			{"engines at 0.7, 0.7 and 1.7 of the usual time", unequal}, {"work takes 2.5 times as long for 600 ms, 15 % of the time", slow}} {
			out = append(out, StepScenario{fmt.Sprintf("%s, work %g", s.Name, work), s.Load})
		}
	}
	return out
}

// enginesOfTwo returns how many engines of a pool serve each of two models with the same
// work, of which the first is more urgent.
func (r Rules) enginesOfTwo(engines int) (urgent, other int) {
	demands := []weights.Demand{{Model: "urgent", Work: 1, Priority: option.Some(0)}, {Model: "other", Work: 1, Priority: option.Some(1)}}
	if r.ByUrgency {
		weights.WeightByUrgency(demands)
	}
	var ids []string
	for i := range engines {
		ids = append(ids, upstreamID(i))
	}
	assigned := weights.AssignEngines(ids, demands)
	return len(assigned["urgent"]), len(assigned["other"])
}

// HardCall is the outcome of a load of plain calls with some rules.
type HardCall struct {
	Load, Rules string
	Urgent      bool // whether some of the requests are urgent
	Result
}

// HardStep is the outcome of a load of steps with some rules.
type HardStep struct {
	Load, Rules string
	Groups      int // of a step
	OrderSummary
}

// HardReport compares rules. Loads are in the order in which they are replayed, and the
// rules in that order for each load.
type HardReport struct {
	Calls []HardCall
	Steps []HardStep
}

// RunHardCalls simulates each of scenarios with each of rules, with the seeds from 0 to
// seeds-1.
func RunHardCalls(scenarios []Scenario, rules []Rules, seeds int) []HardCall {
	var out []HardCall
	for _, s := range scenarios {
		for _, r := range rules {
			out = append(out, HardCall{s.Name, r.Name, s.Load.UrgentShare > 0, Mean(runSeeds(s.Load, r.Calls, seeds))})
		}
	}
	return out
}

// RunHardSteps simulates HardSteps of each of rules with the seeds from 0 to seeds-1.
func RunHardSteps(rules []Rules, seeds int) []HardStep {
	var out []HardStep
	for i := range RulesNow.HardSteps() {
		for _, r := range rules {
			s := r.HardSteps()[i]
			out = append(out, HardStep{s.Name, r.Name, s.Load.Groups, SummarizeOrder(s.Load, r.Steps, seeds)})
		}
	}
	return out
}

// RunHard compares RulesBefore and RulesNow with the seeds from 0 to seeds-1.
func RunHard(seeds int) HardReport {
	rules := []Rules{RulesBefore, RulesNow}
	return HardReport{RunHardCalls(HardCalls(), rules, seeds), RunHardSteps(rules, seeds)}
}

// RunWithout compares RulesNow with the same without a part, on the loads that it concerns,
// with the seeds from 0 to seeds-1.
func RunWithout(p Part, seeds int) HardReport {
	rules := []Rules{RulesNow, RulesNow.Without(p)}
	var out HardReport
	if p.Calls {
		out.Calls = RunHardCalls(HardCalls(), rules, seeds)
	}
	if p.Steps {
		out.Steps = RunHardSteps(rules, seeds)
	}
	return out
}

// Headings of the tables of a HardReport.
const (
	hardCallHeading = "calls\trules\tin time\tin objective\tworst second\tfairness\turgent\tothers\tp99 of first send\tp99\t"
	hardStepHeading = "steps\trules\tgroups in time\tworst\tdesired\t"
)

// Write writes the report as tables. An error is one of w.
func (r HardReport) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if len(r.Calls) > 0 {
		fmt.Fprintln(t, hardCallHeading)
	}
	for _, c := range r.Calls {
		urgent, others := "", ""
		if c.Urgent {
			urgent, others = fmt.Sprintf("%.3f", c.AnsweredUrgent), fmt.Sprintf("%.3f", c.AnsweredOther)
		}
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%s\t%s\t%d ms\t%d ms\t\n", c.Load, c.Rules, c.Answered, c.WithinObjective, c.WorstSecond, c.Fairness,
			urgent, others, c.FirstSendP99.Milliseconds(), c.P99.Milliseconds())
	}
	if len(r.Steps) > 0 {
		fmt.Fprintln(t, "\n"+hardStepHeading)
	}
	for _, s := range r.Steps {
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%.2f s\t\n", s.Load, s.Rules, s.InTime, s.WorstInTime, s.DesiredTime.Seconds())
	}
	return t.Flush()
}

// WriteDifferences writes how each load's outcome with the second rules differs from that
// with the first. An error is one of w.
func (r HardReport) WriteDifferences(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if len(r.Calls) > 0 {
		fmt.Fprintln(t, "differences\n"+hardCallHeading)
	}
	for pair := range slices.Chunk(r.Calls, 2) {
		now, c := pair[0], pair[1]
		urgent, others := "", ""
		if c.Urgent {
			urgent, others = fmt.Sprintf("%+.3f", c.AnsweredUrgent-now.AnsweredUrgent), fmt.Sprintf("%+.3f", c.AnsweredOther-now.AnsweredOther)
		}
		fmt.Fprintf(t, "%s\t%s\t%+.3f\t%+.3f\t%+.3f\t%+.3f\t%s\t%s\t%+d ms\t%+d ms\t\n", c.Load, c.Rules, c.Answered-now.Answered, c.WithinObjective-now.WithinObjective,
			c.WorstSecond-now.WorstSecond, c.Fairness-now.Fairness, urgent, others, (c.FirstSendP99 - now.FirstSendP99).Milliseconds(), (c.P99 - now.P99).Milliseconds())
	}
	if len(r.Steps) > 0 {
		fmt.Fprintln(t, "\ndifferences\n"+hardStepHeading)
	}
	for pair := range slices.Chunk(r.Steps, 2) {
		now, s := pair[0], pair[1]
		fmt.Fprintf(t, "%s\t%s\t%+.1f\t%+d\t%+.2f s\t\n", s.Load, s.Rules, s.InTime-now.InTime, s.WorstInTime-now.WorstInTime, (s.DesiredTime - now.DesiredTime).Seconds())
	}
	return t.Flush()
}

// WriteChart draws, as SVG, the share of the calls within the objective and of the groups
// in time, a row for each load and a point for each of the rules.
func (r HardReport) WriteChart(w io.Writer) error {
	c := r.chart()
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	return c.Render(chart.SVG, w)
}

// chart returns the chart of WriteChart without its legend.
func (r HardReport) chart() chart.Chart {
	var loads []string
	var series []chart.Series
	byRules := map[string]*chart.ContinuousSeries{}
	add := func(load, rules string, served float64) {
		if !slices.Contains(loads, load) {
			loads = append(loads, load)
		}
		s := byRules[rules]
		if s == nil {
			s = &chart.ContinuousSeries{Name: rules, Style: chart.Style{StrokeWidth: chart.Disabled, DotWidth: 4, DotColor: chart.GetDefaultColor(len(byRules)), StrokeColor: chart.GetDefaultColor(len(byRules))}}
			byRules[rules] = s
			series = append(series, s)
		}
		s.XValues, s.YValues = append(s.XValues, served), append(s.YValues, -float64(slices.Index(loads, load)))
	}
	for _, c := range r.Calls {
		add(c.Load, c.Rules, c.WithinObjective)
	}
	for _, s := range r.Steps {
		add(s.Load, s.Rules, s.InTime/float64(s.Groups))
	}
	const rowHeight, margin = 22, 100
	grid := chart.Style{StrokeColor: chart.ColorLightGray, StrokeWidth: 1}
	c := chart.Chart{Width: 900, Height: margin + rowHeight*len(loads), Series: series, Background: chart.Style{Padding: chart.Box{Top: 24, Right: 8}},
		XAxis: chart.XAxis{Name: "share of calls within the objective, of groups in time"},
		YAxis: chart.YAxis{GridMajorStyle: grid, GridMinorStyle: grid}}
	for i := range 6 {
		share := float64(i) / 5
		c.XAxis.Ticks = append(c.XAxis.Ticks, chart.Tick{Value: share, Label: fmt.Sprintf("%.1f", share)})
	}
	// The range of an axis is that of its ticks: those without a label keep points off its ends.
	c.YAxis.Ticks = []chart.Tick{{Value: 1}}
	for i, load := range loads {
		c.YAxis.Ticks = append(c.YAxis.Ticks, chart.Tick{Value: -float64(i), Label: load})
	}
	c.YAxis.Ticks = append(c.YAxis.Ticks, chart.Tick{Value: -float64(len(loads))})
	return c
}
