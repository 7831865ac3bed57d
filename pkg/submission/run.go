package submission

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"
)

// phase is where an item of a Run stands.
type phase int

const (
	waiting  phase = iota // for an engine
	running               // at an engine
	unscored              // its text is whole, and waits for a call of its scorer
	scoring               // a call of its scorer is under way
	finished              // its result is to be written
	listed                // its result has a position
)

const (
	// attemptPause is the pause before an item or its scorer's call is tried
	// again after a failure that may pass at once.
	attemptPause = 50 * time.Millisecond
	// giveUpMargin is added to the time after which an item may be given up:
	// instances' clocks may differ by seconds.
	giveUpMargin = 10 * time.Second
)

// ItemPolicy are what a submission's route asks of its items.
type ItemPolicy struct {
	MaxAttempts   int           // answers of 500 after which an item is given up
	MaxAge        time.Duration // 0 for never
	SingleVersion bool
}

// Run is the progress of a submission at the instance that owns it. It decides
// what runs next and what an attempt's end means; it is not safe for concurrent
// use.
type Run struct {
	spec    Spec
	items   []item
	results []Result // finished, in the order in which they are to be written
	listed  int
}

type item struct {
	phase     phase
	notBefore time.Time
	errors    int // answers of 500 to the generation
	declined  int // answers of 500 to the scorer's call
	text      []string
	after     int // last event of the text
	versions  []uint64
	course    ItemTiming
}

// NewRun returns the run of s, of which the results given are written already
// and the texts given are begun.
func NewRun(s Spec, written []Result, begun []PartialText) *Run {
	r := &Run{spec: s, items: make([]item, len(s.Items)), listed: len(written)}
	done := make(map[string]bool, len(written))
	for _, w := range written {
		done[w.Item] = true
	}
	texts := make(map[string]PartialText, len(begun))
	for _, p := range begun {
		texts[p.Item] = p
	}
	for i, it := range s.Items {
		if done[it.ID] {
			r.items[i].phase = listed
			continue
		}
		p := texts[it.ID]
		r.items[i].text, r.items[i].after, r.items[i].versions = p.Text, p.After, p.Versions
	}
	return r
}

// Partials returns the texts that are begun and have no result.
func (r *Run) Partials() []PartialText {
	var out []PartialText
	for i, it := range r.items {
		if it.after > 0 && it.phase != finished && it.phase != listed {
			out = append(out, PartialText{Item: r.spec.Items[i].ID, Text: it.text, After: it.after, Versions: slices.Clone(it.versions)})
		}
	}
	return out
}

// Waiting returns the items that want an engine at now: those first that have
// a part of their text already, then those whose texts are expected to be the
// longest. A step is as long as its longest texts, so that with fewer places at
// engines than items they must not be the last to begin.
func (r *Run) Waiting(now time.Time) []int {
	out := r.in(waiting, now)
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.begun(b), r.begun(a)), cmp.Compare(r.spec.Items[b].Length, r.spec.Items[a].Length))
	})
	return out
}

func (r *Run) begun(i int) int { return min(r.items[i].after, 1) }

// Unscored returns the items whose scorer is to be called at now.
func (r *Run) Unscored(now time.Time) []int { return r.in(unscored, now) }

func (r *Run) in(p phase, now time.Time) []int {
	var out []int
	for i, it := range r.items {
		if it.phase == p && !now.Before(it.notBefore) {
			out = append(out, i)
		}
	}
	return out
}

// Started tells that item i, waiting or unscored, is under way from now on.
func (r *Run) Started(i int, now time.Time) {
	it := &r.items[i]
	if it.phase != waiting {
		it.phase = scoring
		return
	}
	it.phase = running
	it.course.started(now)
}

// Postpone keeps item i, waiting or unscored, from being tried before a time.
func (r *Run) Postpone(i int, until time.Time) { r.items[i].notBefore = until }

// LastEvent returns the last event of item i's text so far, and the weight
// versions that made it.
func (r *Run) LastEvent(i int) (event int, versions []uint64) {
	return r.items[i].after, r.items[i].versions
}

// AttemptOutput is what an attempt at an item's text gave, or a part of it.
type AttemptOutput struct {
	Events   []Event
	Versions []uint64 // that made Events, oldest first
	Complete bool     // the text is complete
	Status   int      // of an answer that was no text; 0 for none
}

// AddEvents tells of events that item i's attempt has given, while it goes on.
func (r *Run) AddEvents(i int, p AttemptOutput, t ItemPolicy) {
	if it := &r.items[i]; it.phase == running {
		it.course.extended(len(p.Events))
		it.extend(p, r.spec.MinVersion, t)
	}
}

