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

// versionOracle records when each target version was acknowledged to the trainer.
type versionOracle struct {
	mu     sync.Mutex
	newest uint64
	setAt  map[uint64]time.Time
}

func (o *versionOracle) recordTarget(v uint64) {
	o.mu.Lock()
	o.newest, o.setAt[v] = v, time.Now()
	o.mu.Unlock()
}

// behind returns how many versions after v had been set at time at.
func (o *versionOracle) behind(v uint64, at time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for later := v + 1; later <= o.newest; later++ {
		if o.setAt[later].Before(at) {
			n++
		}
	}
	return n
}

// The target version advances while engines are slow, loads fail, load reports are stale,
// and the platform is unavailable or loses responses. Every sample must be at most one
// version behind the target when it reaches the trainer, be labelled with the versions that
// its engines recorded, and be delivered once.
func TestSamplesAreFreshAndCorrectlyLabelled(t *testing.T) {
	s := startSite(t, 4, 2, enginetest.Config{WeightVersion: 1, TokenInterval: time.Millisecond,
		WeightStore: &enginetest.WeightStore{FetchTime: 15 * time.Millisecond, FullRateFetches: 2}})
	o := &versionOracle{setAt: map[uint64]time.Time{}}
	if setTarget(t, s, 0, 1) != http.StatusOK {
		t.Fatal("could not set target version 1")
	}
	o.recordTarget(1)
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		var g errgroup.Group
		sent := 0
		rt.Repeat(map[string]func(*rapid.T){
			"name": func(rt *rapid.T) {
				next := o.newest + 1
				s.Trainer.SetTargetVersion(next) // the trainer knows the target before it sets it
				for try := 0; setTarget(t, s, rapid.IntRange(0, 1).Draw(rt, "instance"), next) != http.StatusOK; try++ {
					if try == 3 { // end the platform's outage
						s.Platform.SetFaults(platformtest.Faults{})
					}
				}
				o.recordTarget(next)
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
			rt.Fatalf("sample %s with weight versions %v reached the trainer %d versions behind, want at most 1", r.Sample.ID, label, n)
		}
		if r.Deliveries != 1 {
			rt.Fatalf("sample %s was delivered %d times, want 1", r.Sample.ID, r.Deliveries)
		}
		id := "minho." + r.Sample.ID[len("minho.drafts."):]
		recorded := map[uint64]bool{}
		for _, e := range s.Engines {
			for _, v := range e.Versions(id) {
				recorded[v] = true
			}
		}
		for _, v := range label {
			if !recorded[v] {
				rt.Fatalf("sample %s has weight versions %v, but engines recorded %v", r.Sample.ID, label, recorded)
			}
		}
	}
}
