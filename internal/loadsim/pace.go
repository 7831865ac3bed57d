package loadsim

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// UnequalSpeeds are upstreams of which a third takes 2.4 times as long for work as the
// others; OneFastThird are upstreams of which a third is 2.4 times faster than the others.
// SlowMoments are machines on which work takes 2.5 times as long for 15 % of the time, and
// UnequalAndSlow are both.
var (
	UnequalSpeeds  = Machines{Speeds: []float64{0.7, 0.7, 1.7}}
	OneFastThird   = Machines{Speeds: []float64{1.7, 1.7, 0.7}}
	SlowMoments    = Machines{SlowShare: 0.15, SlowFactor: 2.5, SlowTime: 600 * time.Millisecond}
	UnequalAndSlow = Machines{Speeds: UnequalSpeeds.Speeds, SlowShare: SlowMoments.SlowShare, SlowFactor: SlowMoments.SlowFactor, SlowTime: SlowMoments.SlowTime}
)

// LongTexts is a step with about as many slots as items, with long texts.
var LongTexts = StepLoad{Engines: 15, Slots: 6, Groups: 10, GroupSize: 8, DesiredShare: 0.9, EventInterval: 31 * time.Millisecond, MedianEvents: 13, EventsSigma: 0.87,
	MaxEvents: 120, HintSigma: 0.5, SlowFactor: 1, Second: true}

// PlainCalls is a load of calls to a plain service from many instances.
var PlainCalls = Load{Instances: 100, Upstreams: 21, Slots: 6, QueueLimit: 18, ServiceTime: 80 * time.Millisecond, LogNormal: true, LongShare: 0.03, LongFactor: 7,
	LatencyObjective: 400 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 4, Rate: 0.6, Duration: 6 * time.Second, SlowFactor: 1}

// StepScenario is a named step load.
type StepScenario struct {
	Name string
	Load StepLoad
}

// CallScenario is a named load of plain calls.
type CallScenario struct {
	Name string
	Load Load
}

// StepScenarios returns the step loads that the placement by pace is compared on.
func StepScenarios() []StepScenario {
	var out []StepScenario
	for _, shape := range []struct {
		name   string
		groups int
	}{{"", LongTexts.Groups}, {", items three times the slots", 3 * LongTexts.Engines * LongTexts.Slots / LongTexts.GroupSize}} {
		for _, m := range []struct {
			name     string
			machines Machines
		}{{"equal engines", Machines{}}, {"engines 0.7, 0.7, 1.7", UnequalSpeeds}, {"engines 1.7, 1.7, 0.7", OneFastThird}, {"slow moments", SlowMoments}, {"0.7, 0.7, 1.7 and slow moments", UnequalAndSlow}} {
			load := LongTexts
			load.Groups, load.Machines = shape.groups, m.machines
			out = append(out, StepScenario{m.name + shape.name, load})
		}
	}
	return out
}

// CallScenarios returns the loads of plain calls that the placement by pace is compared
// on.
func CallScenarios() []CallScenario {
	var out []CallScenario
	for _, c := range []struct {
		name     string
		machines Machines
		delay    time.Duration
	}{{"equal services", Machines{}, 0}, {"services 0.7, 0.7, 1.7", UnequalSpeeds, 0}, {"services 1.7, 1.7, 0.7", OneFastThird, 0}, {"slow moments", SlowMoments, 0},
		{"reports 200 ms old", Machines{}, 200 * time.Millisecond}, {"slow moments, reports 200 ms old", SlowMoments, 200 * time.Millisecond}} {
		load := PlainCalls
		load.Machines, load.ReportDelay = c.machines, c.delay
		out = append(out, CallScenario{c.name, load})
	}
	return out
}

// WritePace simulates the scenarios with the seeds from 0 to seeds-1, without and with
// placement by pace, and writes the results as tables. An error is one of w.
func WritePace(w io.Writer, seeds int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "step\tpolicy\tdesired\tworst\tall\tmoves\t")
	for _, s := range StepScenarios() {
		for _, p := range []StepPolicy{LongestFirst, SoonestFirst} {
			sum := RunStepSeeds(s.Load, p, seeds)
			fmt.Fprintf(t, "%s\t%s\t%.2f s\t%.2f s\t%.2f s\t%.1f\t\n", s.Name, p.Name, sum.DesiredTime.Seconds(), sum.DesiredWorst.Seconds(), sum.AllTime.Seconds(), sum.Moves)
		}
	}
	fmt.Fprintln(t, "\ncalls\tpolicy\tp50\tp99\tanswered\tattempts\tbusiest share\t")
	for _, s := range CallScenarios() {
		for _, p := range []Policy{SpreadRetries, BySoonest} {
			r := Mean(runSeeds(s.Load, p, seeds))
			fmt.Fprintf(t, "%s\t%s\t%d ms\t%d ms\t%.3f\t%.2f\t%.2f\t\n", s.Name, p.Name, r.P50.Milliseconds(), r.P99.Milliseconds(), r.Answered, r.Attempts, r.BusiestShare)
		}
	}
	return t.Flush()
}