// AttemptEnded tells how an attempt at item i ended at now.
func (r *Run) AttemptEnded(i int, p AttemptOutput, t ItemPolicy, now time.Time) {
	it := &r.items[i]
	it.phase = waiting
	it.course.extended(len(p.Events))
	it.course.generated(now)
	switch p.Status {
	case http.StatusUnprocessableEntity:
		r.finish(i, Result{State: Dead}, now)
		return
	case http.StatusInternalServerError:
		it.errors++
		if it.errors >= t.MaxAttempts {
			r.finish(i, Result{State: Dead}, now)
			return
		}
	}
	whole := it.extend(p, r.spec.MinVersion, t) && p.Complete && it.after > 0
	switch {
	case whole && r.spec.Items[i].Scorer != nil:
		it.phase = unscored
	case whole:
		r.finish(i, Result{State: Done}, now)
	case len(p.Events) == 0:
		it.notBefore = now.Add(attemptPause)
	}
}

// extend adds an attempt's events to the text and reports whether the text
// stands. One that may not be delivered as it is, too old or of several
// versions, is begun anew; what its attempt still gives does not follow on then.
func (it *item) extend(p AttemptOutput, minVersion uint64, t ItemPolicy) bool {
	for _, e := range p.Events {
		if e.ID != it.after+1 {
			return false
		}
		it.text = append(it.text, e.Data)
		it.after = e.ID
	}
	for _, v := range p.Versions {
		if !slices.Contains(it.versions, v) {
			it.versions = append(it.versions, v)
		}
	}
	slices.Sort(it.versions)
	tooOld := len(it.versions) > 0 && it.versions[0] < minVersion
	if tooOld || t.SingleVersion && len(it.versions) > 1 {
		it.text, it.versions, it.after = nil, nil, 0
		return false
	}
	return true
}

// ScoreResult is what a call of a scorer gave.
type ScoreResult struct {
	Score       string // the scorer's proof; empty if the call failed
	Status      int    // of its answer; 0 for none
	MaxAttempts int    // answers of 500 after which its item is given up
	// Quarantined means that the call was not sent, as it crashes its service.
	Quarantined bool
}

// ScoringEnded tells how a call of item i's scorer ended.
func (r *Run) ScoringEnded(i int, s ScoreResult, now time.Time) {
	it := &r.items[i]
	it.phase = unscored
	if s.Score != "" {
		r.finish(i, Result{State: Done, Score: s.Score}, now)
		return
	}
	if s.Status == http.StatusInternalServerError {
		it.declined++
		if it.declined >= s.MaxAttempts {
			r.finish(i, Result{State: Dead}, now)
			return
		}
	}
	it.notBefore = now.Add(attemptPause)
	if s.Quarantined {
		it.notBefore = now.Add(quarantinePause)
	}
}

// GiveUp ends the items that are too old, given the age of the submission by
// a clock that may be seconds off, and those whose route is gone.
func (r *Run) GiveUp(age time.Duration, t ItemPolicy, routeGone bool, now time.Time) {
	if !routeGone && (t.MaxAge == 0 || age < t.MaxAge+giveUpMargin) {
		return
	}
	for i, it := range r.items {
		if it.phase == waiting || it.phase == unscored {
			r.finish(i, Result{State: Dead}, now)
		}
	}
}

func (r *Run) finish(i int, res Result, now time.Time) {
	it := &r.items[i]
	it.course.FinishedAt = now
	res.Item = r.spec.Items[i].ID
	if res.State == Done {
		res.Output, res.Versions = strings.Join(it.text, "\n"), it.versions
	}
	it.phase, it.text = finished, nil
	r.results = append(r.results, res)
}

// Unwritten returns the results that have no position yet, in order, and the
// position of the first.
func (r *Run) Unwritten() (position int, results []Result) { return r.listed, r.results }

// Written tells that the first n of the unwritten results have their positions.
func (r *Run) Written(n int) {
	r.results = slices.Delete(r.results, 0, n)
	r.listed += n
}

// Done reports whether every item's result is written.
func (r *Run) Done() bool { return r.listed == len(r.items) }

// Counts returns how many items wait for an engine, run, and have a result.
func (r *Run) Counts() (waits, runs, results int) {
	for _, it := range r.items {
		switch it.phase {
		case waiting:
			waits++
		case running:
			runs++
		case finished, listed:
			results++
		}
	}
	return waits, runs, results
}
