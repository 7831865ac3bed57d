package submission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// A step that is short of engines starts its groups one after the other only where
// capacity is contended, a due time is configured and the time that texts take is known.
// Elsewhere the order is longest first: a change there would affect callers that have
// enough engines. The shortage is reported once, not with every look for free slots.
func TestGroupsAreOrderedWhereCapacityIsContended(t *testing.T) {
	var known completion.Estimator
	known.ObserveAttempt(10, time.Second)
	known.ObserveText(10, 10)
	due := routetable.Route{Due: 5 * time.Second, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}
	noDue := due
	noDue.Due = 0
	longestFirst, byGroup := []int{1, 3, 2, 0}, []int{3, 2, 1, 0}
	for _, test := range []struct {
		name      string
		contended bool
		route     routetable.Route
		estimator *completion.Estimator
		want      []int
	}{
		{"contended", true, due, &known, byGroup},
		{"not contended", false, due, &known, longestFirst},
		{"no due time", true, noDue, &known, longestFirst},
		{"times not known", true, due, nil, longestFirst},
	} {
		now := time.Unix(1_800_000_000, 0)
		registry := upstream.NewRegistry("")
		registry.Set([]upstream.Entry{{ID: "i", Pool: "p", Address: "10.0.0.1:1", Slots: 1, Versions: map[string]uint64{"m": 1}}})
		registry.SetContended(test.contended)
		spec := submission.Spec{ID: "s", Model: "m", MinVersion: 1, Items: []submission.Item{{ID: "a", Group: "long", Length: 10}, {ID: "b", Group: "long", Length: 30},
			{ID: "c", Group: "short", Length: 16}, {ID: "d", Group: "short", Length: 17}}}
		var events []submission.OutlookEvent
		cfg := submission.Config{Registry: registry, Estimator: test.estimator, OnOutlook: func(e submission.OutlookEvent) { events = append(events, e) }}
		r := submission.NewRunner(cfg, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: now}}, spec, submission.PriorWork{})
		for range 3 {
			if got := r.Waiting(test.route, now); !slices.Equal(got, test.want) {
				t.Errorf("%s: waiting items %v, want %v", test.name, got, test.want)
			}
			now = now.Add(10 * time.Millisecond)
		}
		if short := slices.Equal(test.want, byGroup); short != (len(events) == 1) || short && (!events[0].First || events[0].Outlook.InTime != 1 || events[0].Slots != 1) {
			t.Errorf("%s: events %+v, want one of the first shortage if short, with 1 group in time and 1 slot", test.name, events)
		}
	}
}

// What is left of a step is measured by its finished texts: without that, an owner
// cannot tell whether the step fits. A text in progress counts with its rest only, an
// item without a hint with the mean of the others, and a group whose texts are all
// generated as complete.
func TestStepState(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	spec := submission.Spec{Desired: 2, Items: []submission.Item{{ID: "a", Group: "x", Length: 10}, {ID: "b", Group: "y", Length: 40}, {ID: "c", Group: "y"}, {ID: "d"}, {ID: "e"}}}
	r := submission.NewRun(spec, nil, nil)
	if _, known := r.StepState(now, now, 1); known {
		t.Fatal("state known before a text has finished")
	}
	policy := submission.ItemPolicy{MaxAttempts: 1}
	r.Started(0, now)
	r.Started(1, now)
	end := now.Add(500 * time.Millisecond)
	r.AddEvents(1, submission.AttemptOutput{Events: events(1, 1, 4)}, policy)
	r.AttemptEnded(0, submission.AttemptOutput{Events: events(0, 1, 5), Complete: true}, policy, end)
	s, known := r.StepState(end, now.Add(3*time.Second), 4)
	if !known || s.Complete != 1 || s.Desired != 2 || s.Slots != 4 || s.Left != 2500*time.Millisecond || len(s.Groups) != 3 {
		t.Fatalf("state %+v, known %v, want 1 of 4 groups complete, 2 desired, 4 slots and 2.5 s left", s, known)
	}
	// 10 units are 5 events, which took 0.1 s each: 20 events less 4 are 1.6 s.
	y := s.Groups[0].Items
	if want := (completion.Item{Index: 1, Left: 1.6, Running: true}); y[0] != want || y[1] != (completion.Item{Index: 2, Left: 1.25}) {
		t.Errorf("items %+v, want %+v and one of 1.25 s", y, want)
	}
}
