package experiment_test

import (
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/experiment"
)

// idleBound is the limit of the default policy's idle share divided by the baseline's,
// both means over the rounds of one run. Single rounds gave 0.82 to 0.92.
const idleBound = 0.95

// rounds is the number of runs of each policy, with different seeds. The policies run
// in turn.
const rounds = 2

// BenchmarkTrainerIdle measures trainer idle time and staleness of the default policy
// and of the baseline that waits for every group. It fails if the ratio of their idle
// shares exceeds idleBound.
func BenchmarkTrainerIdle(b *testing.B) {
	baseline, standard := experiment.Policies[0], experiment.Policies[len(experiment.Policies)-1]
	for _, d := range []experiment.Deployment{experiment.Minho, experiment.Rodokmen} {
		b.Run(d.Name, func(b *testing.B) {
			for b.Loop() {
				var was, is, lag float64
				for seed := uint64(1); seed <= rounds; seed++ {
					was += run(b, d, baseline, seed).IdleShare / rounds
					r := run(b, d, standard, seed)
					is, lag = is+r.IdleShare/rounds, lag+r.LagMean/rounds
				}
				b.ReportMetric(was, "baseline-idle")
				b.ReportMetric(is, "idle")
				b.ReportMetric(lag, "versions-behind")
				if ratio := is / was; ratio > idleBound {
					b.Fatalf("idle share %.3f is %.2f of the baseline's %.3f, want at most %.2f", is, ratio, was, idleBound)
				}
			}
		})
	}
}

// run runs one experiment, and fails if a sample was delivered twice or exceeded the
// version lag.
func run(b *testing.B, d experiment.Deployment, p experiment.Policy, seed uint64) experiment.Result {
	r, err := experiment.Run(experiment.Config{Deployment: d, Policy: p, Steps: 8, Seed: seed})
	if err != nil {
		b.Fatal(err)
	}
	if r.Duplicates != 0 || r.TooOld != 0 {
		b.Fatalf("%s: %d samples delivered twice, %d too old, want none", p.Name, r.Duplicates, r.TooOld)
	}
	return r
}
