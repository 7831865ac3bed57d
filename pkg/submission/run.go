package submission

import (
	"cmp"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
)

// phase is the state of an item of a Run.
type phase int

const (
	waiting  phase = iota // queued for an engine
	running               // an attempt is in flight at an engine
	unscored              // the text is complete and the scorer is to be called
	scoring               // a scorer call is in flight
	finished              // the result is known and not written yet
	stored                // the result is written at its position
)

const (
	// retryDelay is the delay before a generation or scorer call is repeated after a
	// failure that may be short.
	retryDelay = 50 * time.Millisecond
	// clockSkewMargin is added to the maximum age of items: the clocks of instances may
	// differ by seconds.
	clockSkewMargin = 10 * time.Second
)

// ItemPolicy is how a submission's route limits its items.
type ItemPolicy struct {
	MaxAttempts   int           // responses with status 500 after which an item is given up
	MaxAge        time.Duration // after which an item is given up; 0 for never
	SingleVersion bool
}

// Run is the state machine of a submission at its owner. It decides what runs next and
// what the end of an attempt means. It does no I/O and is not safe for concurrent use.
type Run struct {
	spec    Spec
	items   []item
	results []Result // finished and not written, in the order in which they will be written
	stored  int

	groups    [][]int // items of each group
	estimator *completion.Estimator
	meanHint  float64 // mean length hint of the items that have one; 0 if none has

	completeTexts, completeEvents int // texts that were completed here, and their events
}

type item struct {
	phase            phase
	notBefore        time.Time
	generationErrors int // responses with status 500 to generation requests
	scoringErrors    int // responses with status 500 to scorer calls
	text             []string
	lastEvent        int // ID of the last event of the text
	versions         []uint64
	carried          bool      // see Run.Carried
	unplacedSince    time.Time // see Run.Unplaced; zero while it does not wait so
	timing           ItemTiming
	attemptEvents    int // events of the attempt in flight that were added
}

// NewRun returns the Run of s, whose results in written are stored already and whose
// partial texts are continued. Of several texts of an item the last one is used. A
// complete text is only scored, or is a result at once if its item has no scorer.
func NewRun(s Spec, written []Result, partials []PartialText) *Run {
	r := &Run{spec: s, items: make([]item, len(s.Items)), stored: len(written), groups: groupItems(s.Items), meanHint: meanHint(s.Items), estimator: &completion.Estimator{}}
	done := make(map[string]bool, len(written))
	for _, w := range written {
		done[w.Item] = true
	}
	texts := make(map[string]PartialText, len(partials))
	for _, p := range partials {
		texts[p.Item] = p
	}
	for i, it := range s.Items {
		if done[it.ID] {
			r.items[i].phase = stored
			continue
		}
		p := texts[it.ID]
		// The caller may use the same texts for another Run.
		r.items[i].text, r.items[i].lastEvent, r.items[i].versions = slices.Clip(p.Text), p.After, slices.Clone(p.Versions)
		switch {
		case p.Complete && it.Scorer != nil:
			r.items[i].phase = unscored
		case p.Complete:
			r.finish(i, Result{State: Done}, time.Time{})
		}
	}
	return r
}

// UseEstimator has the run use and feed e, which may know earlier texts, instead of an
// estimator of its own. It must be called before the first attempt.
func (r *Run) UseEstimator(e *completion.Estimator) { r.estimator = e }

// Partials returns the texts that have events and no stored result. A complete text
// whose number of events is not known is left out: instances that do not know of
// complete texts would generate it again and append it to itself.
func (r *Run) Partials() []PartialText {
	results := make(map[string]Result, len(r.results))
	for _, res := range r.results {
		results[res.Item] = res
	}
	var out []PartialText
	for i := range r.items {
		if p, ok := r.partial(i, results); ok && r.items[i].phase != stored && p.After > 0 {
			out = append(out, p)
		}
	}
	return out
}

// partial returns the text of item i, or false if it has none. results holds the
// results of items by ID.
func (r *Run) partial(i int, results map[string]Result) (PartialText, bool) {
	it := r.items[i]
	p := PartialText{Item: r.spec.Items[i].ID, Text: it.text, After: it.lastEvent, Versions: slices.Clone(it.versions)}
	switch it.phase {
	case finished, stored:
		res := results[p.Item]
		p.Text, p.Versions, p.Complete = []string{res.Output}, slices.Clone(res.Versions), true
		return p, res.State == Done
	case unscored, scoring:
		p.Complete = true
		return p, true
	}
	return p, p.After > 0
}

