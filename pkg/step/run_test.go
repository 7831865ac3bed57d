package step_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/step"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

func spec(groups, size int) step.Spec {
	s := step.Spec{Customer: "minho", Entry: "drafts", ID: "s1", Desired: groups, Deadline: time.Unix(1_900_000_000, 0)}
	for i := range groups {
		s.Groups = append(s.Groups, step.Group{ID: fmt.Sprintf("g%d", i), Prompt: "p", Size: size, MaxTokens: 8})
	}
	return s
}

// bench drives a Run and keeps the oracle's account of it.
type bench struct {
	run     *step.Run
	policy  step.Policy
	size    int
	now     time.Time
	running map[int]step.Attempt
	version uint64 // newest weight version
	floor   uint64
	asked   map[int][]trainer.Sample // groups being recorded
	done    map[int]bool
}

func (b *bench) carryOut(t *rapid.T, effs []step.Effect) {
	for _, eff := range effs {
		switch e := eff.(type) {
		case step.Start:
			same := 0
			for _, a := range b.running {
				if a.Item == e.Item {
					same++
				}
			}
			if same > 1 || same == 1 && b.policy.HedgeFactor == 0 {
				t.Fatalf("item %+v started with %d attempts under way", e.Item, same)
			}
			b.running[e.Number] = e.Attempt
			if len(b.running) > b.policy.MaxRunning {
				t.Fatalf("%d attempts run, limit %d", len(b.running), b.policy.MaxRunning)
			}
		case step.Cancel:
			if _, ok := b.running[e.Number]; !ok {
				t.Fatalf("cancelled attempt %d, which does not run", e.Number)
			}
			delete(b.running, e.Number)
		case step.Deliver:
			b.checkGroup(t, e)
			b.asked[e.Group] = e.Samples
		}
	}
}

// checkGroup checks that a group asked to be delivered is whole, its own,
// fresh and not delivered before.
func (b *bench) checkGroup(t *rapid.T, e step.Deliver) {
	if b.done[e.Group] || b.asked[e.Group] != nil {
		t.Fatalf("group %d asked to be delivered again", e.Group)
	}
	if len(e.Samples) != b.size {
		t.Fatalf("group %d delivered with %d of %d samples", e.Group, len(e.Samples), b.size)
	}
	for i, s := range e.Samples {
		if want := fmt.Sprintf("%d.%d", e.Group, i); s.ID != want {
			t.Fatalf("group %d holds sample %s at place %d", e.Group, s.ID, i)
		}
		if s.WeightVersions[0] < b.floor {
			t.Fatalf("group %d delivered with version %d, floor %d", e.Group, s.WeightVersions[0], b.floor)
		}
	}
}

func (b *bench) end(t *rapid.T, a step.Attempt, err error) {
	delete(b.running, a.Number)
	s := trainer.Sample{ID: fmt.Sprintf("%d.%d", a.Group, a.Index), WeightVersions: []uint64{b.version}}
	b.carryOut(t, b.run.Reduce(step.AttemptEnded{Attempt: a, Sample: s, Err: err, At: b.now}))
}

func (b *bench) tick(t *rapid.T, d time.Duration) {
	b.now = b.now.Add(d)
	b.carryOut(t, b.run.Reduce(step.Tick{At: b.now}))
}

func (b *bench) anyRunning(t *rapid.T) (step.Attempt, bool) {
	if len(b.running) == 0 {
		return step.Attempt{}, false
	}
	first := -1
	skip := rapid.IntRange(0, len(b.running)-1).Draw(t, "attempt")
	for n := 0; skip >= 0; n++ {
		if _, ok := b.running[n]; ok {
			first, skip = n, skip-1
		}
	}
	return b.running[first], true
}

