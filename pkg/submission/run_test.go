package submission_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 4000) }

const textEvents = 5

func events(item, from, to int) []submission.Event {
	var out []submission.Event
	for n := from; n <= to; n++ {
		out = append(out, submission.Event{ID: n, Data: fmt.Sprintf("%d:%d", item, n)})
	}
	return out
}

func fullText(item int) string {
	var lines []string
	for _, e := range events(item, 1, textEvents) {
		lines = append(lines, e.Data)
	}
	return strings.Join(lines, "\n")
}

// attempt is an attempt in flight. Its events are those after the event with the ID
// after.
type attempt struct {
	item, after, lastEvent int
	version                uint64
	scoring                bool
}

// Attempts end, break off, fail and span weight versions in any order, and owners take
// over with the stored results and partial texts. Each item must have one result; a
// finished one must have its whole text once and exactly the versions that produced it,
// none below the minimum and only one where the policy asks for one. An item may be
// given up only after its attempts are used up.
func TestRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		spec := submission.Spec{ID: "l", MinVersion: 3}
		scored := rapid.Bool().Draw(t, "scored")
		for i := range rapid.IntRange(1, 5).Draw(t, "items") {
			it := submission.Item{ID: fmt.Sprint(i), Length: rapid.IntRange(0, 9).Draw(t, "length")}
			if scored {
				it.Scorer = &submission.Call{ID: "s" + it.ID}
			}
			spec.Items = append(spec.Items, it)
		}
		policy := submission.ItemPolicy{MaxAttempts: 3, SingleVersion: rapid.Bool().Draw(t, "single")}
		run := submission.NewRun(spec, nil, nil)
		var written []submission.Result
		inFlight := []*attempt{}
		generationErrors, scoringErrors := map[int]int{}, map[int]int{}
		producers := map[int][]uint64{} // version that produced each event of the text so far

		endAttempt := func(t *rapid.T, a *attempt, out submission.AttemptOutput) {
			inFlight = slices.DeleteFunc(inFlight, func(b *attempt) bool { return a == b })
			run.AttemptEnded(a.item, out, policy, now)
		}
		startAttempts := func(t *rapid.T) {
			if items := run.Waiting(now); len(items) > 0 {
				i := items[0]
				after, _ := run.LastEvent(i)
				if after == 0 {
					producers[i] = nil
				}
				run.Started(i, now)
				inFlight = append(inFlight, &attempt{item: i, after: after, lastEvent: after, version: rapid.Uint64Range(2, 5).Draw(t, "version")})
			}
			if items := run.Unscored(now); len(items) > 0 {
				run.Started(items[0], now)
				inFlight = append(inFlight, &attempt{item: items[0], scoring: true})
			}
		}
		produce := func(a *attempt, n int) submission.AttemptOutput {
			to := min(a.lastEvent+n, textEvents)
			p := submission.AttemptOutput{Events: events(a.item, a.lastEvent+1, to)}
			if to > a.lastEvent {
				p.Versions = []uint64{a.version}
			}
			for range p.Events {
				producers[a.item] = append(producers[a.item], a.version)
			}
			a.lastEvent = to
			return p
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": startAttempts,
			"extend": func(t *rapid.T) {
				if a := drawAttempt(t, inFlight, false); a != nil {
					run.AddEvents(a.item, produce(a, rapid.IntRange(1, 3).Draw(t, "n")), policy)
				}
			},
			"break": func(t *rapid.T) {
				if a := drawAttempt(t, inFlight, false); a != nil {
					endAttempt(t, a, produce(a, rapid.IntRange(0, 2).Draw(t, "n")))
				}
			},
			"fail": func(t *rapid.T) {
				if a := drawAttempt(t, inFlight, false); a != nil && a.lastEvent == a.after {
					generationErrors[a.item]++
					endAttempt(t, a, submission.AttemptOutput{Status: http.StatusInternalServerError})
				}
			},
			"finish": func(t *rapid.T) {
				if a := drawAttempt(t, inFlight, false); a != nil {
					p := produce(a, textEvents)
					p.Complete = true
					endAttempt(t, a, p)
				}
			},
			"score": func(t *rapid.T) {
				a := drawAttempt(t, inFlight, true)
				if a == nil {
					return
				}
				inFlight = slices.DeleteFunc(inFlight, func(b *attempt) bool { return a == b })
				s := submission.ScoreResult{MaxAttempts: 4, Status: rapid.SampledFrom([]int{0, 200, 500, 503}).Draw(t, "status")}
				switch s.Status {
				case 200:
					s.Score = "proof"
				case 500:
					scoringErrors[a.item]++
				}
				run.ScoringEnded(a.item, s, now)
			},
			"advance": func(*rapid.T) { now = now.Add(60 * time.Millisecond) },
			"write": func(t *rapid.T) {
				pos, results := run.Unwritten()
				if pos != len(written) {
					t.Fatalf("position of unwritten results = %d, want %d", pos, len(written))
				}
				n := rapid.IntRange(0, len(results)).Draw(t, "n")
				written = append(written, results[:n]...)
				run.Written(n)
			},
			"succeed": func(*rapid.T) { // another owner takes over with what is stored
				partials := run.Partials()
				run, inFlight = submission.NewRun(spec, written, partials), nil
				for i := range spec.Items {
					after, _ := run.LastEvent(i)
					producers[i] = producers[i][:min(after, len(producers[i]))]
				}
			},
			"": func(t *rapid.T) { checkResults(t, spec, written, policy, scored, generationErrors, scoringErrors) },
		})
	})
}

