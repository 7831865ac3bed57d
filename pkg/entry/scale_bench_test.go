package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// Regression bounds of the benchmarks below.
const (
	maxRolloutSeconds = 2.0 // besides the load itself, of letter 1's 5 s
	maxCallsPerGroup  = 8.0 // to the platform, of all kinds
)

// scaleSite starts a site with the default settings but for the given
// engines, and a training entry on them that all engines may load at once.
func scaleSite(b *testing.B, engines int) *site.Site {
	s, err := site.Start(site.Config{Engines: engines, Entries: 3,
		Engine: enginetest.Config{TokenInterval: time.Millisecond, Slots: 64, WeightVersion: 1}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	pool := s.EnginePool("assistant-pool")
	pool.MaxLoading = engines
	if err := s.Apply(catalogue.File{Pools: []catalogue.Pool{pool}, Entries: []catalogue.Entry{{Name: "drafts", Owner: "minho",
		Class: catalogue.Training, Pool: "assistant-pool", Trainer: s.TrainerAddr, MaxVersionLag: 1,
		Limits: catalogue.Limits{MaxInFlight: 256, MaxTokens: 64}}}}); err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkRollout measures, at three pool sizes and with loads that take no
// time, from a version's acknowledgement to the last engine that holds it.
func BenchmarkRollout(b *testing.B) {
	for _, engines := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := scaleSite(b, engines)
			var worst time.Duration
			for v := uint64(2); v < 7; v++ {
				nameVersion(b, s, int(v)%3, v)
				named := time.Now()
				for !allAt(s, v)() {
					if time.Since(named) > time.Minute {
						b.Fatalf("version %d not on every engine after a minute", v)
					}
					time.Sleep(time.Millisecond)
				}
				worst = max(worst, time.Since(named))
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
			if worst.Seconds() > maxRolloutSeconds {
				b.Fatalf("a version took %v, bound %v s", worst, maxRolloutSeconds)
			}
		})
	}
}

// BenchmarkStepCalls measures the platform calls that each group of a step
// costs, over two sizes of step.
func BenchmarkStepCalls(b *testing.B) {
	for _, groups := range []int{32, 256} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			s := scaleSite(b, 4)
			nameVersion(b, s, 0, 1)
			time.Sleep(time.Second)
			spec := stepSpec("calls", groups, 8, groups)
			before, begun := s.Platform.Stats(), time.Now()
			submit(b, s, 0, spec)
			for stepStatus(b, s, 1, "calls").Closed != step.Complete {
				if time.Since(begun) > time.Minute {
					b.Fatal("step not complete after a minute")
				}
				time.Sleep(100 * time.Millisecond)
			}
			after, took := s.Platform.Stats(), time.Since(begun).Seconds()
			idle := took * 3 * 4 // what three instances read and write with no step
			calls := float64(after.Commits-before.Commits+after.Reads-before.Reads) - idle
			b.ReportMetric(float64(after.Commits-before.Commits)/float64(groups), "commits/group")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(groups), "reads/group")
			b.ReportMetric(took, "step-s")
			if per := calls / float64(groups); per > maxCallsPerGroup {
				b.Fatalf("%.1f platform calls a group, bound %.0f", per, maxCallsPerGroup)
			}
		})
	}
}
