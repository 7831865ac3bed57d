package node

import (
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// minAttemptRest is the shortest time besides that of a request's last attempt for which
// attempt_took is logged.
const minAttemptRest = time.Millisecond

// reportFields returns the fields of the line "request" that tell how the request that
// started at the given time was served. Those that would hold nothing are left out, since
// most requests are answered by the first upstream at once.
func reportFields(rep forward.Report, started time.Time, took time.Duration) []any {
	var fields []any
	add := func(when bool, name string, value any) {
		if when {
			fields = append(fields, name, value)
		}
	}
	add(rep.Upstream != "", "upstream", rep.Upstream)
	add(rep.Attempt > 1, "attempt", rep.Attempt)
	add(rep.Attempt > 0 && took-rep.AttemptTook >= minAttemptRest, "attempt_took", rep.AttemptTook)
	add(!rep.JoinedAt.IsZero(), "joined_after", rep.JoinedAt.Sub(started))
	add(rep.Waited > 0, "waited", rep.Waited)
	add(rep.Ahead > 0, "ahead", rep.Ahead)
	add(rep.Copies > 0, "copies", rep.Copies)
	add(rep.CopyWon, "copy_won", true)
	add(rep.Superseded != "", "superseded", rep.Superseded)
	return fields
}

// rejectionFields returns the fields of a line that tell why a caller was rejected with
// err, and how long after now it may retry. There are none if err is not a rejection.
func rejectionFields(err error, now time.Time) []any {
	var ve *verdict.Error
	if !errors.As(err, &ve) || ve.Verdict != verdict.NotRun {
		return nil
	}
	reason := rejectionReason(err)
	switch {
	case errors.Is(err, forward.ErrDisplaced):
		reason = "displaced" // counted as queue_full
	case errors.Is(err, platform.ErrNotApplied):
		reason = "store"
	}
	fields := []any{"reason", reason}
	if !ve.RetryAt.IsZero() {
		fields = append(fields, "retry_after", max(ve.RetryAt.Sub(now), 0).Round(time.Millisecond))
	}
	return fields
}