func drawAttempt(t *rapid.T, inFlight []*attempt, scoring bool) *attempt {
	var of []*attempt
	for _, a := range inFlight {
		if a.scoring == scoring {
			of = append(of, a)
		}
	}
	if len(of) == 0 {
		return nil
	}
	return rapid.SampledFrom(of).Draw(t, "attempt")
}

func checkResults(t *rapid.T, spec submission.Spec, written []submission.Result, policy submission.ItemPolicy, scored bool, generationErrors, scoringErrors map[int]int) {
	hasResult := map[string]bool{}
	for _, r := range written {
		if hasResult[r.Item] {
			t.Fatalf("item %s has two results, want one", r.Item)
		}
		hasResult[r.Item] = true
		i := slices.IndexFunc(spec.Items, func(it submission.Item) bool { return it.ID == r.Item })
		if r.State == submission.Dead {
			if generationErrors[i] < policy.MaxAttempts && scoringErrors[i] < 4 {
				t.Fatalf("item %d given up after %d failed generations and %d failed scorer calls", i, generationErrors[i], scoringErrors[i])
			}
			continue
		}
		if r.Output != fullText(i) || scored && r.Score == "" {
			t.Fatalf("item %d: result = %+v, want the whole text, and a score if it has a scorer", i, r)
		}
		if len(r.Versions) == 0 || r.Versions[0] < spec.MinVersion || policy.SingleVersion && len(r.Versions) > 1 || !slices.IsSorted(r.Versions) {
			t.Fatalf("item %d: versions = %v, want sorted, at least %d, one if single-version", i, r.Versions, spec.MinVersion)
		}
	}
}

// With fewer slots at engines than items, items that have a part of their text start
// first, then the longest texts.
func TestWaitingPutsLongestTextsFirst(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a", Length: 3}, {ID: "b", Length: 90}, {ID: "c"}, {ID: "d", Length: 20}}}
	r := submission.NewRun(spec, nil, []submission.PartialText{{Item: "c", Text: []string{"x"}, After: 1}})
	if got := r.Waiting(time.Now()); !slices.Equal(got, []int{2, 1, 3, 0}) {
		t.Fatalf("Waiting() = %v, want [2 1 3 0]", got)
	}
}

// An item without a result is given up when its submission exceeds the maximum age even
// by a clock that is seconds ahead, and when its route is gone.
func TestGiveUp(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a"}}}
	policy := submission.ItemPolicy{MaxAttempts: 3, MaxAge: 40 * time.Second}
	r := submission.NewRun(spec, nil, nil)
	r.GiveUp(45*time.Second, policy, false, time.Time{})
	if _, results := r.Unwritten(); len(results) != 0 {
		t.Fatal("item given up at 45 s, within the clock skew margin of its maximum age of 40 s")
	}
	r.GiveUp(51*time.Second, policy, false, time.Time{})
	if _, results := r.Unwritten(); len(results) != 1 || results[0].State != submission.Dead {
		t.Fatalf("results = %+v, want one that is dead", results)
	}
	r = submission.NewRun(spec, nil, nil)
	r.GiveUp(0, submission.ItemPolicy{}, true, time.Time{})
	if _, results := r.Unwritten(); len(results) != 1 {
		t.Fatal("item not given up after its route was removed")
	}
}

// Guards against an item that is listed with what an engine sent beyond its text, or that goes on
// after it.
func TestOverlongTextStartsAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	run := submission.NewRun(submission.Spec{ID: "l", Items: []submission.Item{{ID: "0"}}}, nil, nil)
	policy := submission.ItemPolicy{MaxAttempts: 3}
	run.Started(0, now)
	run.AddEvents(0, submission.AttemptOutput{Events: events(0, 1, textEvents), Versions: []uint64{3}}, policy)
	run.AttemptEnded(0, submission.AttemptOutput{Events: events(0, textEvents+1, textEvents+2), Versions: []uint64{3}, Overlong: true}, policy, now)
	if last, versions := run.LastEvent(0); last != 0 || len(versions) != 0 {
		t.Fatalf("the text goes on after event %d of versions %v, want its start", last, versions)
	}
	run.Started(0, now)
	run.AttemptEnded(0, submission.AttemptOutput{Events: events(0, 1, textEvents), Versions: []uint64{3}, Complete: true}, policy, now)
	if _, results := run.Unwritten(); len(results) != 1 || results[0].State != submission.Done || results[0].Output != fullText(0) {
		t.Errorf("got results %+v, want the whole text", results)
	}
}
