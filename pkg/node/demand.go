package node

import (
	"maps"
	"math"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// workSmoothing is the weight of a new submission in the exponential moving average of
// a model's work.
const workSmoothing = 0.3

func (s *state) updateWork(h submission.Head) {
	mean, ok := s.work[h.Model]
	if !ok {
		mean = float64(h.EstimatedLength)
	}
	s.work[h.Model] = mean + workSmoothing*(float64(h.EstimatedLength)-mean)
}

// openSubmissions returns the open submissions, by pool, in no particular order.
func (s *state) openSubmissions() map[string][]scaling.Submission {
	out := map[string][]scaling.Submission{}
	if s.table == nil {
		return out
	}
	for _, head := range s.heads {
		rt, ok := s.table.Match(head.Host, head.Path)
		if !ok || !head.Open() {
			continue
		}
		open := scaling.Submission{Items: head.Total}
		if rt.Due > 0 {
			open.Due = head.AcceptedAt.Add(rt.Due)
		}
		out[rt.Shares[0].Pool] = append(out[rt.Shares[0].Pool], open)
	}
	return out
}

// demands returns the demand for each model that has a target version or has had a
// submission, sorted by name.
func (s *state) demands() []weights.Demand {
	busy := map[string]bool{}
	for _, head := range s.heads {
		if head.Open() {
			busy[head.Model] = true
		}
	}
	models := map[string]bool{}
	for m := range s.targetVersions {
		models[m] = true
	}
	for m := range s.work {
		models[m] = true
	}
	s.updateAssignedWork()
	items, priorities := s.concurrentItems(), s.priorities()
	var out []weights.Demand
	for _, m := range slices.Sorted(maps.Keys(models)) {
		out = append(out, weights.Demand{Model: m, TargetVersion: s.targetVersions[m], MaxLag: s.lag[m], Work: s.assignedWork[m], Busy: busy[m], MaxItems: items[m], Priority: priorities[m]})
	}
	return out
}

// priorities returns the priority of the most urgent route that accepts submissions, by
// model, as the known submissions show. All instances that have read them and the same
// configuration compute the same.
func (s *state) priorities() map[string]option.Of[int] {
	out := map[string]option.Of[int]{}
	if s.table == nil {
		return out
	}
	for _, head := range s.heads {
		rt, ok := s.table.Match(head.Host, head.Path)
		if ok && rt.Kind == routetable.Submissions {
			out[head.Model] = option.Some(min(rt.Priority, out[head.Model].Or(rt.Priority)))
		}
	}
	return out
}

// concurrentSteps is the number of steps that a trainer has open at once if it requests
// a step before the previous one is complete.
const concurrentSteps = 2

// concurrentItems returns the number of items that may be in flight at once, by model:
// those of concurrentSteps times its largest known submission, or of all its open
// submissions if that is more. All instances compute the same numbers, including those
// that have just started.
func (s *state) concurrentItems() map[string]int {
	out, open := map[string]int{}, map[string]int{}
	for _, head := range s.heads {
		out[head.Model] = max(out[head.Model], concurrentSteps*head.Total)
		if head.Open() {
			open[head.Model] += head.Total
		}
	}
	for m, n := range open {
		out[m] = max(out[m], n)
	}
	return out
}

// minAssignmentChange is the change of a model's share, in engines, from which engines
// are reassigned. It is not lower because the work of submissions varies, and each
// engine that moves loads weights and gets new connections.
const minAssignmentChange = 1.5

// updateAssignedWork sets the work by which engines are assigned to that of recent
// submissions if it has changed enough.
func (s *state) updateAssignedWork() {
	now, before := total(s.work), total(s.assignedWork)
	for m, w := range s.work {
		if before == 0 || math.Abs(w/now-s.assignedWork[m]/before)*float64(len(s.entries)) > minAssignmentChange {
			s.assignedWork = maps.Clone(s.work)
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
