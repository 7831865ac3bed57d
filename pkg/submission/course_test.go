package submission_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// An attempt whose events were told while it ran has made them, though none are left
// to tell at its end: its time is not time without an engine.
func TestCourseCountsEventsToldEarly(t *testing.T) {
	begun := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return begun.Add(time.Duration(s) * time.Second) }
	run := submission.NewRun(submission.Spec{ID: "l", Items: []submission.Item{{ID: "a"}}}, nil, nil)
	terms := submission.ItemPolicy{MaxAttempts: 3}
	run.Started(0, at(1))
	run.AddEvents(0, submission.AttemptOutput{Events: events(0, 1, 3)}, terms)
	run.AttemptEnded(0, submission.AttemptOutput{}, terms, at(6)) // a faster engine is to go on
	run.Started(0, at(7))
	run.AddEvents(0, submission.AttemptOutput{Events: events(0, 4, textEvents)}, terms)
	run.AttemptEnded(0, submission.AttemptOutput{Complete: true}, terms, at(9))
	course, attempts, refused := run.LastFinished()
	if course.Waited(begun) != time.Second || course.Generating != 7*time.Second || course.Interrupted() != time.Second {
		t.Errorf("waited %v, generating %v, interrupted %v; want 1s, 7s, 1s", course.Waited(begun), course.Generating, course.Interrupted())
	}
	if attempts != 2 || refused != 0 {
		t.Errorf("%d attempts of which %d made nothing, want 2 and 0", attempts, refused)
	}
}
