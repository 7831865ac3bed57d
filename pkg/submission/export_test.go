package submission

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Waiting is waiting for tests.
func (r *Runner) Waiting(rt routetable.Route, now time.Time) []int { return r.waiting(rt, now) }
