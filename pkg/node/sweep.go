package node

import (
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// sweepMargin is added to the retention time of submissions, because the clocks of
	// instances may differ by seconds and a reader's request may be in flight.
	sweepMargin = 30 * time.Second
	// sweepPause is the time between two sweeps of an instance. Each instance sweeps
	// the submissions for which it ranks first, so that all instances together keep up
	// with any rate of submissions.
	sweepPause = time.Second
)

// sweep returns the effect that deletes a submission past its retention time, one at a
// time: a full store accepts no more objects.
func (s *state) sweep(now time.Time) []effect {
	if s.retention == 0 || s.sweeping || now.Before(s.nextSweep) {
		return nil
	}
	live := s.members.Roster(now, s.name)
	for _, head := range s.heads {
		if head.Open() || s.running[head.ID] || now.Sub(head.AcceptedAt) < s.retention+sweepMargin {
			continue
		}
		if ranked := owners(live.Members, submission.Head{Host: head.ID}); len(ranked) == 0 || ranked[0].Name != s.name {
			continue
		}
		s.sweeping = true
		return []effect{sweep{head}}
	}
	s.nextSweep = now.Add(sweepPause)
	return nil
}

// onSwept forgets a submission that has been deleted: by this instance, or by another
// one while the store's history was lost, because the head of a submission that nobody
// runs does not change otherwise.
func (s *state) onSwept(e swept) []effect {
	s.sweeping = false
	s.nextSweep = e.At.Add(sweepPause)
	if e.Err == nil || errors.Is(e.Err, submission.ErrNotOwner) {
		return s.forget(e.ID)
	}
	return nil
}

// forget removes the state of a submission that has been deleted.
func (s *state) forget(id string) []effect {
	delete(s.heads, id)
	s.demandsStale = true
	delete(s.orphans, id)
	delete(s.retryAt, id)
	return []effect{removeHead{id}}
}
