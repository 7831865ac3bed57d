package submission

import (
	"context"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
)

// CarryoverKey returns the key of the submissions whose texts h may resume.
func (h Head) CarryoverKey() carryover.Key {
	k := carryover.Key{Model: h.Model, Customer: h.Customer}
	if h.Model == "" {
		k.Host, k.Path = h.Host, h.Path
	}
	return k
}

// Previous is what an earlier submission left, and where it was read.
type Previous struct {
	carryover.Record
	Source string // "memory" or "store"
}

// CarriedUse is what a run uses of the texts that an earlier submission left.
type CarriedUse struct {
	Previous string // ID of the earlier submission
	Source   string // as in Previous
	Items    int    // items of this submission that the earlier one had
	Texts    int    // texts that are resumed or only scored
	Complete int    // those of Texts that are complete
	Events   int    // events of Texts, as far as their number is known
	Stale    int    // texts whose versions the submission does not allow
	Changed  int    // texts of items whose request is not the same
}

// resumeCarried adds the texts that an earlier submission left to the run. A text that
// a previous owner of this submission has stored is newer and takes precedence.
func (r *Runner) resumeCarried(ctx context.Context) {
	if r.cfg.Previous == nil {
		return
	}
	prev := r.cfg.Previous(ctx)
	if prev.Key != r.head.CarryoverKey() {
		return
	}
	rt, ok, known := r.cfg.Route(r.spec.Host, r.spec.Path)
	single := !ok || !known || rt.SingleVersion
	texts, stale := r.spec.Resumable(prev.Texts, single, r.cfg.TargetVersion(r.spec.Model))
	use := CarriedUse{Previous: prev.Submission, Source: prev.Source, Texts: len(texts), Stale: stale}
	for _, t := range texts {
		use.Events += t.After
		if t.Complete {
			use.Complete++
		}
	}
	r.run = r.newRun(append(texts, r.prior.Partials...))
	r.prior = PriorWork{} // frees its texts
	r.run.MarkCarried(prev.Items)
	hasText := make(map[string]bool, len(prev.Texts))
	for _, t := range prev.Texts {
		hasText[t.Item] = true
	}
	use.Changed = -len(texts) - stale
	for i, it := range r.spec.Items {
		if r.run.Carried(i) {
			use.Items++
		}
		if hasText[it.ID] {
			use.Changed++
		}
	}
	r.cfg.OnCarried(use)
}

// Resumable returns those of texts that s may resume, and the number of texts of its
// items that it may not resume because of their versions. target is the target version
// of the model, 0 if it has none.
func (s Spec) Resumable(texts []carryover.Text, singleVersion bool, target uint64) (resumable []PartialText, stale int) {
	byItem := make(map[string]carryover.Text, len(texts))
	for _, t := range texts {
		byItem[t.Item] = t
	}
	var own []carryover.Text
	for i, it := range s.Items {
		if t, ok := byItem[it.ID]; ok && t.Request == s.requestID(i) {
			own = append(own, t)
		}
	}
	for _, t := range (carryover.Requirements{MinVersion: s.MinVersion, SingleVersion: singleVersion, Target: target}).Allowed(own) {
		resumable = append(resumable, PartialText{Item: t.Item, Text: t.Text, After: t.After, Versions: t.Versions, Complete: t.Complete})
	}
	return resumable, len(own) - len(resumable)
}

// requestID identifies the request of item i: equal requests have equal IDs.
func (s Spec) requestID(i int) string {
	it := s.Items[i]
	g := GenerateRequest{Host: s.Host, Path: it.Path, Body: it.Body}
	return g.content(s.Model).Fingerprint().String()
}

// readDelay is how long a result may be stored before the sender has read it. Instances
// that do not run the submission poll the store every 90 ms, and a slow store responds
// in 0.25 s.
const readDelay = 500 * time.Millisecond

// Unfinished returns what a later submission with the same items may resume: the texts
// of the groups that the sender may not know to be complete, without those that have a
// version below minVersion. It must not be called before Run has returned.
func (r *Runner) Unfinished(minVersion uint64) carryover.Record {
	readBy := r.endedAt.Add(-readDelay)
	read, _ := slices.BinarySearchFunc(r.writtenAt, readBy, time.Time.Compare)
	return carryover.Record{Key: r.head.CarryoverKey(), Submission: r.spec.ID, Items: r.Items(), Texts: r.run.Unfinished(r.results, read, minVersion)}
}

// Items returns the IDs of the submission's items.
func (r *Runner) Items() []string {
	out := make([]string, len(r.spec.Items))
	for i, it := range r.spec.Items {
		out[i] = it.ID
	}
	return out
}

// Unfinished returns the texts of the groups that are not complete, where written holds
// the results that are stored, and the sender has read at least the first read of them.
// Later ones do not count: the sender submits their groups again. An item without a
// group is a group of its own. Texts with a version below minVersion are left out.
func (r *Run) Unfinished(written []Result, read int, minVersion uint64) []carryover.Text {
	results := make(map[string]Result, len(written)+len(r.results))
	for _, res := range r.results {
		results[res.Item] = res
	}
	complete := make(map[string]bool, read) // items whose result is read and done
	for i, res := range written {
		results[res.Item], complete[res.Item] = res, i < read && res.State == Done
	}
	type group struct{ name, item string }
	groupOf := func(it Item) group {
		if it.Group == "" {
			return group{item: it.ID}
		}
		return group{name: it.Group}
	}
	incomplete := map[group]bool{}
	for _, it := range r.spec.Items {
		if !complete[it.ID] {
			incomplete[groupOf(it)] = true
		}
	}
	var out []carryover.Text
	for i, it := range r.spec.Items {
		if !incomplete[groupOf(it)] {
			continue
		}
		p, ok := r.partial(i, results)
		if ok && (len(p.Versions) == 0 || p.Versions[0] >= minVersion) {
			out = append(out, carryover.Text{Item: it.ID, Request: r.spec.requestID(i), Text: p.Text, After: p.After, Versions: p.Versions, Complete: p.Complete})
		}
	}
	return out
}

// MarkCarried records the IDs of the items of the previous submission of the same model
// and customer.
func (r *Run) MarkCarried(ids []string) {
	previous := make(map[string]bool, len(ids))
	for _, id := range ids {
		previous[id] = true
	}
	for i, it := range r.spec.Items {
		r.items[i].carried = previous[it.ID]
	}
}

// Carried reports whether item i was among the items of the previous submission of the
// same model and customer, whether or not text of it was kept.
func (r *Run) Carried(i int) bool { return r.items[i].carried }
