package submission

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Waiting is waiting for tests.
func (r *Runner) Waiting(rt routetable.Route, now time.Time) []int { return r.waiting(rt, now) }

// MinVersion is minVersion for tests.
func (r *Runner) MinVersion(i int, now time.Time) uint64 { return r.minVersion(i, now) }

// SetStartedAt sets when the run started, and returns it.
func (r *Runner) SetStartedAt(at time.Time) time.Time {
	r.startedAt = at
	return at
}
