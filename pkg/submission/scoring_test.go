package submission_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// A scorer that takes one call at a time scores the texts of one group after the other only
// where capacity is contended: elsewhere the order of items must not change. Scorers of the
// groups that an earlier submission had come first, as the trainer waits for these.
func TestScoringIsOrderedWhereCapacityIsContended(t *testing.T) {
	for _, test := range []struct {
		name      string
		contended bool
		carried   []string // items of the previous submission
		want      []string
	}{
		{"contended", true, nil, []string{"e", "c", "d", "a", "b"}},
		{"contended, with a carried group", true, []string{"a", "b", "x"}, []string{"a", "b", "e", "c", "d"}},
		{"not contended", false, []string{"a", "b", "x"}, []string{"a", "b", "c", "d", "e"}},
	} {
		registry := upstream.NewRegistry("")
		registry.Set([]upstream.Entry{{ID: "i", Pool: "p", Address: "10.0.0.1:1", Slots: 1}})
		registry.SetContended(test.contended)
		spec, prior := submission.Spec{ID: "s", Model: "m", Desired: 1}, submission.PriorWork{Results: []submission.Result{{Item: "x", State: submission.Done}}}
		for _, it := range []struct{ id, group string }{{"a", "three"}, {"b", "three"}, {"c", "two"}, {"d", "two"}, {"e", "one"}, {"x", "three"}} {
			spec.Items = append(spec.Items, submission.Item{ID: it.id, Group: it.group, Scorer: &submission.Call{ID: it.id}})
			prior.Partials = append(prior.Partials, submission.PartialText{Item: it.id, Text: []string{"t"}, After: 1, Complete: true})
		}
		spec.Items = append(spec.Items, submission.Item{ID: "y", Group: "three", Scorer: &submission.Call{ID: "y"}}) // has no text
		var calls []string
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		r := submission.NewRunner(submission.Config{
			Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry,
			Generator: pacedEngines{onEvent: func(int) {}},
			Route: func(string, string) (routetable.Route, bool, bool) {
				return routetable.Route{MaxAttempts: 2, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
			},
			TargetVersion: func(string) uint64 { return 0 },
			Rand:          func() float64 { return 0 },
			Previous: func(context.Context) submission.Previous {
				return submission.Previous{Record: carryover.Record{Key: carryover.Key{Model: "m"}, Submission: "r", Items: test.carried}}
			},
			ScorerLimit: func(submission.Call) int { return 1 },
			Score: func(_ context.Context, c submission.Call) submission.ScoreResult {
				calls = append(calls, c.ID) // one call at a time
				return submission.ScoreResult{Score: "1"}
			},
		}, submission.HeadRow{Head: submission.Head{ID: "s", Model: "m", AcceptedAt: time.Now()}, Fencing: 1}, spec, prior)
		if err := r.Run(ctx); err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		calls = slices.DeleteFunc(calls, func(id string) bool { return id == "y" })
		if !slices.Equal(calls, test.want) {
			t.Errorf("%s: scored in the order %v, want %v", test.name, calls, test.want)
		}
	}
}
