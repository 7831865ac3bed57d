package submission_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// Events may be reported while an attempt runs, so that its final report has none. Such
// an attempt must count as one that produced output: its time is generation time, not
// time without an engine.
func TestItemTimingCountsEventsReceivedDuringAttempt(t *testing.T) {
	runStart := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return runStart.Add(time.Duration(s) * time.Second) }
	run := submission.NewRun(submission.Spec{ID: "l", Items: []submission.Item{{ID: "a"}}}, nil, nil)
	policy := submission.ItemPolicy{MaxAttempts: 3}
	run.Started(0, at(1))
	run.AddEvents(0, submission.AttemptOutput{Events: events(0, 1, 3)}, policy)
	run.AttemptEnded(0, submission.AttemptOutput{}, policy, at(6)) // moved to a faster engine
	run.Started(0, at(7))
	run.AddEvents(0, submission.AttemptOutput{Events: events(0, 4, textEvents)}, policy)
	run.AttemptEnded(0, submission.AttemptOutput{Complete: true}, policy, at(9))
	timing, attempts, empty := run.LastFinished()
	if timing.Waited(runStart) != time.Second || timing.Generating != 7*time.Second || timing.Interrupted() != time.Second {
		t.Errorf("waited, generating, interrupted = %v, %v, %v; want 1s, 7s, 1s", timing.Waited(runStart), timing.Generating, timing.Interrupted())
	}
	if attempts != 2 || empty != 0 {
		t.Errorf("attempts, empty attempts = %d, %d; want 2, 0", attempts, empty)
	}
}
