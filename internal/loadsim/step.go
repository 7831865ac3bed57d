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

// StepLoad describes one training step and the engines that generate its texts. The
// lengths of texts and the errors of the length hints are log-normally distributed.
type StepLoad struct {
	Engines      int
	Slots        int // texts that an engine generates at once
	Groups       int
	GroupSize    int     // items in a group
	DesiredShare float64 // share of the groups that the trainer waits for

	EventInterval time.Duration // time between two events of a text
	MedianEvents  float64       // median number of events of a text
	EventsSigma   float64       // standard deviation of the logarithm of that number
	MaxEvents     int
	HintSigma     float64 // standard deviation of the logarithm of a hint's error; hints are numbers of events

	SlowEngines int
	SlowFactor  float64 // factor on EventInterval at slow engines
	Machines    Machines
	Second      bool // the step follows another of the same load, in which the engines were observed
	Seed        uint64
}

// CallSummary is a step of the trainer of that name with long texts, at about a third
// of the engines that could run all its items at once.
var CallSummary = StepLoad{Engines: 3, Slots: 8, Groups: 17, GroupSize: 4, DesiredShare: 0.9, EventInterval: 38 * time.Millisecond, MedianEvents: 17, EventsSigma: 0.84,
	MaxEvents: 171, HintSigma: 0.5, SlowFactor: 1}

// StepPolicy is a way to order a step's items and to place them at engines.
type StepPolicy struct {
	Name      string
	UseHints  bool // items are ordered by the sender's length hints
	MoveTexts bool // a text continues at a faster engine when its own is slow
	Contended bool // the engines' pool is contended
}

// The step policies: the one in use, one with items in the order in which they are
// listed, and one whose texts stay at the engine where they started.
var (
	LongestFirst = StepPolicy{Name: "longest first", UseHints: true, MoveTexts: true}
	AsListed     = StepPolicy{Name: "as listed", MoveTexts: true}
	WithoutMoves = StepPolicy{Name: "staying", UseHints: true}
	StepPolicies = []StepPolicy{LongestFirst, AsListed, WithoutMoves}
	// SoonestFirst places texts by the pace of engines.
	SoonestFirst = StepPolicy{Name: "by pace", UseHints: true, MoveTexts: true, Contended: true}
)

// StepResult is the outcome of a step.
type StepResult struct {
	Policy      string
	DesiredTime time.Duration // time until the groups that the trainer waits for were complete
	AllTime     time.Duration // time until all groups were complete
	Moves       int           // times that a text was moved to another engine
}

// RunStep simulates one step under policy p.
func RunStep(load StepLoad, p StepPolicy) StepResult {
	s := newStep(load, p)
	if load.Second {
		first := load
		first.Seed += firstStepSeed
		before := newStep(first, p)
		before.play()
		s.registry, s.start = before.registry, before.start.Add(before.completeAfter(load.Groups)+trainingTime)
	}
	s.play()
	return StepResult{Policy: p.Name, DesiredTime: s.completeAfter(load.desired()), AllTime: s.completeAfter(load.Groups), Moves: s.moves}
}

// firstStepSeed is added to the seed of a step for the step before it, and trainingTime
// is the time between the two.
const (
	firstStepSeed = 1 << 32
	trainingTime  = time.Second
)

// play runs the step.
func (s *step) play() {
	s.place(s.start)
	s.runEvents()
}

// step simulates a step.
type step struct {
	timeline
	load       StepLoad
	start      time.Time
	run        *submission.Run
	policy     StepPolicy
	events     []int // number of events of each item's text
	hints      []int // length hints, by item
	generated  []int // events generated so far, by item
	registry   *upstream.Registry
	machines   machines
	remaining  []int           // items not yet complete, by group
	completeAt []time.Duration // times after the start at which groups were complete, in order
	moves      int
}

// stepModel is the model of the step.
const stepModel = "model"

// newStep returns a step at its start, without events.
func newStep(load StepLoad, p StepPolicy) *step {
	s := &step{load: load, policy: p, start: time.Unix(1_800_000_000, 0), registry: upstream.NewRegistry("")}
	s.machines = machines{Machines: load.Machines, seed: load.Seed, start: s.start}
	s.registry.SetContended(p.Contended)
	rnd := rand.New(rand.NewPCG(load.Seed, 2))
	spec := submission.Spec{ID: "step", Model: stepModel, MinVersion: 1}
	for g := range load.Groups {
		s.remaining = append(s.remaining, load.GroupSize)
		for i := range load.GroupSize {
			events := min(load.MaxEvents, max(1, int(load.MedianEvents*math.Exp(load.EventsSigma*rnd.NormFloat64()))))
			hint := max(1, int(float64(events)*math.Exp(load.HintSigma*rnd.NormFloat64())))
			if !p.UseHints {
				hint = 0
			}
			s.events, s.hints = append(s.events, events), append(s.hints, hint)
			spec.Items = append(spec.Items, submission.Item{ID: fmt.Sprintf("%d.%d", g, i), Length: hint, Affinity: fmt.Sprint(g)})
		}
	}
	s.run, s.generated = submission.NewRun(spec, nil, nil), make([]int, len(spec.Items))
	var entries []upstream.Entry
	for i := range load.Engines {
		entries = append(entries, upstream.Entry{ID: fmt.Sprintf("i-%02d", i), Pool: pool, Address: "10.0.0.1:1", Slots: load.Slots, Versions: map[string]uint64{stepModel: 1}})
	}
	s.registry.Set(entries)
	return s
}

