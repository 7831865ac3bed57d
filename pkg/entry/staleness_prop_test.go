package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

// versionOracle knows when each version was acknowledged to the trainer.
type versionOracle struct {
	mu      sync.Mutex
	newest  uint64
	namedAt map[uint64]time.Time
}

func (o *versionOracle) named(v uint64) {
	o.mu.Lock()
	o.newest, o.namedAt[v] = v, time.Now()
	o.mu.Unlock()
}

// behind returns how many versions after v had been named by at.
func (o *versionOracle) behind(v uint64, at time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for later := v + 1; later <= o.newest; later++ {
		if o.namedAt[later].Before(at) {
			n++
		}
	}
	return n
}

// Versions advance while engines lag, swaps fail, reports repeat old news
// and the platform goes down and loses replies: whatever reaches the trainer
// is at most one version behind what was named when it got there, is
// labelled with the versions its engines recorded, and came once.
func TestSamplesAreFreshAndTrulyLabelled(t *testing.T) {
	s := startSite(t, 4, 2, enginetest.Config{WeightVersion: 1, TokenInterval: time.Millisecond,
		WeightStore: &enginetest.WeightStore{FetchTime: 15 * time.Millisecond, FullRateFetches: 2}})
	o := &versionOracle{namedAt: map[uint64]time.Time{}}
	if nameVersion(t, s, 0, 1) != http.StatusOK {
		t.Fatal("version 1 not named")
	}
	o.named(1)
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		var g errgroup.Group
		sent := 0
		rt.Repeat(map[string]func(*rapid.T){
			"name": func(rt *rapid.T) {
				next := o.newest + 1
				s.Trainer.SetTargetVersion(next) // the trainer knows what it is about to name
				for try := 0; nameVersion(t, s, rapid.IntRange(0, 1).Draw(rt, "instance"), next) != http.StatusOK; try++ {
					if try == 3 { // the platform is down: it comes back
						s.Platform.SetFaults(platformtest.Faults{})
					}
				}
				o.named(next)
			},
			"generate": func(rt *rapid.T) {
				n, at := rapid.IntRange(1, 6).Draw(rt, "requests"), rapid.IntRange(0, 1).Draw(rt, "instance")
				tokens := rapid.IntRange(1, 40).Draw(rt, "tokens")
				for range n {
					sent++
					req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("fresh-%d-%d", round, sent),
						Prompt: fmt.Sprint("prompt ", sent), MaxTokens: tokens}
					g.Go(func() error { generate(t, s.Entries[at].Addr(), req); return nil })
				}
			},
			"fault": func(rt *rapid.T) {
				s.Engines[rapid.IntRange(0, len(s.Engines)-1).Draw(rt, "engine")].SetFaults(rapid.SampledFrom([]enginetest.Faults{{}, {RefuseLoad: true}, {StaleReports: true}, {CutAfter: 3}, {SlowFactor: 10}}).Draw(rt, "fault"))
			},
			"platform": func(rt *rapid.T) {
				s.Platform.SetFaults(rapid.SampledFrom([]platformtest.Faults{{}, {}, {Down: true}, {LoseReplies: 2}}).Draw(rt, "fault"))
			},
			"wait": func(rt *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 30).Draw(rt, "ms")) * time.Millisecond) },
		})
		s.Platform.SetFaults(platformtest.Faults{})
		for _, e := range s.Engines {
			e.SetFaults(enginetest.Faults{})
		}
		_ = g.Wait()
		checkSamples(rt, s, o)
	})
}

func checkSamples(rt *rapid.T, s *site.Site, o *versionOracle) {
	for _, r := range s.Trainer.Received() {
		label := r.Sample.WeightVersions
		if n := o.behind(slices.Min(label), r.At); n > 1 {
			rt.Fatalf("sample %s of versions %v reached the trainer %d versions behind", r.Sample.ID, label, n)
		}
		if r.Deliveries != 1 {
			rt.Fatalf("sample %s delivered %d times", r.Sample.ID, r.Deliveries)
		}
		id := "minho." + r.Sample.ID[len("minho.drafts."):]
		made := map[uint64]bool{}
		for _, e := range s.Engines {
			for _, v := range e.Versions(id) {
				made[v] = true
			}
		}
		for _, v := range label {
			if !made[v] {
				rt.Fatalf("sample %s labelled %v; engines made its tokens under %v", r.Sample.ID, label, made)
			}
		}
	}
}
