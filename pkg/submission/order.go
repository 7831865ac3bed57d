package submission

import (
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// outlookReportInterval is the minimum time between two reports that a step has become
// short of engines or is no longer short. Near the limit the estimates may change sides
// with every text.
const outlookReportInterval = time.Second

// groupItems returns the items of each group, by group in the order of their first
// items. An item without a group is one of its own.
func groupItems(items []Item) [][]int {
	var out [][]int
	index := map[string]int{}
	for i, it := range items {
		g, ok := index[it.Group]
		if !ok || it.Group == "" {
			g = len(out)
			index[it.Group] = g
			out = append(out, nil)
		}
		out[g] = append(out[g], i)
	}
	return out
}

// StepState returns what is left of the step at now, given when it is due and how many
// requests its engines run at once. It reports false while the time that texts take is
// not known.
func (r *Run) StepState(now, due time.Time, slots int) (completion.State, bool) {
	rates, known := r.estimator.Rates()
	if !known {
		return completion.State{}, false
	}
	s := completion.State{Desired: r.spec.Desired, Slots: float64(slots), Left: due.Sub(now)}
	for _, items := range r.groups {
		var g completion.Group
		for _, i := range items {
			it := &r.items[i]
			if it.phase != waiting && it.phase != running {
				continue // its engine work is done
			}
			hint := float64(r.spec.Items[i].Length)
			if hint == 0 {
				hint = max(r.meanHint, 1)
			}
			g.Items = append(g.Items, completion.Item{Index: i, Left: rates.Left(hint, it.lastEvent), Running: it.phase == running})
			g.Carried = g.Carried || it.carried
		}
		if len(g.Items) == 0 {
			s.Complete++
			continue
		}
		s.Groups = append(s.Groups, g)
	}
	return s, true
}

// Ready reports whether item i, which is waiting or unscored, may be sent to an engine or
// its scorer at now.
func (r *Run) Ready(i int, now time.Time) bool { return !now.Before(r.items[i].notBefore) }

// waiting returns the items to be sent to an engine at now, those to be sent first in
// front.
func (r *Runner) waiting(rt routetable.Route, now time.Time) []int {
	if rt.Due <= 0 || !r.contended(rt) {
		return r.run.Waiting(now)
	}
	slots := 0
	for _, s := range rt.Shares {
		slots += r.cfg.Registry.Slots(upstream.Requirements{Pool: s.Pool, Now: now, Model: r.spec.Model, MinVersion: r.spec.MinVersion})
	}
	state, known := r.run.StepState(now, r.head.AcceptedAt.Add(rt.Due), slots)
	if !known {
		return r.run.Waiting(now)
	}
	order, outlook := completion.Order(state)
	r.reportOutlook(outlook, slots, now)
	return slices.DeleteFunc(order, func(i int) bool { return !r.run.Ready(i, now) })
}

// contended reports whether the capacity of a pool of the route is contended.
func (r *Runner) contended(rt routetable.Route) bool {
	return slices.ContainsFunc(rt.Shares, func(s routetable.Share) bool { return r.cfg.Registry.Contended(s.Pool) })
}

// ScoringState returns what is left of the step for its scorers at now.
func (r *Run) ScoringState(now time.Time) completion.ScoringState {
	s := completion.ScoringState{Desired: r.spec.Desired}
	for _, items := range r.groups {
		var g completion.UnscoredGroup
		for _, i := range items {
			switch it := &r.items[i]; {
			case it.phase == finished || it.phase == stored:
				continue
			case it.phase == unscored && r.Ready(i, now):
				g.Ready = append(g.Ready, i)
			}
			g.Missing++
			g.Carried = g.Carried || r.items[i].carried
		}
		if g.Missing == 0 {
			s.Complete++
			continue
		}
		s.Groups = append(s.Groups, g)
	}
	return s
}

// unscored returns the items whose scorer is to be called at now, those to be scored first
// in front.
func (r *Runner) unscored(rt routetable.Route, now time.Time) []int {
	items := r.run.Unscored(now)
	if len(items) < 2 || !r.contended(rt) {
		return items
	}
	return completion.ScoringOrder(r.run.ScoringState(now))
}

// reportOutlook reports that the step has become short of engines or is no longer short.
func (r *Runner) reportOutlook(o completion.Outlook, slots int, now time.Time) {
	if o.Short == r.short || now.Before(r.nextOutlookAt) {
		return
	}
	what := "step no longer short of engines"
	if o.Short {
		what = "step short of engines"
	}
	r.cfg.OnOutlook(OutlookEvent{What: what, Submission: r.spec.ID, Model: r.spec.Model, Outlook: o, Desired: r.spec.Desired, Slots: slots, First: o.Short && !r.everShort})
	r.short, r.everShort, r.nextOutlookAt = o.Short, r.everShort || o.Short, now.Add(outlookReportInterval)
}

// OutlookEvent is a change of whether a step is short of engines, for log and metrics.
type OutlookEvent struct {
	What       string
	Submission string
	Model      string
	Outlook    completion.Outlook
	Desired    int
	Slots      int  // requests that the model's engines run at once
	First      bool // the step has become short for the first time at this owner
}