// place starts items in the order of the run while there is a free slot.
func (s *step) place(now time.Time) {
	for _, i := range s.run.Waiting(now) {
		rsv, ok := s.registry.Acquire(s.requirements(i, now))
		if !ok {
			return
		}
		s.run.Started(i, now)
		s.begin(now, i, rsv, time.Time{})
	}
}

// begin begins an attempt at item i, which was last moved at movedAt, at the reserved
// engine. The header of its response tells the pace of the engine's machine. The engine
// reads a part of the text first.
func (s *step) begin(now time.Time, i int, rsv *upstream.Reservation, movedAt time.Time) {
	if s.policy.Contended {
		rsv.Observe(upstream.AttemptResult{At: now, Load: &upstream.Load{Slots: s.load.Slots, Pace: s.machines.passing(rsv.ID, now)}})
	}
	if s.generated[i] > 0 {
		s.schedule(now.Add(submission.RereadTime), func(now time.Time) { s.next(now, i, rsv, movedAt) })
		return
	}
	s.next(now, i, rsv, movedAt)
}

// interval returns how long the next event takes at an engine.
func (s *step) interval(id string, now time.Time) time.Duration {
	interval := float64(s.load.EventInterval) * s.machines.pace(id, now)
	for slow := range s.load.SlowEngines {
		if id == fmt.Sprintf("i-%02d", slow) {
			interval *= s.load.SlowFactor
		}
	}
	return time.Duration(interval)
}

// requirements returns what item i requires of an engine.
func (s *step) requirements(i int, now time.Time) upstream.Requirements {
	length := s.run.Length(i)
	return upstream.Requirements{Pool: pool, Now: now, Model: stepModel, MinVersion: 1, Affinity: fmt.Sprint(i / s.load.GroupSize), NeedFreeSlot: true,
		Work: length.Work, Units: length.MeanEvents}
}

// next schedules the next events of item i at the reserved engine. After them it ends
// the item, moves it if a faster engine is available, or goes on here.
func (s *step) next(now time.Time, i int, rsv *upstream.Reservation, movedAt time.Time) {
	n := min(submission.FlushEvents, s.events[i]-s.generated[i])
	at := now
	for range n {
		at = at.Add(s.interval(rsv.ID, at))
	}
	interval := at.Sub(now) / time.Duration(n)
	s.schedule(at, func(now time.Time) {
		out := submission.AttemptOutput{Versions: []uint64{1}, Status: http.StatusOK}
		for range n {
			s.generated[i]++
			out.Events = append(out.Events, submission.Event{ID: s.generated[i], Version: 1})
		}
		rsv.Observe(upstream.AttemptResult{At: now, TimePerUnit: interval})
		complete := s.generated[i] == s.events[i]
		var sooner *upstream.Reservation
		if s.policy.Contended && s.policy.MoveTexts && !complete && now.Sub(movedAt) >= submission.MoveInterval {
			req := s.requirements(i, now)
			req.Work, req.Units = 0, submission.EventsLeft(float64(s.hints[i])*s.run.EventsPerLength(), s.generated[i])
			sooner, _ = rsv.AcquireSooner(req, submission.RereadTime)
		}
		switch {
		case complete:
			rsv.Done(upstream.AttemptResult{At: now, TimePerUnit: interval})
			out.Complete = true
			s.run.AttemptEnded(i, out, submission.ItemPolicy{MaxAttempts: 1}, now)
			s.finished(now, i/s.load.GroupSize)
		case sooner != nil:
			s.moves++
			rsv.Done(upstream.AttemptResult{At: now, TimePerUnit: interval})
			s.run.AttemptEnded(i, out, submission.ItemPolicy{MaxAttempts: 1}, now)
			s.run.Started(i, now)
			s.begin(now, i, sooner, now)
			s.place(now)
		case !s.policy.Contended && s.policy.MoveTexts && rsv.FasterAvailable(s.requirements(i, now), submission.SlowEngineFactor):
			s.moves++
			rsv.Done(upstream.AttemptResult{At: now, TimePerUnit: interval})
			s.run.AttemptEnded(i, out, submission.ItemPolicy{MaxAttempts: 1}, now)
			s.place(now)
		default:
			s.run.AddEvents(i, out, submission.ItemPolicy{MaxAttempts: 1})
			s.next(now, i, rsv, movedAt)
		}
	})
}

// finished records that an item of a group is complete.
func (s *step) finished(now time.Time, group int) {
	if s.remaining[group]--; s.remaining[group] == 0 {
		s.completeAt = append(s.completeAt, now.Sub(s.start))
	}
	s.place(now)
}

// completeAfter returns the time after which n groups were complete.
func (s *step) completeAfter(n int) time.Duration { return s.completeAt[n-1] }
