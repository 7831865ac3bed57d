package node

import (
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

const (
	// sweepMargin is added to the time that submissions are kept: instances'
	// clocks may differ by seconds, and readers be on their way.
	sweepMargin = 30 * time.Second
	// sweepPause is the time between two sweeps of an instance. Each instance
	// sweeps those that rank it first, so that all together keep up with any
	// rate at which submissions are accepted.
	sweepPause = time.Second
)

// sweep deletes a submission that is kept no longer, one at a time: the store
// takes no more objects when it is full.
func (s *state) sweep(now time.Time) []effect {
	if s.keepFor == 0 || s.sweeping || now.Before(s.sweepAt) {
		return nil
	}
	live := s.members.Roster(now, s.name)
	for _, o := range s.heads {
		if o.Open() || s.running[o.ID] || now.Sub(o.AcceptedAt) < s.keepFor+sweepMargin {
			continue
		}
		if ranked := owners(live.Members, submission.Head{Host: o.ID}); len(ranked) == 0 || ranked[0].Name != s.name {
			continue
		}
		s.sweeping = true
		return []effect{sweep{o}}
	}
	s.sweepAt = now.Add(sweepPause)
	return nil
}

// onSwept forgets a submission that is gone: swept here, or by another while its
// history was lost, as the head of one that nobody runs changes no more.
func (s *state) onSwept(e swept) []effect {
	s.sweeping = false
	s.sweepAt = e.At.Add(sweepPause)
	if e.Err == nil || errors.Is(e.Err, submission.ErrNotOwner) {
		return s.forget(e.ID)
	}
	return nil
}

// forget drops what is known of a submission that has been swept.
func (s *state) forget(id string) []effect {
	delete(s.heads, id)
	s.askedAnew = true
	delete(s.orphans, id)
	delete(s.retryAt, id)
	return []effect{dropHead{id}}
}
