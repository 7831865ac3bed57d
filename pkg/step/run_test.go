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

// harness drives a Run and checks its effects against a model.
type harness struct {
	run        *step.Run
	policy     step.Policy
	size       int
	now        time.Time
	running    map[int]step.Attempt
	version    uint64 // newest weight version
	minVersion uint64
	recording  map[int][]trainer.Sample // groups being recorded
	done       map[int]bool
}

func (h *harness) apply(t *rapid.T, effects []step.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case step.Start:
			same := 0
			for _, a := range h.running {
				if a.Item == e.Item {
					same++
				}
			}
			if same > 1 || same == 1 && h.policy.HedgeFactor == 0 {
				t.Fatalf("item %+v started with %d attempts running", e.Item, same)
			}
			h.running[e.Number] = e.Attempt
			if len(h.running) > h.policy.MaxRunning {
				t.Fatalf("running attempts: got %d, want at most %d", len(h.running), h.policy.MaxRunning)
			}
		case step.Cancel:
			if _, ok := h.running[e.Number]; !ok {
				t.Fatalf("attempt %d cancelled, which is not running", e.Number)
			}
			delete(h.running, e.Number)
		case step.Deliver:
			h.checkGroup(t, e)
			h.recording[e.Group] = e.Samples
		}
	}
}

// checkGroup checks that a group to be delivered is complete, has its own samples, all
// fresh, and was not delivered before.
func (h *harness) checkGroup(t *rapid.T, e step.Deliver) {
	if h.done[e.Group] || h.recording[e.Group] != nil {
		t.Fatalf("group %d delivered twice", e.Group)
	}
	if len(e.Samples) != h.size {
		t.Fatalf("samples of delivered group %d: got %d, want %d", e.Group, len(e.Samples), h.size)
	}
	for i, s := range e.Samples {
		if want := fmt.Sprintf("%d.%d", e.Group, i); s.ID != want {
			t.Fatalf("sample of group %d at index %d: got %s, want %s", e.Group, i, s.ID, want)
		}
		if s.WeightVersions[0] < h.minVersion {
			t.Fatalf("version of delivered group %d: got %d, want at least %d", e.Group, s.WeightVersions[0], h.minVersion)
		}
	}
}

func (h *harness) end(t *rapid.T, a step.Attempt, err error) {
	delete(h.running, a.Number)
	s := trainer.Sample{ID: fmt.Sprintf("%d.%d", a.Group, a.Index), WeightVersions: []uint64{h.version}}
	h.apply(t, h.run.Reduce(step.AttemptEnded{Attempt: a, Sample: s, Err: err, At: h.now}))
}

func (h *harness) tick(t *rapid.T, d time.Duration) {
	h.now = h.now.Add(d)
	h.apply(t, h.run.Reduce(step.Tick{At: h.now}))
}

func (h *harness) anyRunning(t *rapid.T) (step.Attempt, bool) {
	if len(h.running) == 0 {
		return step.Attempt{}, false
	}
	first := -1
	skip := rapid.IntRange(0, len(h.running)-1).Draw(t, "attempt")
	for n := 0; skip >= 0; n++ {
		if _, ok := h.running[n]; ok {
			first, skip = n, skip-1
		}
	}
	return h.running[first], true
}

