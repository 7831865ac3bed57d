package completion_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
)

// Guards against a scorer that is called for texts of all groups while few of them become
// complete, for groups that the trainer does not wait for, or for those ahead of carried
// ones.
func TestScoringOrder(t *testing.T) {
	step := []completion.UnscoredGroup{{Ready: []int{0, 1, 2}, Missing: 4}, {Ready: []int{4}, Missing: 2}, {Ready: []int{8, 9}, Missing: 8}, {Missing: 1}, {Ready: []int{20, 21}, Missing: 2}}
	carried := slices.Clone(step)
	carried[2].Carried = true
	for _, test := range []struct {
		name  string
		state completion.ScoringState
		want  []int
	}{
		{"all groups are waited for", completion.ScoringState{Groups: step}, []int{4, 20, 21, 0, 1, 2, 8, 9}},
		{"some groups are waited for", completion.ScoringState{Groups: step, Complete: 1, Desired: 3}, []int{4, 20, 21, 0, 1, 2, 8, 9}},
		{"a carried group and another one", completion.ScoringState{Groups: carried, Desired: 2}, []int{8, 9, 4, 20, 21, 0, 1, 2}},
		{"a carried group and two more", completion.ScoringState{Groups: carried, Desired: 3}, []int{4, 8, 9, 20, 21, 0, 1, 2}},
		{"a carried group after all desired ones", completion.ScoringState{Groups: carried, Complete: 4, Desired: 3}, []int{8, 9, 4, 20, 21, 0, 1, 2}},
		{"nothing waits", completion.ScoringState{Groups: step[3:4], Desired: 1}, []int{}},
	} {
		if got := completion.ScoringOrder(test.state); !slices.Equal(got, test.want) {
			t.Errorf("%s: ScoringOrder() = %v, want %v", test.name, got, test.want)
		}
	}
}

// scoredStep is a step whose texts are generated at given times and then scored.
type scoredStep struct {
	generated [][]float64 // by group and item, in seconds
	carried   []bool      // by group
	desired   int         // groups that the trainer waits for
	calls     []float64   // how long the scorer takes for a call, by index of the item
	slots     int         // calls that the scorer takes at once
}

// inItemOrder is the order in which scorers are called where capacity is not contended.
func inItemOrder(s completion.ScoringState) []int {
	var out []int
	for _, g := range s.Groups {
		out = append(out, g.Ready...)
	}
	return slices.Sorted(slices.Values(out))
}

// groupsComplete calls the scorer in the given order. It returns when the groups that the
// trainer waits for are complete: the carried ones, and with others as many as it desires.
func (s scoredStep) groupsComplete(order func(completion.ScoringState) []int) float64 {
	type call struct {
		group, item int
		ends        float64
	}
	const waits, called, scored = 0, 1, 2
	phase := make([]int, len(s.calls))
	var running []call
	for now := 0.0; ; {
		state, next := completion.ScoringState{Desired: s.desired}, math.Inf(1)
		i, carriedLeft := 0, false
		groupOf := map[int]int{}
		for n, times := range s.generated {
			g := completion.UnscoredGroup{Carried: s.carried[n]}
			for _, at := range times {
				if phase[i] != scored {
					g.Missing++
				}
				switch {
				case phase[i] != waits:
				case at <= now:
					g.Ready = append(g.Ready, i)
					groupOf[i] = n
				default:
					next = min(next, at)
				}
				i++
			}
			if g.Missing == 0 {
				state.Complete++
				continue
			}
			carriedLeft = carriedLeft || g.Carried
			state.Groups = append(state.Groups, g)
		}
		if state.Complete >= s.desired && !carriedLeft {
			return now
		}
		for _, i := range order(state) {
			if len(running) == s.slots {
				break
			}
			phase[i] = called
			running = append(running, call{groupOf[i], i, now + s.calls[i]})
		}
		for _, c := range running {
			next = min(next, c.ends)
		}
		now = next
		running = slices.DeleteFunc(running, func(c call) bool {
			if c.ends <= now {
				phase[c.item] = scored
			}
			return c.ends <= now
		})
	}
}