// Waiting returns the items to be sent to an engine at now: first those that have a
// part of their text, then by descending estimate of the text's length. A step takes as
// long as its longest texts, so with fewer slots at engines than items these must not
// start last.
func (r *Run) Waiting(now time.Time) []int {
	out := r.inPhase(waiting, now)
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(r.startedKey(b), r.startedKey(a)), cmp.Compare(r.spec.Items[b].Length, r.spec.Items[a].Length))
	})
	return out
}

func (r *Run) startedKey(i int) int { return min(r.items[i].lastEvent, 1) }

// Unscored returns the items whose scorer is to be called at now.
func (r *Run) Unscored(now time.Time) []int { return r.inPhase(unscored, now) }

func (r *Run) inPhase(p phase, now time.Time) []int {
	var out []int
	for i, it := range r.items {
		if it.phase == p && !now.Before(it.notBefore) {
			out = append(out, i)
		}
	}
	return out
}

// Started records that an attempt at item i, or a call of its scorer, has started. The
// item must be waiting or unscored.
func (r *Run) Started(i int, now time.Time) {
	it := &r.items[i]
	if it.phase != waiting {
		it.phase = scoring
		return
	}
	it.phase = running
	it.timing.attemptStarted(now)
	it.attemptEvents = 0
}

// Postpone delays the next attempt at item i, or call of its scorer, until a time.
func (r *Run) Postpone(i int, until time.Time) { r.items[i].notBefore = until }

// LastEvent returns the ID of the last event of item i's text, and the weight versions
// that produced the text.
func (r *Run) LastEvent(i int) (event int, versions []uint64) {
	return r.items[i].lastEvent, r.items[i].versions
}

// Restart has the text of item i, which is waiting, start again.
func (r *Run) Restart(i int) {
	r.items[i].discard()
}

// Unplaced records that item i, which is waiting, has found no engine that can continue its
// text at now, and returns when that was first so since the text got its last event.
func (r *Run) Unplaced(i int, now time.Time) (since time.Time) {
	it := &r.items[i]
	if it.unplacedSince.IsZero() {
		it.unplacedSince = now
	}
	return it.unplacedSince
}

// RoomAt estimates when the first of the texts in flight that have the given weight version is
// complete, which gives room to another text with that version. It returns the zero time if none
// is in flight or the time of events is unknown.
func (r *Run) RoomAt(version uint64, now time.Time) time.Time {
	least, perEvent := math.Inf(1), r.estimator.EventTime()
	for i := range r.items {
		if it := &r.items[i]; it.phase == running && len(it.versions) == 1 && it.versions[0] == version {
			l := r.Length(i)
			least = min(least, l.Work*l.MeanEvents)
		}
	}
	if math.IsInf(least, 1) || perEvent == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(least * float64(perEvent)))
}

// discard discards the text, which then starts again.
func (it *item) discard() {
	it.text, it.versions, it.lastEvent, it.unplacedSince = nil, nil, 0, time.Time{}
}

// AttemptOutput is what an attempt at an item's text produced, or a part of it.
type AttemptOutput struct {
	Events   []Event
	Versions []uint64 // that produced Events, oldest first
	Complete bool     // the text is complete
	Status   int      // HTTP status of a response that is not a text; 0 for none
	// Overlong means that the engine sent more than the request allows. Where the text should
	// have ended is not known, so it starts again.
	Overlong bool
}

// AddEvents adds events that a running attempt at item i has produced.
func (r *Run) AddEvents(i int, out AttemptOutput, policy ItemPolicy) {
	if it := &r.items[i]; it.phase == running {
		it.timing.eventsReceived(len(out.Events))
		it.attemptEvents += len(out.Events)
		it.extend(out, r.spec.MinVersion, policy)
	}
}