// Attempts end in any order, fail, straggle and are hedged while weight versions
// advance and records fail. Delivered groups are complete, fresh and have their own
// samples, and each is recorded once. No item has more than two running attempts and
// the shard no more than its limit. Once the faults stop every group is delivered.
func TestRunDeliversCompleteFreshGroupsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := rapid.IntRange(1, 6).Draw(t, "groups")
		h := &harness{size: rapid.IntRange(1, 4).Draw(t, "size"), now: time.Unix(1_800_000_000, 0), version: 1,
			running: map[int]step.Attempt{}, recording: map[int][]trainer.Sample{}, done: map[int]bool{},
			policy: step.Policy{MaxRunning: rapid.IntRange(1, 8).Draw(t, "max_running"), RetryDelay: 100 * time.Millisecond,
				HedgeFactor: rapid.SampledFrom([]float64{0, 1.5, 3}).Draw(t, "hedge"), HedgeAfter: 2}}
		indexes := make([]int, groups)
		for i := range indexes {
			indexes[i] = i
		}
		h.run = step.NewRun(spec(groups, h.size), indexes, step.Progress{}, h.policy)
		record := func(t *rapid.T, ok, refused bool) {
			for g := range groups {
				if h.recording[g] == nil {
					continue
				}
				delete(h.recording, g)
				if ok {
					h.run.Reduce(step.Recorded{Group: g})
					if refused {
						h.run.Reduce(step.Refused{Group: g})
						return
					}
					h.done[g] = true
					h.run.Reduce(step.Acked{Group: g})
				} else {
					h.run.Reduce(step.RecordFailed{Group: g, RetryAt: h.now.Add(200 * time.Millisecond)})
				}
				return
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { h.tick(t, time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms"))*time.Millisecond) },
			"end": func(t *rapid.T) {
				if a, ok := h.anyRunning(t); ok {
					h.end(t, a, nil)
				}
			},
			"fail": func(t *rapid.T) {
				if a, ok := h.anyRunning(t); ok {
					h.end(t, a, errors.New("engine crashed"))
				}
			},
			"late": func(t *rapid.T) { // the end of an attempt that was cancelled before
				h.end(t, step.Attempt{Item: step.Item{}, Number: 1_000_000}, nil)
			},
			"name": func(*rapid.T) {
				h.version++
				h.minVersion = h.version - 1
				h.run.Reduce(step.MinVersionRaised{Version: h.minVersion})
			},
			"record":   func(t *rapid.T) { record(t, true, false) },
			"refuse":   func(t *rapid.T) { record(t, true, true) },
			"unrecord": func(t *rapid.T) { record(t, false, false) },
		})
		for i := 0; i < 400 && !h.run.Done(); i++ {
			h.tick(t, 300*time.Millisecond)
			for n, a := range h.running {
				if _, still := h.running[n]; still {
					h.end(t, a, nil)
				}
			}
			for range groups {
				record(t, true, false)
			}
		}
		if !h.run.Done() || len(h.done) != groups {
			t.Fatalf("groups delivered after the faults stopped: got %d, want %d", len(h.done), groups)
		}
	})
}

// An attempt that takes much longer than the median gets a second attempt. The first of
// the two to end gives the sample and the other is cancelled.
func TestStragglerIsHedged(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := step.NewRun(spec(1, 4), []int{0}, step.Progress{}, step.Policy{MaxRunning: 8, HedgeFactor: 2, HedgeAfter: 3})
	started := r.Reduce(step.Tick{At: now})
	if len(started) != 4 {
		t.Fatalf("items started: got %d, want 4", len(started))
	}
	sample := trainer.Sample{WeightVersions: []uint64{1}}
	for _, effect := range started[1:] {
		r.Reduce(step.AttemptEnded{Attempt: effect.(step.Start).Attempt, Sample: sample, At: now.Add(time.Second)})
	}
	if effects := r.Reduce(step.Tick{At: now.Add(1900 * time.Millisecond)}); len(effects) != 0 {
		t.Fatalf("effects before twice the median: got %+v, want none", effects)
	}
	effects := r.Reduce(step.Tick{At: now.Add(2100 * time.Millisecond)})
	if len(effects) != 1 || effects[0].(step.Start).Item != (step.Item{}) {
		t.Fatalf("effects after twice the median: got %+v, want a second attempt at the straggler", effects)
	}
	hedge := effects[0].(step.Start).Attempt
	effects = r.Reduce(step.AttemptEnded{Attempt: hedge, Sample: sample, At: now.Add(3 * time.Second)})
	if len(effects) != 1 || effects[0] != (step.Cancel{Attempt: started[0].(step.Start).Attempt}) {
		t.Fatalf("effects after the second attempt: got %+v, want the first cancelled", effects)
	}
}

// The error for an invalid step names the invalid field.
func TestSpecCheckNamesField(t *testing.T) {
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
	for field, breakField := range cases {
		s := spec(2, 2)
		breakField(&s)
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("invalid %s: got %v, want an error that names it", field, err)
		}
	}
	if err := spec(2, 2).Check(); err != nil {
		t.Errorf("valid step: got %v, want nil", err)
	}
}

// Most of a small shard straggles, as happens at one slow engine that the shard's
// prompts have an affinity for. The few attempts that ended are enough to hedge the
// rest, since hedging starts after a quarter of the shard.
func TestHedgingWhenMostStraggle(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	r := step.NewRun(spec(4, 4), []int{0, 1, 2, 3}, step.Progress{}, step.Policy{MaxRunning: 64, HedgeFactor: 2, HedgeAfter: 8})
	started := r.Reduce(step.Tick{At: now})
	for _, effect := range started[:4] {
		r.Reduce(step.AttemptEnded{Attempt: effect.(step.Start).Attempt, Sample: trainer.Sample{WeightVersions: []uint64{1}}, At: now.Add(time.Second)})
	}
	hedges := 0
	for _, effect := range r.Reduce(step.Tick{At: now.Add(2100 * time.Millisecond)}) {
		if _, ok := effect.(step.Start); ok {
			hedges++
		}
	}
	if hedges != 12 {
		t.Fatalf("hedged stragglers: got %d, want 12", hedges)
	}
}