// Guards against an order in which the groups that the trainer waits for are complete later
// than in the order of items, where all texts wait and calls take equally long: there the
// groups with the fewest items missing are the least that the scorer must do.
func TestScoringOrderIsNeverLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scoredStep{slots: rapid.IntRange(1, 6).Draw(t, "slots")}
		for range rapid.IntRange(1, 8).Draw(t, "groups") {
			s.generated = append(s.generated, make([]float64, rapid.IntRange(1, 8).Draw(t, "items")))
			s.carried = append(s.carried, rapid.IntRange(0, 3).Draw(t, "carried") == 0)
			for range s.generated[len(s.generated)-1] {
				s.calls = append(s.calls, 1)
			}
		}
		s.desired = rapid.IntRange(1, len(s.generated)).Draw(t, "desired")
		if got, before := s.groupsComplete(completion.ScoringOrder), s.groupsComplete(inItemOrder); got > before {
			t.Fatalf("%+v: groups complete after %v calls in a row, %v in the order of items", s, got, before)
		}
	})
}

// drawScoredStep draws a step of 16 groups of 8 items, nine in ten of which the trainer
// waits for, whose texts are generated the longest first in a number of slots. If that is
// 0, all texts wait for the scorer. A call of the scorer takes 200 ms, and five times as
// long in slowShare of the cases.
func drawScoredStep(seed uint64, engineSlots, scorerSlots int, slowShare float64) scoredStep {
	const groups, items = 16, 8
	rng := rand.New(rand.NewPCG(seed, 1))
	s := scoredStep{desired: 14, slots: scorerSlots, carried: make([]bool, groups)}
	for i := range 2 {
		s.carried[i] = seed%2 == 0 // carried groups come first in a submission
	}
	lengths := make([]float64, groups*items)
	for i := range lengths {
		lengths[i] = min(0.4*math.Exp(0.84*rng.NormFloat64()), 3.5)
		s.calls = append(s.calls, 0.2)
		if rng.Float64() < slowShare {
			s.calls[i] = 1
		}
	}
	order, free, ends := make([]int, len(lengths)), make([]float64, engineSlots), make([]float64, len(lengths))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(lengths[b], lengths[a]) })
	for _, i := range order {
		if engineSlots > 0 {
			slices.Sort(free)
			free[0] += lengths[i]
			ends[i] = free[0]
		}
	}
	for of := range slices.Chunk(ends, items) {
		if engineSlots == 0 {
			of = of[:rng.IntN(items)+1] // the others are scored
		}
		s.generated = append(s.generated, of)
	}
	return s
}

// Guards against steps that end later in the mean because of the order in which texts are
// scored, with a scorer that takes fewer calls than texts wait. Where all texts wait and
// calls take equally long, none may end later.
func TestScoringOrderInSteps(t *testing.T) {
	const seeds = 60
	for _, load := range []struct {
		engineSlots, scorerSlots int
		slowShare                float64
	}{{0, 8, 0}, {0, 8, 0.01}, {64, 8, 0.01}, {32, 8, 0.01}, {32, 16, 0.01}} {
		var before, now, worst float64
		later := 0
		for seed := range uint64(seeds) {
			s := drawScoredStep(seed, load.engineSlots, load.scorerSlots, load.slowShare)
			b, n := s.groupsComplete(inItemOrder), s.groupsComplete(completion.ScoringOrder)
			before, now, worst = before+b/seeds, now+n/seeds, max(worst, n-b)
			if n > b+1e-9 {
				later++
			}
		}
		t.Logf("%+v: complete after %.3f s, %.3f s in the order of items; later in %d of %d steps, by at most %.3f s", load, now, before, later, seeds, worst)
		if now >= before || later > 0 && load.engineSlots == 0 && load.slowShare == 0 {
			t.Errorf("%+v: complete after %.3f s, %.3f s in the order of items, later in %d steps", load, now, before, later)
		}
	}
}

// BenchmarkScoringOrder measures ordering the texts of a step of 144 items. An owner orders
// them up to 70 times a second while texts wait for the scorer.
func BenchmarkScoringOrder(b *testing.B) {
	s := completion.ScoringState{Desired: 16}
	for i := range 144 {
		if i%8 == 0 {
			s.Groups = append(s.Groups, completion.UnscoredGroup{Missing: 8 - i%7})
		}
		g := &s.Groups[len(s.Groups)-1]
		g.Ready = append(g.Ready, i)
	}
	b.ReportAllocs()
	for b.Loop() {
		if order := completion.ScoringOrder(s); len(order) != 144 {
			b.Fatalf("ScoringOrder lists %d items, want 144", len(order))
		}
	}
}
