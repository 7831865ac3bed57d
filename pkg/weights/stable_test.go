package weights_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/route"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// Instances that disagree on an assignment load engines for different models. Whatever
// the order of the engines, and whatever an instance has assigned before, the result must
// be that of taking all pairs by rank, with the numbers of AssignEngines.
func TestAssignStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a weights.StableAssigner
		var ids []string
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			if rapid.Bool().Draw(t, "other engines") {
				ids = rapid.SliceOfNDistinct(rapid.StringMatching(`i-[0-9a-f]{1,3}`), 0, 60, rapid.ID).Draw(t, "engines")
			}
			ds := demands(rapid.IntRange(0, 5).Draw(t, "models"))
			for i := range ds {
				ds[i].Work = rapid.Float64Range(0, 10).Draw(t, "work")
				ds[i].MaxEngines = rapid.IntRange(0, 6).Draw(t, "most")
			}
			want := weights.AssignEngines(ids, ds)
			if total := engineCount(want); total <= len(ids) { // else there are too few engines to divide
				want = byRank(ids, want)
			}
			for range 2 {
				if got := a.Assign(ids, ds); !maps.EqualFunc(got, want, slices.Equal) {
					t.Fatalf("got %v for engines %v and demands %+v, want %v", got, ids, ds, want)
				}
				ids = rapid.Permutation(ids).Draw(t, "order")
			}
			if got := weights.AssignStable(ids, ds); !maps.EqualFunc(got, want, slices.Equal) {
				t.Fatalf("got %v without earlier results, want %v", got, want)
			}
		}
	})
}

func engineCount(parts map[string][]string) int {
	n := 0
	for _, ids := range parts {
		n += len(ids)
	}
	return n
}

// byRank takes the pairs of engine and model by rank. Each model gets as many engines as
// in parts.
func byRank(ids []string, parts map[string][]string) map[string][]string {
	type pair struct{ id, model string }
	var pairs []pair
	for _, id := range ids {
		for m := range parts {
			pairs = append(pairs, pair{id, m})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Compare(route.HashItem(b.id).Score(b.model), route.HashItem(a.id).Score(a.model))
	})
	out, taken := map[string][]string{}, map[string]bool{}
	for m, p := range parts {
		out[m] = make([]string, 0, len(p))
	}
	for _, p := range pairs {
		if !taken[p.id] && len(out[p.model]) < len(parts[p.model]) {
			taken[p.id], out[p.model] = true, append(out[p.model], p.id)
		}
	}
	for _, p := range out {
		slices.Sort(p)
	}
	return out
}

// When a data centre took its engines back, most of the others changed their model and
// loaded weights, just when engines were short. Assignment by rank must move few, and a
// change must not cascade through the models.
func TestAssignStableMovesFewEngines(t *testing.T) {
	const draws = 200
	for _, c := range []struct {
		name         string
		lost, joined int
		inOrder      bool    // the engines lost have consecutive IDs
		work         float64 // of the first model afterwards
		most         float64 // mean number of engines that may move
		share        float64 // part of the moves of contiguous ranges that may remain
	}{
		{name: "1 lost", lost: 1, work: 1, most: 1.5, share: 1.5},
		{name: "5 lost", lost: 5, work: 1, most: 2.5, share: 1.2},
		{name: "15 lost", lost: 15, work: 1, most: 3.3, share: 1},
		{name: "15 lost, consecutive IDs", lost: 15, inOrder: true, work: 1, most: 3.3, share: 0.5},
		{name: "5 joined", joined: 5, work: 1, most: 2.5, share: 1.2},
		{name: "work of one model doubled", work: 2, most: 9, share: 1},
	} {
		var contiguous, stable, least float64
		for draw := range draws {
			rng := rand.New(rand.NewPCG(uint64(draw), 0))
			ids := make([]string, 44+c.joined)
			for i := range ids {
				ids[i] = fmt.Sprintf("i-%010x", rng.Uint64()>>24)
			}
			before := ids[:44]
			if c.inOrder {
				slices.Sort(before)
				from := rng.IntN(len(before) - c.lost + 1)
				before = slices.Concat(before[from:], before[:from])
			}
			after := ids[c.lost:]
			if c.inOrder {
				after = before[c.lost:]
			}
			ds := demands(4)
			contiguousBefore, stableBefore := weights.AssignEngines(before, ds), weights.AssignStable(before, ds)
			ds[0].Work = c.work
			stableAfter := weights.AssignStable(after, ds)
			contiguous += float64(moves(contiguousBefore, weights.AssignEngines(after, ds)))
			stable += float64(moves(stableBefore, stableAfter))
			for m, p := range stableBefore {
				kept := len(p)
				for _, id := range p {
					if !slices.Contains(after, id) {
						kept--
					}
				}
				least += float64(max(kept-len(stableAfter[m]), 0))
			}
		}
		t.Logf("%s: means of contiguous ranges %.2f, by rank %.2f, least possible %.2f", c.name, contiguous/draws, stable/draws, least/draws)
		if stable/draws > c.most || stable > c.share*contiguous {
			t.Errorf("%s: moved %.2f engines, want at most %.2f and %.2f times the %.2f of contiguous ranges", c.name, stable/draws, c.most, c.share, contiguous/draws)
		}
	}
}

// moves returns how many engines that are in before and in after have another model in
// after.
func moves(before, after map[string][]string) int {
	model := map[string]string{}
	for m, ids := range before {
		for _, id := range ids {
			model[id] = m
		}
	}
	n := 0
	for m, ids := range after {
		for _, id := range ids {
			if was, ok := model[id]; ok && was != m {
				n++
			}
		}
	}
	return n
}

// BenchmarkAssignStable measures an assignment of 4,800 engines to four models: by work,
// by need, and of engines and numbers that have not changed.
func BenchmarkAssignStable(b *testing.B) {
	ids := make([]string, 4800)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-%010x", i*1_000_003)
	}
	byWork, byNeed := demands(4), demands(4)
	for i := range byNeed {
		byNeed[i].MaxEngines = 43
	}
	for name, ds := range map[string][]weights.Demand{"work": byWork, "need": byNeed} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				weights.AssignStable(ids, ds)
			}
		})
	}
	b.Run("unchanged", func(b *testing.B) {
		var a weights.StableAssigner
		for b.Loop() {
			a.Assign(ids, byWork)
		}
	})
	b.Run("contiguous", func(b *testing.B) {
		for b.Loop() {
			weights.AssignEngines(ids, byWork)
		}
	})
}

// demands returns the demands of n models with equal work.
func demands(n int) []weights.Demand {
	out := make([]weights.Demand, n)
	for i := range out {
		out[i] = weights.Demand{Model: fmt.Sprintf("m%d", i), Work: 1}
	}
	return out
}