// AttemptEnded applies the end of an attempt at item i at now.
func (r *Run) AttemptEnded(i int, out AttemptOutput, policy ItemPolicy, now time.Time) {
	it := &r.items[i]
	it.phase = waiting
	it.timing.eventsReceived(len(out.Events))
	it.timing.attemptEnded(now)
	r.estimator.ObserveAttempt(it.attemptEvents+len(out.Events), now.Sub(it.timing.attemptStartedAt))
	switch out.Status {
	case http.StatusUnprocessableEntity:
		r.finish(i, Result{State: Dead}, now)
		return
	case http.StatusInternalServerError:
		it.generationErrors++
		if it.generationErrors >= policy.MaxAttempts {
			r.finish(i, Result{State: Dead}, now)
			return
		}
	}
	complete := it.extend(out, r.spec.MinVersion, policy) && out.Complete && it.lastEvent > 0
	if complete {
		r.estimator.ObserveText(r.spec.Items[i].Length, it.lastEvent)
		r.completeTexts++
		r.completeEvents += it.lastEvent
	}
	switch {
	case out.Overlong:
		it.discard()
		it.notBefore = now.Add(retryDelay)
	case complete && r.spec.Items[i].Scorer != nil:
		it.phase = unscored
	case complete:
		r.finish(i, Result{State: Done}, now)
	case len(out.Events) == 0:
		it.notBefore = now.Add(retryDelay)
	}
}

// extend adds an attempt's events to the text and reports whether the text is valid so
// far. A text that must not be delivered, because one of its versions is too old or it
// has several where the policy asks for one, is discarded and starts again; later
// events of the same attempt do not continue it.
func (it *item) extend(out AttemptOutput, minVersion uint64, policy ItemPolicy) bool {
	for _, e := range out.Events {
		if e.ID != it.lastEvent+1 {
			return false
		}
		it.text = append(it.text, e.Data)
		it.lastEvent = e.ID
		it.unplacedSince = time.Time{}
	}
	if len(out.Events) > 0 { // a version without events has produced nothing of the text
		for _, v := range out.Versions {
			if !slices.Contains(it.versions, v) {
				it.versions = append(it.versions, v)
			}
		}
	}
	slices.Sort(it.versions)
	tooOld := len(it.versions) > 0 && it.versions[0] < minVersion
	if tooOld || policy.SingleVersion && len(it.versions) > 1 {
		it.discard()
		return false
	}
	return true
}

// ScoreResult is the outcome of a scorer call.
type ScoreResult struct {
	Score       string // returned by the scorer; empty if the call failed
	Status      int    // HTTP status of the response; 0 for none
	MaxAttempts int    // responses with status 500 after which the item is given up
}

// ScoringEnded applies the end of a call of item i's scorer at now.
func (r *Run) ScoringEnded(i int, s ScoreResult, now time.Time) {
	it := &r.items[i]
	it.phase = unscored
	if s.Score != "" {
		r.finish(i, Result{State: Done, Score: s.Score}, now)
		return
	}
	if s.Status == http.StatusInternalServerError {
		it.scoringErrors++
		if it.scoringErrors >= s.MaxAttempts {
			r.finish(i, Result{State: Dead}, now)
			return
		}
	}
	it.notBefore = now.Add(retryDelay)
}

// GiveUp gives up the items that are not in flight, if their route is gone or the
// submission is older than the policy's maximum age. age is taken from a clock that may
// be seconds off, hence clockSkewMargin.
func (r *Run) GiveUp(age time.Duration, policy ItemPolicy, routeGone bool, now time.Time) {
	if !routeGone && (policy.MaxAge == 0 || age < policy.MaxAge+clockSkewMargin) {
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
	it.timing.FinishedAt = now
	res.Item = r.spec.Items[i].ID
	if res.State == Done {
		res.Output, res.Versions = strings.Join(it.text, "\n"), it.versions
	}
	it.phase, it.text = finished, nil
	r.results = append(r.results, res)
}

// Unwritten returns the results that are not written, in order, and the position of the
// first.
func (r *Run) Unwritten() (position int, results []Result) { return r.stored, r.results }

// Written records that the first n unwritten results are written.
func (r *Run) Written(n int) {
	r.results = slices.Delete(r.results, 0, n)
	r.stored += n
}

// Done reports whether every item's result is written.
func (r *Run) Done() bool { return r.stored == len(r.items) }

// Counts returns how many items wait for an engine, are in flight at one, and have a
// result.
func (r *Run) Counts() (waits, runs, results int) {
	for _, it := range r.items {
		switch it.phase {
		case waiting:
			waits++
		case running:
			runs++
		case finished, stored:
			results++
		}
	}
	return waits, runs, results
}
