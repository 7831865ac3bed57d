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

func whole(item int) string {
	var lines []string
	for _, e := range events(item, 1, textEvents) {
		lines = append(lines, e.Data)
	}
	return strings.Join(lines, "\n")
}

// attempt is one under way: the events that it gives follow on after begun.
type attempt struct {
	item, begun, given int
	version            uint64
	scoring            bool
}

// Attempts that end, break off, fail and span versions in any order, and owners
// that follow each other with what was kept: each item has one result, a done one
// has its whole text once with the versions that made it, none too old and only
// one where that is asked, and an item is given up only after its tries.
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
		terms := submission.ItemPolicy{MaxAttempts: 3, SingleVersion: rapid.Bool().Draw(t, "single")}
		run := submission.NewRun(spec, nil, nil)
		var written []submission.Result
		flying := []*attempt{}
		errors, declined := map[int]int{}, map[int]int{}
		made := map[int][]uint64{} // version of each event of the text so far

		end := func(t *rapid.T, a *attempt, p submission.AttemptOutput) {
			flying = slices.DeleteFunc(flying, func(b *attempt) bool { return a == b })
			run.AttemptEnded(a.item, p, terms, now)
		}
		take := func(t *rapid.T) {
			if wait := run.Waiting(now); len(wait) > 0 {
				i := wait[0]
				after, _ := run.LastEvent(i)
				if after == 0 {
					made[i] = nil
				}
				run.Started(i, now)
				flying = append(flying, &attempt{item: i, begun: after, given: after, version: rapid.Uint64Range(2, 5).Draw(t, "version")})
			}
			if wait := run.Unscored(now); len(wait) > 0 {
				run.Started(wait[0], now)
				flying = append(flying, &attempt{item: wait[0], scoring: true})
			}
		}
		give := func(a *attempt, n int) submission.AttemptOutput {
			to := min(a.given+n, textEvents)
			p := submission.AttemptOutput{Events: events(a.item, a.given+1, to)}
			if to > a.given {
				p.Versions = []uint64{a.version}
			}
			for range p.Events {
				made[a.item] = append(made[a.item], a.version)
			}
			a.given = to
			return p
		}
		t.Repeat(map[string]func(*rapid.T){
			"take": take,
			"extend": func(t *rapid.T) {
				if a := draw(t, flying, false); a != nil {
					run.AddEvents(a.item, give(a, rapid.IntRange(1, 3).Draw(t, "n")), terms)
				}
			},
			"break": func(t *rapid.T) {
				if a := draw(t, flying, false); a != nil {
					end(t, a, give(a, rapid.IntRange(0, 2).Draw(t, "n")))
				}
			},
			"fail": func(t *rapid.T) {
				if a := draw(t, flying, false); a != nil && a.given == a.begun {
					errors[a.item]++
					end(t, a, submission.AttemptOutput{Status: http.StatusInternalServerError})
				}
			},
			"finish": func(t *rapid.T) {
				if a := draw(t, flying, false); a != nil {
					p := give(a, textEvents)
					p.Complete = true
					end(t, a, p)
				}
			},
			"score": func(t *rapid.T) {
				a := draw(t, flying, true)
				if a == nil {
					return
				}
				flying = slices.DeleteFunc(flying, func(b *attempt) bool { return a == b })
				s := submission.ScoreResult{MaxAttempts: 4, Status: rapid.SampledFrom([]int{0, 200, 500, 503}).Draw(t, "status")}
				switch s.Status {
				case 200:
					s.Score = "proof"
				case 500:
					declined[a.item]++
				}
				run.ScoringEnded(a.item, s, now)
			},
			"advance": func(*rapid.T) { now = now.Add(60 * time.Millisecond) },
			"write": func(t *rapid.T) {
				pos, results := run.Unwritten()
				if pos != len(written) {
					t.Fatalf("position %d after %d results", pos, len(written))
				}
				n := rapid.IntRange(0, len(results)).Draw(t, "n")
				written = append(written, results[:n]...)
				run.Written(n)
			},
			"succeed": func(*rapid.T) { // another owner goes on with what was kept
				begun := run.Partials()
				run, flying = submission.NewRun(spec, written, begun), nil
				for i := range spec.Items {
					after, _ := run.LastEvent(i)
					made[i] = made[i][:min(after, len(made[i]))]
				}
			},
			"": func(t *rapid.T) { check(t, spec, written, terms, scored, errors, declined) },
		})
	})
}

func draw(t *rapid.T, flying []*attempt, scoring bool) *attempt {
	var of []*attempt
	for _, a := range flying {
		if a.scoring == scoring {
			of = append(of, a)
		}
	}
	if len(of) == 0 {
		return nil
	}
	return rapid.SampledFrom(of).Draw(t, "attempt")
}

func check(t *rapid.T, spec submission.Spec, written []submission.Result, terms submission.ItemPolicy, scored bool, errors, declined map[int]int) {
	seen := map[string]bool{}
	for _, r := range written {
		if seen[r.Item] {
			t.Fatalf("item %s has two results", r.Item)
		}
		seen[r.Item] = true
		i := slices.IndexFunc(spec.Items, func(it submission.Item) bool { return it.ID == r.Item })
		if r.State == submission.Dead {
			if errors[i] < terms.MaxAttempts && declined[i] < 4 {
				t.Fatalf("item %d given up after %d failures and %d of its scorer", i, errors[i], declined[i])
			}
			continue
		}
		if r.Output != whole(i) || scored && r.Score == "" {
			t.Fatalf("item %d: %+v", i, r)
		}
		if len(r.Versions) == 0 || r.Versions[0] < spec.MinVersion || terms.SingleVersion && len(r.Versions) > 1 || !slices.IsSorted(r.Versions) {
			t.Fatalf("item %d made by %v, at least %d", i, r.Versions, spec.MinVersion)
		}
	}
}

// Replays a batch that has fewer places at engines than items: the longest
// texts begin first, and those that are begun before all others.
func TestLongTextsFirst(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a", Length: 3}, {ID: "b", Length: 90}, {ID: "c"}, {ID: "d", Length: 20}}}
	r := submission.NewRun(spec, nil, []submission.PartialText{{Item: "c", Text: []string{"x"}, After: 1}})
	if got := r.Waiting(time.Now()); !slices.Equal(got, []int{2, 1, 3, 0}) {
		t.Fatalf("order %v", got)
	}
}

// An item that is not done is given up when its submission is old enough by any
// clock, and when its route is gone.
func TestGiveUp(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a"}}}
	terms := submission.ItemPolicy{MaxAttempts: 3, MaxAge: 40 * time.Second}
	r := submission.NewRun(spec, nil, nil)
	r.GiveUp(45*time.Second, terms, false, time.Time{})
	if _, results := r.Unwritten(); len(results) != 0 {
		t.Fatal("given up while clocks may disagree")
	}
	r.GiveUp(51*time.Second, terms, false, time.Time{})
	if _, results := r.Unwritten(); len(results) != 1 || results[0].State != submission.Dead {
		t.Fatalf("%v", results)
	}
	r = submission.NewRun(spec, nil, nil)
	r.GiveUp(0, submission.ItemPolicy{}, true, time.Time{})
	if _, results := r.Unwritten(); len(results) != 1 {
		t.Fatal("kept without a route")
	}
}
