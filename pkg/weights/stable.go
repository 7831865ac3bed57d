package weights

import (
	"container/heap"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/route"
)

// AssignStable assigns each model as many engines as AssignEngines does, but chooses
// them so that few engines change their model when others join or leave. All pairs of
// engine and model are ranked by a hash of both, and taken in that order if the engine
// is free and the model has not got its number yet (rendezvous hashing with quotas). The
// result depends on the arguments only, and not on the order of engines.
//
// The engines of a model are sorted. The returned slices may share memory with engines.
func AssignStable(engines []string, demands []Demand) map[string][]string {
	return new(StableAssigner).Assign(engines, demands)
}

// StableAssigner assigns engines as AssignStable does and keeps the last result, which
// depends on the work of the models by the numbers of their engines only. Its zero value
// is ready to use. It is not safe for concurrent use.
type StableAssigner struct {
	ids    []string
	models []string
	counts []int
	last   map[string][]string
}

// Assign returns what AssignStable returns. The caller must modify neither engines nor
// the result afterwards.
func (a *StableAssigner) Assign(engines []string, demands []Demand) map[string][]string {
	ids := sorted(engines)
	counts, ok := engineCounts(len(ids), demands)
	if !ok {
		return assignAll(ids, demands)
	}
	sameModel := func(model string, d Demand) bool { return model == d.Model }
	if slices.Equal(a.ids, ids) && slices.Equal(a.counts, counts) && slices.EqualFunc(a.models, demands, sameModel) {
		return a.last
	}
	models := make([]string, len(demands))
	for i, d := range demands {
		models[i] = d.Model
	}
	*a = StableAssigner{ids: ids, models: models, counts: counts, last: assignByRank(ids, models, counts)}
	return a.last
}

// assignByRank assigns to each model as many engines as counts says.
func assignByRank(ids, models []string, counts []int) map[string][]string {
	parts := make([][]string, len(models))
	for m, n := range counts {
		parts[m] = make([]string, 0, n)
	}
	for i, m := range match(ids, models, counts) {
		if m >= 0 {
			parts[m] = append(parts[m], ids[i])
		}
	}
	out := make(map[string][]string, len(models))
	for m, model := range models {
		out[model] = parts[m]
	}
	return out
}

// match returns the index of the model that each engine is assigned to, or -1 for none.
//
// Sorting all pairs would take most of the time with thousands of engines. Instead, each
// engine proposes to the model with which it ranks highest of those that accept it; a
// model that has its number then drops the proposal that ranks lowest, whose engine
// proposes again (Gale and Shapley). Since engines and models rank pairs alike, there is
// one stable matching, the one that results from taking the pairs by rank.
func match(ids, models []string, counts []int) []int {
	kept := make([]proposals, len(models))
	for m := range kept {
		kept[m] = make(proposals, 0, counts[m])
	}
	for i := range ids {
		for engine := i; engine >= 0; {
			h, best := route.HashItem(ids[engine]), -1
			var p proposal
			for m, model := range models {
				q := proposal{h.Score(model), engine}
				if (best < 0 || q.score > p.score) && kept[m].accepts(q) {
					best, p = m, q
				}
			}
			if best < 0 {
				break
			}
			engine = kept[best].add(p)
		}
	}
	out := make([]int, len(ids))
	for i := range out {
		out[i] = -1
	}
	for m, ps := range kept {
		for _, p := range ps {
			out[p.engine] = m
		}
	}
	return out
}

// proposal is a proposal of an engine to a model.
type proposal struct {
	score  uint64
	engine int // index of the engine
}

// proposals holds the proposals that a model keeps. Its capacity is the number of engines
// that the model gets. Once it is full, it is a heap with the lowest rank first.
type proposals []proposal

func (ps proposals) accepts(p proposal) bool {
	return len(ps) < cap(ps) || len(ps) > 0 && p.ranksBefore(ps[0])
}

// add adds p, which must be accepted. It returns the engine whose proposal is dropped for
// it, or -1 for none.
func (ps *proposals) add(p proposal) int {
	if len(*ps) == cap(*ps) {
		dropped := (*ps)[0]
		(*ps)[0] = p
		heap.Fix(ps, 0)
		return dropped.engine
	}
	*ps = append(*ps, p)
	if len(*ps) == cap(*ps) {
		heap.Init(ps)
	}
	return -1
}

func (p proposal) ranksBefore(q proposal) bool {
	return p.score > q.score || p.score == q.score && p.engine < q.engine
}

func (ps proposals) Len() int           { return len(ps) }
func (ps proposals) Less(i, j int) bool { return ps[j].ranksBefore(ps[i]) }
func (ps proposals) Swap(i, j int)      { ps[i], ps[j] = ps[j], ps[i] }
func (ps *proposals) Push(x any)        { *ps = append(*ps, x.(proposal)) }
func (ps *proposals) Pop() any {
	last := len(*ps) - 1
	p := (*ps)[last]
	*ps = (*ps)[:last]
	return p
}