// Generations that end in any order, fail, straggle and are hedged while
// versions advance and records fail: groups asked to be delivered are
// whole, fresh and their own, each recorded once; no item runs more than
// twice at once nor the shard over its limit; and once the faults stop
// every group is delivered.
func TestRunDeliversWholeFreshGroupsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.IntRange(1, 6).Draw(t, "groups")
		b := &bench{size: rapid.IntRange(1, 4).Draw(t, "size"), now: time.Unix(1_800_000_000, 0), version: 1,
			running: map[int]step.Attempt{}, asked: map[int][]trainer.Sample{}, done: map[int]bool{},
			policy: step.Policy{MaxRunning: rapid.IntRange(1, 8).Draw(t, "max_running"), RetryDelay: 100 * time.Millisecond,
				HedgeFactor: rapid.SampledFrom([]float64{0, 1.5, 3}).Draw(t, "hedge"), HedgeAfter: 2}}
		indexes := make([]int, groups)
		for i := range indexes {
			indexes[i] = i
		}
		b.run = step.NewRun(spec(groups, b.size), indexes, step.Progress{}, b.policy)
		record := func(t *rapid.T, ok, refused bool) {
			for g := range groups {
				if b.asked[g] == nil {
					continue
				}
				delete(b.asked, g)
				if ok {
					b.run.Reduce(step.Recorded{Group: g})
					if refused {
						b.run.Reduce(step.Refused{Group: g})
						return
					}
					b.done[g] = true
					b.run.Reduce(step.Acked{Group: g})
				} else {
					b.run.Reduce(step.RecordFailed{Group: g, RetryAt: b.now.Add(200 * time.Millisecond)})
				}
				return
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { b.tick(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond) },
			"end": func(t *rapid.T) {
				if a, ok := b.anyRunning(t); ok {
					b.end(t, a, nil)
				}
			},
			"fail": func(t *rapid.T) {
				if a, ok := b.anyRunning(t); ok {
					b.end(t, a, errors.New("engine crashed"))
				}
			},
			"late": func(t *rapid.T) { // the end of an attempt cancelled before
				b.end(t, step.Attempt{Item: step.Item{}, Number: 1_000_000}, nil)
			},
			"name": func(*rapid.T) {
				b.version++
				b.floor = b.version - 1
				b.run.Reduce(step.MinVersionRaised{Version: b.floor})
			},
			"record":   func(t *rapid.T) { record(t, true, false) },
			"refuse":   func(t *rapid.T) { record(t, true, true) },
			"unrecord": func(t *rapid.T) { record(t, false, false) },
		})
		for i := 0; i < 400 && !b.run.Done(); i++ {
			b.tick(t, 300*time.Millisecond)
			for n, a := range b.running {
				if _, still := b.running[n]; still {
					b.end(t, a, nil)
				}
			}
			for range groups {
				record(t, true, false)
			}
		}
		if !b.run.Done() || len(b.done) != groups {
			t.Fatalf("%d of %d groups delivered after the faults stopped", len(b.done), groups)
		}
	})
}

// A generation that takes far longer than most is started a second time;
// the first of the two to end gives the sample and the other is cancelled.
func TestStragglerIsHedged(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := step.NewRun(spec(1, 4), []int{0}, step.Progress{}, step.Policy{MaxRunning: 8, HedgeFactor: 2, HedgeAfter: 3})
	started := r.Reduce(step.Tick{At: now})
	if len(started) != 4 {
		t.Fatalf("%d items started, want 4", len(started))
	}
	sample := trainer.Sample{WeightVersions: []uint64{1}}
	for _, eff := range started[1:] {
		r.Reduce(step.AttemptEnded{Attempt: eff.(step.Start).Attempt, Sample: sample, At: now.Add(time.Second)})
	}
	if effs := r.Reduce(step.Tick{At: now.Add(1900 * time.Millisecond)}); len(effs) != 0 {
		t.Fatalf("hedged before twice the median: %+v", effs)
	}
	effs := r.Reduce(step.Tick{At: now.Add(2100 * time.Millisecond)})
	if len(effs) != 1 || effs[0].(step.Start).Item != (step.Item{}) {
		t.Fatalf("straggler not hedged: %+v", effs)
	}
	hedge := effs[0].(step.Start).Attempt
	effs = r.Reduce(step.AttemptEnded{Attempt: hedge, Sample: sample, At: now.Add(3 * time.Second)})
	if len(effs) != 1 || effs[0] != (step.Cancel{Attempt: started[0].(step.Start).Attempt}) {
		t.Fatalf("straggler not cancelled: %+v", effs)
	}
}

// A step with a fault is refused with an error that names the field.
func TestSpecCheckNamesTheField(t *testing.T) {
	cases := map[string]func(*step.Spec){
		"customer":   func(s *step.Spec) { s.Customer = "" },
		"id":         func(s *step.Spec) { s.ID = "a/b" },
		"desired":    func(s *step.Spec) { s.Desired = 3 },
		"due_at":     func(s *step.Spec) { s.Deadline = time.Time{} },
		"twice":      func(s *step.Spec) { s.Groups[1].ID = "g0" },
		"size":       func(s *step.Spec) { s.Groups[1].Size = 0 },
		"max_tokens": func(s *step.Spec) { s.Groups[1].MaxTokens = 0 },
		"groups":     func(s *step.Spec) { s.Groups = nil },
	}
	for field, spoil := range cases {
		s := spec(2, 2)
		spoil(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
	if err := spec(2, 2).Check(); err != nil {
		t.Errorf("a good step: %v", err)
	}
}

// Where most of a small shard straggles, as at one slow engine that the
// shard's prompts have an affinity for, the few that ended are enough to
// hedge the rest: HedgeAfter is no more than a quarter of the shard.
func TestHedgesThoughMostStraggle(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := step.NewRun(spec(4, 4), []int{0, 1, 2, 3}, step.Progress{}, step.Policy{MaxRunning: 64, HedgeFactor: 2, HedgeAfter: 8})
	started := r.Reduce(step.Tick{At: now})
	for _, eff := range started[:4] {
		r.Reduce(step.AttemptEnded{Attempt: eff.(step.Start).Attempt, Sample: trainer.Sample{WeightVersions: []uint64{1}}, At: now.Add(time.Second)})
	}
	hedges := 0
	for _, eff := range r.Reduce(step.Tick{At: now.Add(2100 * time.Millisecond)}) {
		if _, ok := eff.(step.Start); ok {
			hedges++
		}
	}
	if hedges != 12 {
		t.Fatalf("%d of 12 stragglers hedged", hedges)
	}
}
