package submission_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// Submissions are ended at any point and later ones repeat their items, some with another
// body. A result must have the whole text of its item's present body and exactly the
// versions that generated it, none below the minimum and only one where the policy asks
// for one: a carried text of another request, or one that a version is left out of, would
// be trained on unnoticed.
func TestCarriedTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		policy := submission.ItemPolicy{MaxAttempts: 3, SingleVersion: rapid.Bool().Draw(t, "single")}
		producers := map[string][]uint64{} // version that generated each event of the text so far, by item
		var left []carryover.Text
		spec := submission.Spec{Host: "h", Model: "m", MinVersion: 2}
		for i := range 4 {
			spec.Items = append(spec.Items, submission.Item{ID: fmt.Sprint(i), Group: fmt.Sprint(i / 2), Scorer: &submission.Call{}})
		}
		for range 3 {
			spec.Items = slices.Clone(spec.Items)
			spec.MinVersion += rapid.Uint64Range(0, 1).Draw(t, "announced")
			if rapid.Bool().Draw(t, "changed") {
				spec.Items[0].Body = append([]byte{'x'}, spec.Items[0].Body...)
			}
			texts, stale := spec.Resumable(left, policy.SingleVersion, spec.MinVersion)
			if len(texts)+stale > len(left) {
				t.Fatalf("got %d texts and %d stale ones of %d", len(texts), stale, len(left))
			}
			run := submission.NewRun(spec, nil, texts)
			for range rapid.IntRange(0, 12).Draw(t, "attempts") {
				if items := run.Unscored(now); len(items) > 0 {
					run.Started(items[0], now)
					run.ScoringEnded(items[0], submission.ScoreResult{Score: "proof"}, now)
				}
				if items := run.Waiting(now); len(items) > 0 {
					generate(t, run, spec, rapid.SampledFrom(items).Draw(t, "item"), policy, producers, now)
				}
			}
			_, results := run.Unwritten()
			for _, r := range results {
				checkCarried(t, spec, r, policy, producers[r.Item])
			}
			written := results[:rapid.IntRange(0, len(results)).Draw(t, "written")]
			left = run.Unfinished(written, len(written), 0)
			if all := run.Unfinished(written, 0, 0); len(all) < len(results) { // the sender has read none
				t.Fatalf("got %d texts of unread results, want at least %d", len(all), len(results))
			}
			for _, r := range written { // a text of a complete group is not kept
				other := slices.ContainsFunc(written, func(o submission.Result) bool {
					return o.Item != r.Item && groupOf(spec, o.Item) == groupOf(spec, r.Item)
				})
				kept := slices.ContainsFunc(left, func(c carryover.Text) bool { return c.Item == r.Item })
				if kept == other {
					t.Fatalf("item %s: kept %v although its group is complete: %v", r.Item, kept, other)
				}
			}
		}
	})
}

func groupOf(spec submission.Spec, item string) string {
	return spec.Items[slices.IndexFunc(spec.Items, func(it submission.Item) bool { return it.ID == item })].Group
}

func eventData(it submission.Item, n int) string { return fmt.Sprintf("%s:%s:%d", it.ID, it.Body, n) }

// generate makes an attempt at item i whose engine changes its version within the text.
func generate(t *rapid.T, run *submission.Run, spec submission.Spec, i int, policy submission.ItemPolicy, producers map[string][]uint64, now time.Time) {
	it := spec.Items[i]
	after, _ := run.LastEvent(i)
	made := slices.Clone(producers[it.ID][:after])
	portion := func(version uint64) submission.AttemptOutput {
		out := submission.AttemptOutput{Versions: []uint64{version}}
		for n := rapid.IntRange(0, textEvents-len(made)).Draw(t, "events"); n > 0; n-- {
			made = append(made, version)
			out.Events = append(out.Events, submission.Event{ID: len(made), Data: eventData(it, len(made))})
		}
		return out
	}
	first := rapid.Uint64Range(spec.MinVersion-1, spec.MinVersion+1).Draw(t, "version")
	run.Started(i, now)
	run.AddEvents(i, portion(first), policy)
	last := portion(first + rapid.Uint64Range(0, 1).Draw(t, "newer"))
	last.Complete = len(made) == textEvents
	run.AttemptEnded(i, last, policy, now)
	run.Postpone(i, now)
	producers[it.ID] = made
}

func checkCarried(t *rapid.T, spec submission.Spec, r submission.Result, policy submission.ItemPolicy, producers []uint64) {
	it := spec.Items[slices.IndexFunc(spec.Items, func(it submission.Item) bool { return it.ID == r.Item })]
	var lines []string
	for n := range textEvents {
		lines = append(lines, eventData(it, n+1))
	}
	want := slices.Compact(slices.Sorted(slices.Values(producers)))
	if r.Output != strings.Join(lines, "\n") || !slices.Equal(r.Versions, want) {
		t.Fatalf("got result %+v, want the whole text of the item and versions %v", r, want)
	}
	if want[0] < spec.MinVersion || policy.SingleVersion && len(want) > 1 {
		t.Fatalf("got versions %v, want none below %d and one if single-version", want, spec.MinVersion)
	}
}

// On a single-version route a text can only be finished by an engine with its version. If
// engines have left it, the item must start again rather than wait until it is given up.
func TestResumableSingleVersion(t *testing.T) {
	spec := submission.Spec{MinVersion: 2, Items: []submission.Item{{ID: "a"}, {ID: "b"}}}
	run := submission.NewRun(spec, nil, []submission.PartialText{
		{Item: "a", Text: []string{"x"}, After: 1, Versions: []uint64{3}},
		{Item: "b", Text: []string{"x"}, After: 1, Versions: []uint64{3}, Complete: true}})
	left := run.Unfinished(nil, 0, 0)
	if got, stale := spec.Resumable(left, true, 3); len(got) != 2 || stale != 0 {
		t.Errorf("target version 3: got %+v, %d stale, want both texts", got, stale)
	}
	if got, stale := spec.Resumable(left, true, 4); len(got) != 1 || !got[0].Complete || stale != 1 {
		t.Errorf("target version 4: got %+v, %d stale, want the complete text only", got, stale)
	}
	if got, _ := spec.Resumable(left, false, 4); len(got) != 2 {
		t.Errorf("not single-version: got %+v, want both texts", got)
	}
	if got := run.Unfinished(nil, 0, 4); len(got) != 0 { // no later submission may use them
		t.Errorf("got %+v, want no texts below version 4", got)
	}
}

// The texts that a submission left may be resumed by two runs. An event that one of them
// appends must not appear in the text of the other.
func TestRunsDoNotShareTexts(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a"}}}
	shared := make([]string, 1, 4)
	var runs []*submission.Run
	for i := range 2 {
		run := submission.NewRun(spec, nil, []submission.PartialText{{Item: "a", Text: shared, After: 1, Versions: []uint64{3}}})
		run.Started(0, time.Time{})
		run.AddEvents(0, submission.AttemptOutput{Events: []submission.Event{{ID: 2, Data: fmt.Sprint(i)}}, Versions: []uint64{3}}, submission.ItemPolicy{})
		runs = append(runs, run)
	}
	for i, run := range runs {
		if got := run.Partials()[0].Text[1]; got != fmt.Sprint(i) {
			t.Errorf("run %d: got event %q, want %q", i, got, fmt.Sprint(i))
		}
	}
}
