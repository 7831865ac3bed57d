package loadsim

import (
	"math/rand/v2"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
)

// SequenceResult is the outcome of steps of one trainer that follow each other.
type SequenceResult struct {
	StepTime time.Duration // mean time of a step
	InTime   float64       // mean groups complete by the due time
	GivenUp  int           // steps that the trainer gave up
}

// RunSequence simulates steps that follow each other under policy p. Each is as load.
// Groups that are not complete when a step ends, up to half of those that the trainer
// waits for, come first in the next step and continue there; the trainer waits for them.
// The first step runs at an owner that does not know how long texts take.
func RunSequence(load StepLoad, p StepPolicy, steps int) SequenceResult {
	var (
		e       completion.Estimator
		out     SequenceResult
		carried []stepGroup
		rnd     = rand.New(rand.NewPCG(load.Seed, 2))
		id      int
	)
	for range steps {
		added := newGroups(load, rnd, id, load.Groups-len(carried))
		id += len(added)
		s := newStep(load, p, append(carried, added...), &e)
		s.done = s.desiredComplete
		s.schedule(s.start.Add(load.GiveUpAfter), func(time.Time) {
			if s.endedAfter == 0 {
				s.endedAfter = load.GiveUpAfter
				out.GivenUp++
			}
		})
		s.simulate()
		out.StepTime += s.endedAfter / time.Duration(steps)
		out.InTime += float64(s.completeBy(load.Due)) / float64(steps)
		carried = s.incomplete(load.desired() / 2)
	}
	return out
}

// desiredComplete reports whether the groups that the trainer waits for are complete.
func (s *step) desiredComplete() bool {
	for g, group := range s.groups {
		if group.carried && s.remaining[g] > 0 {
			return false
		}
	}
	return len(s.completeAt) >= s.load.desired()
}

// incomplete returns what is left of the first groups that are not complete, at most
// limit of them, for the next step.
func (s *step) incomplete(limit int) []stepGroup {
	var out []stepGroup
	i := 0
	for g, group := range s.groups {
		left := stepGroup{id: group.id, carried: true}
		for _, t := range group.texts {
			if t.generated = s.generated[i]; t.generated < t.events {
				left.texts = append(left.texts, t)
			}
			i++
		}
		if s.remaining[g] > 0 && len(out) < limit {
			out = append(out, left)
		}
	}
	return out
}
