package node

import (
	"maps"
	"math"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// workWeight is the weight of a new submission in the mean of a model's work.
const workWeight = 0.3

func (s *state) learnWork(h submission.Head) {
	mean, ok := s.work[h.Model]
	if !ok {
		mean = float64(h.EstimatedLength)
	}
	s.work[h.Model] = mean + workWeight*(float64(h.EstimatedLength)-mean)
}

// openItems returns how many texts the open submissions hold, by pool.
func (s *state) openItems() map[string]int {
	out := map[string]int{}
	if s.table == nil {
		return out
	}
	for _, o := range s.heads {
		if rt, ok := s.table.Match(o.Host, o.Path); ok && o.Open() {
			out[rt.Shares[0].Pool] += o.Total
		}
	}
	return out
}

// demands returns what is asked of each model of which a version is named or a
// submission was seen, in order of name.
func (s *state) demands() []weights.Demand {
	busy := map[string]bool{}
	for _, o := range s.heads {
		if o.Open() {
			busy[o.Model] = true
		}
	}
	models := map[string]bool{}
	for m := range s.named {
		models[m] = true
	}
	for m := range s.work {
		models[m] = true
	}
	s.deal()
	items := s.itemsAtOnce()
	var out []weights.Demand
	for _, m := range slices.Sorted(maps.Keys(models)) {
		out = append(out, weights.Demand{Model: m, TargetVersion: s.named[m], MaxLag: s.lag[m], Work: s.dealt[m], Busy: busy[m], MaxItems: items[m]})
	}
	return out
}

// stepsAtOnce is how many steps of a trainer are open at once where it asks for one
// before the one before is whole.
const stepsAtOnce = 2

// itemsAtOnce returns how many texts of each model may be under way at once: those of
// stepsAtOnce of its largest submissions that are known, or of all that are open if
// that is more. All instances know the same ones, also those that have just started.
func (s *state) itemsAtOnce() map[string]int {
	out, open := map[string]int{}, map[string]int{}
	for _, o := range s.heads {
		out[o.Model] = max(out[o.Model], stepsAtOnce*o.Total)
		if o.Open() {
			open[o.Model] += o.Total
		}
	}
	for m, n := range open {
		out[m] = max(out[m], n)
	}
	return out
}

// dealStep is by how many engines a model's share must be off before engines are
// dealt anew: the work of submissions varies, and each engine that moves loads
// weights and takes new connections.
const dealStep = 1.5

// deal takes up the work of recent submissions if it has changed enough.
func (s *state) deal() {
	now, before := total(s.work), total(s.dealt)
	for m, w := range s.work {
		if before == 0 || math.Abs(w/now-s.dealt[m]/before)*float64(len(s.entries)) > dealStep {
			s.dealt = maps.Clone(s.work)
			return
		}
	}
}

func total(work map[string]float64) float64 {
	sum := 0.0
	for _, w := range work {
		sum += w
	}
	return sum
}
