package loadsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// StepLoad is one step of a trainer and the engines that make its texts. Lengths
// are log-normal, and so is what their sender's estimates are off by.
type StepLoad struct {
	Engines      int
	Slots        int // texts that an engine makes at once
	Groups       int
	GroupSize    int     // items of a group
	DesiredShare float64 // part of the groups that the trainer waits for

	EventInterval time.Duration // time of an event of a text
	MedianEvents  float64       // median of a text's events
	EventsSigma   float64       // of their logarithm
	MaxEvents     int
	HintSigma     float64 // spread of the logarithm of estimates

	SlowEngines int
	SlowFactor  float64 // times the time of an event there
	Seed        uint64
}

// CallSummary is a step of the brief's smaller deployment with long texts, at a
// quarter of the engines that would take all its items at once.
var CallSummary = StepLoad{Engines: 3, Slots: 8, Groups: 17, GroupSize: 4, DesiredShare: 0.9, EventInterval: 38 * time.Millisecond, MedianEvents: 17, EventsSigma: 0.84,
	MaxEvents: 171, HintSigma: 0.5, SlowFactor: 1}

// StepPolicy is a way to order a step's items.
type StepPolicy struct {
	Name      string
	UseHints  bool // the sender's estimates are used
	MoveTexts bool // a text goes on at a faster engine when its own is slow
}

// The step policies: the product's, items in the order in which they are listed,
// and texts that stay where they began.
var (
	LongestFirst = StepPolicy{Name: "longest first", UseHints: true, MoveTexts: true}
	AsListed     = StepPolicy{Name: "as listed", MoveTexts: true}
	WithoutMoves = StepPolicy{Name: "staying", UseHints: true}
	StepPolicies = []StepPolicy{LongestFirst, AsListed, WithoutMoves}
)

// StepResult is what the trainer saw of a step.
type StepResult struct {
	Policy      string
	DesiredTime time.Duration // until the groups that it waits for were whole
	AllTime     time.Duration // until all were
	Moves       int           // of texts to another engine
}

// RunStep plays one step under policy p.
func RunStep(load StepLoad, p StepPolicy) StepResult {
	s := newStep(load, p)
	s.place(s.start)
	s.play()
	return StepResult{Policy: p.Name, DesiredTime: s.wholeAfter(int(math.Ceil(load.DesiredShare * float64(load.Groups)))), AllTime: s.wholeAfter(load.Groups), Moves: s.moves}
}

// step is a step under way in simulated time.
type step struct {
	timeline
	load     StepLoad
	start    time.Time
	run      *submission.Run
	policy   StepPolicy
	events   []int // of each item's text
	made     []int // of them, so far
	registry *upstream.Registry
	left     []int           // items of each group that are not whole
	whole    []time.Duration // when groups were, in order
	moves    int
}

const stepModel = "model"

func newStep(load StepLoad, p StepPolicy) *step {
	s := &step{load: load, policy: p, start: time.Unix(1_800_000_000, 0), registry: upstream.NewRegistry("")}
	rnd := rand.New(rand.NewPCG(load.Seed, 2))
	spec := submission.Spec{ID: "step", Model: stepModel, MinVersion: 1}
	for g := range load.Groups {
		s.left = append(s.left, load.GroupSize)
		for i := range load.GroupSize {
			events := min(load.MaxEvents, max(1, int(load.MedianEvents*math.Exp(load.EventsSigma*rnd.NormFloat64()))))
			hint := max(1, int(float64(events)*math.Exp(load.HintSigma*rnd.NormFloat64())))
			if !p.UseHints {
				hint = 0
			}
			s.events = append(s.events, events)
			spec.Items = append(spec.Items, submission.Item{ID: fmt.Sprintf("%d.%d", g, i), Length: hint, Affinity: fmt.Sprint(g)})
		}
	}
	s.run, s.made = submission.NewRun(spec, nil, nil), make([]int, len(spec.Items))
	var entries []upstream.Entry
	for i := range load.Engines {
		entries = append(entries, upstream.Entry{ID: fmt.Sprintf("i-%02d", i), Pool: pool, Address: "10.0.0.1:1", Slots: load.Slots, Versions: map[string]uint64{stepModel: 1}})
	}
	s.registry.Set(entries)
	return s
}

// place starts the items that find room at now, in the order of the run.
func (s *step) place(now time.Time) {
	for _, i := range s.run.Waiting(now) {
		t, ok := s.registry.Acquire(s.want(i, now))
		if !ok {
			return
		}
		s.run.Started(i, now)
		event := s.load.EventInterval
		for slow := range s.load.SlowEngines {
			if t.ID == fmt.Sprintf("i-%02d", slow) {
				event = time.Duration(s.load.SlowFactor * float64(event))
			}
		}
		s.next(now, i, t, event)
	}
}

// want is what item i asks of an engine.
func (s *step) want(i int, now time.Time) upstream.Requirements {
	return upstream.Requirements{Pool: pool, Now: now, Model: stepModel, MinVersion: 1, Affinity: fmt.Sprint(i / s.load.GroupSize), NeedFreeSlot: true}
}

// next has the ticket's engine make the next events of item i, and looks then
// whether the rest is better made elsewhere.
func (s *step) next(now time.Time, i int, t *upstream.Reservation, event time.Duration) {
	n := min(submission.FlushEvents, s.events[i]-s.made[i])
	s.at(now.Add(time.Duration(n)*event), func(now time.Time) {
		p := submission.AttemptOutput{Versions: []uint64{1}, Status: http.StatusOK}
		for range n {
			s.made[i]++
			p.Events = append(p.Events, submission.Event{ID: s.made[i], Version: 1})
		}
		t.Observe(upstream.AttemptResult{At: now, TimePerUnit: event})
		switch {
		case s.made[i] == s.events[i]:
			t.Done(upstream.AttemptResult{At: now, TimePerUnit: event})
			p.Complete = true
			s.run.AttemptEnded(i, p, submission.ItemPolicy{MaxAttempts: 1}, now)
			s.finished(now, i/s.load.GroupSize)
		case s.policy.MoveTexts && t.FasterAvailable(s.want(i, now), submission.SlowEngineFactor):
			s.moves++
			t.Done(upstream.AttemptResult{At: now, TimePerUnit: event})
			s.run.AttemptEnded(i, p, submission.ItemPolicy{MaxAttempts: 1}, now)
			s.place(now)
		default:
			s.run.AddEvents(i, p, submission.ItemPolicy{MaxAttempts: 1})
			s.next(now, i, t, event)
		}
	})
}

// finished tells that an item of a group is whole.
func (s *step) finished(now time.Time, group int) {
	if s.left[group]--; s.left[group] == 0 {
		s.whole = append(s.whole, now.Sub(s.start))
	}
	s.place(now)
}

// wholeAfter returns when n groups were whole.
func (s *step) wholeAfter(n int) time.Duration { return s.whole[n-1] }
