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

// Bounds of the benchmarks below.
const (
	maxRolloutSeconds = 2.0 // besides the load itself; the requirement is 5 s in total
	maxCallsPerGroup  = 8.0 // platform calls of all kinds
)

// scaleSite starts a site with default settings and the given number of engines, and a
// training entry whose engines may all load at the same time.
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

// BenchmarkRollout measures the time from the acknowledgement of a target version until the
// last engine holds it, at three pool sizes and with loads that take no time.
func BenchmarkRollout(b *testing.B) {
	for _, engines := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := scaleSite(b, engines)
			var worst time.Duration
			for v := uint64(2); v < 7; v++ {
				setTarget(b, s, int(v)%3, v)
				start := time.Now()
				for !allAtVersion(s, v)() {
					if time.Since(start) > time.Minute {
						b.Fatalf("version %d not on every engine after 1m", v)
					}
					time.Sleep(time.Millisecond)
				}
				worst = max(worst, time.Since(start))
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
			if worst.Seconds() > maxRolloutSeconds {
				b.Fatalf("slowest rollout took %v, want at most %v s", worst, maxRolloutSeconds)
			}
		})
	}
}

// BenchmarkStepCalls measures the platform calls per group of a step, at two step sizes.
func BenchmarkStepCalls(b *testing.B) {
	for _, groups := range []int{32, 256} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			s := scaleSite(b, 4)
			setTarget(b, s, 0, 1)
			time.Sleep(time.Second)
			spec := stepSpec("calls", groups, 8, groups)
			before, begun := s.Platform.Stats(), time.Now()
			submit(b, s, 0, spec)
			for stepStatus(b, s, 1, "calls").Closed != step.Complete {
				if time.Since(begun) > time.Minute {
					b.Fatal("step not complete after 1m")
				}
				time.Sleep(100 * time.Millisecond)
			}
			after, took := s.Platform.Stats(), time.Since(begun).Seconds()
			idle := took * 3 * 4 // calls of three instances without a step, estimated at 4 a second each
			calls := float64(after.Commits-before.Commits+after.Reads-before.Reads) - idle
			b.ReportMetric(float64(after.Commits-before.Commits)/float64(groups), "commits/group")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(groups), "reads/group")
			b.ReportMetric(took, "step-s")
			if per := calls / float64(groups); per > maxCallsPerGroup {
				b.Fatalf("got %.1f platform calls per group, want at most %.0f", per, maxCallsPerGroup)
			}
		})
	}
}
