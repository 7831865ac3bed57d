package loadsim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
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

	LongShare  float64 // share of texts that are LongFactor times as long
	LongFactor float64

	Due         time.Duration // after the start of the step; 0 for not configured
	GiveUpAfter time.Duration // a step of a sequence ends then, whatever is complete

	LostEngines int           // engines that are taken away in the middle of the step
	LostAt      time.Duration // after the start of the step

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

// HardLoad is a step of 18 groups whose hints, spread of lengths and times are those of
// trainers under hard load. WithWork sets the number of its engines.
var HardLoad = StepLoad{Slots: 1, Groups: 18, GroupSize: 8, DesiredShare: 0.9, EventInterval: 40 * time.Millisecond, MedianEvents: 9, EventsSigma: 0.85, MaxEvents: 147,
	HintSigma: 0.5, LongShare: 0.08, LongFactor: 5, SlowFactor: 1, Due: 7500 * time.Millisecond, GiveUpAfter: 12 * time.Second}

// WithWork returns the load with as many engines as generate a part of its mean work
// until it is due: with a ratio of 2, half of it.
func (l StepLoad) WithWork(ratio float64) StepLoad {
	const draws = 100_000
	rnd := rand.New(rand.NewPCG(0, 2))
	events := 0
	for range draws {
		n, _ := l.text(rnd)
		events += n
	}
	work := float64(l.Groups*l.GroupSize*events) / draws * l.EventInterval.Seconds()
	l.Engines = max(1, int(math.Round(work/(ratio*l.Due.Seconds()*float64(l.Slots)))))
	return l
}

// text draws the number of events of a text and its length hint.
func (l StepLoad) text(rnd *rand.Rand) (events, hint int) {
	n := l.MedianEvents * math.Exp(l.EventsSigma*rnd.NormFloat64())
	if l.LongShare > 0 && rnd.Float64() < l.LongShare {
		n *= l.LongFactor
	}
	events = min(l.MaxEvents, max(1, int(n)))
	return events, max(1, int(float64(events)*math.Exp(l.HintSigma*rnd.NormFloat64())))
}

// StepPolicy is a way to order a step's items and to place them at engines.
type StepPolicy struct {
	Name      string
	UseHints  bool // items are ordered by the sender's length hints
	MoveTexts bool // a text continues at a faster engine when its own is slow
	// Order orders the items of a step with a due time; nil for the order of
	// submission.Run.Waiting.
	Order     func(completion.State) []int
	Contended bool // the engines' pool is contended, so that texts are placed and moved by the engines' pace
}

// The step policies: the one in use, one with items in the order in which they are
// listed, and one whose texts stay at the engine where they started. ByCompletion is in
// use where capacity is contended; ShortestGroupFirst starts the groups with the least
// work first, one after the other.
var (
	LongestFirst = StepPolicy{Name: "longest first", UseHints: true, MoveTexts: true}
	AsListed     = StepPolicy{Name: "as listed", MoveTexts: true}
	WithoutMoves = StepPolicy{Name: "staying", UseHints: true}
	StepPolicies = []StepPolicy{LongestFirst, AsListed, WithoutMoves}

	ByCompletion = StepPolicy{Name: "by completion", UseHints: true, MoveTexts: true, Order: func(s completion.State) []int {
		order, _ := completion.Order(s)
		return order
	}}
	ShortestGroupFirst = StepPolicy{Name: "shortest group first", UseHints: true, MoveTexts: true, Order: shortestGroupFirst}
	OrderPolicies      = []StepPolicy{LongestFirst, ShortestGroupFirst, ByCompletion}

	// SoonestFirst places texts by the pace of engines. ByCompletionAndPace also orders them
	// as where capacity is contended.
	SoonestFirst        = StepPolicy{Name: "by pace", UseHints: true, MoveTexts: true, Contended: true}
	ByCompletionAndPace = StepPolicy{Name: "by completion and pace", UseHints: true, MoveTexts: true, Order: ByCompletion.Order, Contended: true}
)

func shortestGroupFirst(s completion.State) []int {
	work := func(g completion.Group) (sum float64) {
		for _, it := range g.Items {
			sum += it.Left
		}
		return sum
	}
	slices.SortStableFunc(s.Groups, func(a, b completion.Group) int { return cmp.Compare(work(a), work(b)) })
	var out []int
	for _, g := range s.Groups {
		slices.SortStableFunc(g.Items, func(a, b completion.Item) int { return cmp.Compare(b.Left, a.Left) })
		for _, it := range g.Items {
			if !it.Running {
				out = append(out, it.Index)
			}
		}
	}
	return out
}

// StepResult is the outcome of a step.
type StepResult struct {
	Policy      string
	DesiredTime time.Duration // time until the groups that the trainer waits for were complete
	AllTime     time.Duration // time until all groups were complete
	InTime      int           // groups complete by the due time
	Moves       int           // times that a text was moved to another engine
}

// desired returns the number of groups that the trainer waits for.
func (l StepLoad) desired() int { return int(math.Ceil(l.DesiredShare * float64(l.Groups))) }

// RunStep simulates one step under policy p, at an owner that knows how long texts take.
func RunStep(load StepLoad, p StepPolicy) StepResult {
	var e completion.Estimator
	e.ObserveAttempt(1, load.EventInterval)
	e.ObserveText(1, 1)
	s := newSingleStep(load, p, &e)
	if load.Second {
		first := load
		first.Seed += firstStepSeed
		before := newSingleStep(first, p, &e)
		before.simulate()
		s.registry, s.start = before.registry, before.start.Add(before.completeAfter(load.Groups)+trainingTime)
	}
	s.simulate()
	return StepResult{Policy: p.Name, DesiredTime: s.completeAfter(load.desired()), AllTime: s.completeAfter(load.Groups), InTime: s.completeBy(load.Due), Moves: s.moves}
}

// firstStepSeed is added to the seed of a step for the step before it, and trainingTime
// is the time between the two.
const (
	firstStepSeed = 1 << 32
	trainingTime  = time.Second
)

// newSingleStep returns a step of new groups at its start, without events.
func newSingleStep(load StepLoad, p StepPolicy, e *completion.Estimator) *step {
	return newStep(load, p, newGroups(load, rand.New(rand.NewPCG(load.Seed, 2)), 0, load.Groups), e)
}

// stepGroup is a group of a step.
type stepGroup struct {
	id      int
	carried bool // it was in the previous step
	texts   []text
}

type text struct {
	events, hint int
	generated    int // events that an earlier step has generated
}

// newGroups returns n groups with IDs from first on.
func newGroups(load StepLoad, rnd *rand.Rand, first, n int) []stepGroup {
	groups := make([]stepGroup, n)
	for g := range groups {
		groups[g].id = first + g
		for range load.GroupSize {
			events, hint := load.text(rnd)
			groups[g].texts = append(groups[g].texts, text{events: events, hint: hint})
		}
	}
	return groups
}

// step simulates a step.
type step struct {
	timeline
	load       StepLoad
	start      time.Time
	run        *submission.Run
	estimator  *completion.Estimator
	policy     StepPolicy
	groups     []stepGroup
	group      []int                   // group of each item
	events     []int                   // number of events of each item's text
	hints      []int                   // length hint of each item, 0 for none
	generated  []int                   // events generated so far, by item
	attempts   []int                   // attempts ended, by item
	inFlight   []*upstream.Reservation // by item; nil for none
	movedAt    []time.Time             // last move by pace, by item; zero for none
	registry   *upstream.Registry
	machines   machines
	remaining  []int           // items not yet complete, by group
	completeAt []time.Duration // times after the start at which groups were complete, in order
	moves      int
	done       func() bool   // whether the trainer ends the step; nil for never
	endedAfter time.Duration // 0 until the trainer ends the step
}

// simulate runs the step to its end.
func (s *step) simulate() {
	if s.load.LostEngines > 0 {
		s.schedule(s.start.Add(s.load.LostAt), s.loseEngines)
	}
	s.place(s.start)
	s.runEvents()
}

// loseEngines takes engines away. Their texts continue elsewhere.
func (s *step) loseEngines(now time.Time) {
	var ids []string
	for i := range s.load.LostEngines {
		ids = append(ids, upstreamID(i))
	}
	s.registry.Apply(upstream.Changes{Removed: ids})
	for i, rsv := range s.inFlight {
		if rsv != nil && slices.Contains(ids, rsv.ID) {
			s.endAttempt(now, i, submission.AttemptOutput{})
		}
	}
	s.schedule(now.Add(lossDelay), s.place)
}

// lossDelay is longer than the delay after which submission.Run repeats an attempt
// without events.
const lossDelay = 60 * time.Millisecond

// endAttempt ends the attempt at item i.
func (s *step) endAttempt(now time.Time, i int, out submission.AttemptOutput) {
	s.inFlight[i].Done(upstream.AttemptResult{At: now})
	s.inFlight[i] = nil
	s.attempts[i]++
	s.run.AttemptEnded(i, out, submission.ItemPolicy{MaxAttempts: 1}, now)
}

// stepModel is the model of the step.
const stepModel = "model"

// newStep returns a step of groups at its start, without events.
func newStep(load StepLoad, p StepPolicy, groups []stepGroup, e *completion.Estimator) *step {
	s := &step{load: load, policy: p, start: time.Unix(1_800_000_000, 0), registry: upstream.NewRegistry(""), groups: groups, estimator: e}
	s.machines = machines{Machines: load.Machines, seed: load.Seed, start: s.start}
	s.registry.SetContended(p.Contended)
	spec := submission.Spec{ID: "step", Model: stepModel, MinVersion: 1, Desired: load.desired()}
	var partials []submission.PartialText
	for g, group := range groups {
		s.remaining = append(s.remaining, len(group.texts))
		for i, t := range group.texts {
			id, name := fmt.Sprintf("%d.%d", group.id, i), fmt.Sprint(group.id)
			it := submission.Item{ID: id, Group: name, Affinity: name}
			if p.UseHints {
				it.Length = t.hint
			}
			s.hints = append(s.hints, it.Length)
			spec.Items = append(spec.Items, it)
			s.group, s.events, s.generated = append(s.group, g), append(s.events, t.events), append(s.generated, t.generated)
			if t.generated > 0 {
				partials = append(partials, submission.PartialText{Item: id, Text: make([]string, t.generated), After: t.generated, Versions: []uint64{1}})
			}
		}
	}
	s.run = submission.NewRun(spec, nil, partials)
	s.run.UseEstimator(e)
	s.attempts, s.inFlight, s.movedAt = make([]int, len(spec.Items)), make([]*upstream.Reservation, len(spec.Items)), make([]time.Time, len(spec.Items))
	var entries []upstream.Entry
	for i := range load.Engines {
		entries = append(entries, upstream.Entry{ID: upstreamID(i), Pool: pool, Address: "10.0.0.1:1", Slots: load.Slots, Versions: map[string]uint64{stepModel: 1}})
	}
	s.registry.Set(entries)
	return s
}

// waiting returns the items that may start now, in the order of the policy.
func (s *step) waiting(now time.Time) []int {
	if s.policy.Order == nil {
		return s.run.Waiting(now)
	}
	state, known := s.run.StepState(now, s.start.Add(s.load.Due), s.registry.Slots(s.requirements(0, now)))
	if !known {
		return s.run.Waiting(now)
	}
	for g := range state.Groups {
		state.Groups[g].Carried = s.groups[s.group[state.Groups[g].Items[0].Index]].carried
	}
	return slices.DeleteFunc(s.policy.Order(state), func(i int) bool { return !s.run.Ready(i, now) })
}

// place starts items while there is a free slot.
func (s *step) place(now time.Time) {
	if s.endedAfter > 0 {
		return
	}
	for _, i := range s.waiting(now) {
		rsv, ok := s.registry.Acquire(s.requirements(i, now))
		if !ok {
			return
		}
		s.begin(now, i, rsv)
	}
}

// begin begins an attempt at item i at the reserved engine. The header of its response
// tells the pace of the engine's machine. The engine reads a part of the text first.
func (s *step) begin(now time.Time, i int, rsv *upstream.Reservation) {
	s.run.Started(i, now)
	s.inFlight[i] = rsv
	if s.policy.Contended {
		rsv.Observe(upstream.AttemptResult{At: now, Load: &upstream.Load{Slots: s.load.Slots, Pace: s.machines.passing(rsv.ID, now)}})
	}
	delay := time.Duration(0)
	if s.generated[i] > 0 {
		delay = submission.RereadTime
	}
	s.next(now.Add(delay), i)
}

// interval returns how long the next event takes at an engine.
func (s *step) interval(id string, now time.Time) time.Duration {
	interval := float64(s.load.EventInterval) * s.machines.pace(id, now)
	for slow := range s.load.SlowEngines {
		if id == upstreamID(slow) {
			interval *= s.load.SlowFactor
		}
	}
	return time.Duration(interval)
}

// requirements returns what item i requires of an engine.
func (s *step) requirements(i int, now time.Time) upstream.Requirements {
	length := s.run.Length(i)
	return upstream.Requirements{Pool: pool, Now: now, Model: stepModel, MinVersion: 1, Affinity: fmt.Sprint(s.groups[s.group[i]].id), NeedFreeSlot: true,
		Work: length.Work, Units: length.MeanEvents}
}

// next schedules the next events of item i at its engine, which begins them at a time.
// After them it ends the item, moves it if another engine is faster, or goes on here.
func (s *step) next(begin time.Time, i int) {
	n := min(submission.FlushEvents, s.events[i]-s.generated[i])
	at := begin
	for range n {
		at = at.Add(s.interval(s.inFlight[i].ID, at))
	}
	interval := at.Sub(begin) / time.Duration(n)
	attempt := s.attempts[i]
	s.schedule(at, func(now time.Time) {
		if s.attempts[i] != attempt || s.endedAfter > 0 {
			return
		}
		out := submission.AttemptOutput{Versions: []uint64{1}, Status: http.StatusOK}
		for range n {
			s.generated[i]++
			out.Events = append(out.Events, submission.Event{ID: s.generated[i], Version: 1})
		}
		s.inFlight[i].Observe(upstream.AttemptResult{At: now, TimePerUnit: interval})
		if s.generated[i] == s.events[i] {
			out.Complete = true
			s.endAttempt(now, i, out)
			s.finished(now, s.group[i])
			return
		}
		leaves, reserved := s.leaves(now, i)
		if !leaves {
			s.run.AddEvents(i, out, submission.ItemPolicy{MaxAttempts: 1})
			s.next(now, i)
			return
		}
		s.moves++
		s.endAttempt(now, i, out)
		if reserved != nil {
			s.movedAt[i] = now
			s.begin(now, i, reserved)
		}
		s.place(now)
	})
}

// leaves reports whether item i leaves its engine for a faster one. In a contended pool a
// slot is reserved for it there.
func (s *step) leaves(now time.Time, i int) (bool, *upstream.Reservation) {
	rsv, req := s.inFlight[i], s.requirements(i, now)
	switch {
	case !s.policy.MoveTexts:
		return false, nil
	case !s.policy.Contended:
		return s.load.enginesDiffer() && rsv.FasterAvailable(req, submission.SlowEngineFactor), nil
	case now.Sub(s.movedAt[i]) < submission.MoveInterval:
		return false, nil
	}
	req.Work, req.Units = 0, submission.EventsLeft(float64(s.hints[i])*s.estimator.EventsPerUnit(), s.generated[i])
	reserved, ok := rsv.AcquireSooner(req, submission.RereadTime)
	return ok, reserved
}

// enginesDiffer reports whether some engines are slower than others.
func (l StepLoad) enginesDiffer() bool {
	return l.SlowEngines > 0 || len(l.Machines.Speeds) > 0 || l.Machines.SlowShare > 0
}

// finished records that an item of a group is complete.
func (s *step) finished(now time.Time, group int) {
	if s.remaining[group]--; s.remaining[group] == 0 {
		s.completeAt = append(s.completeAt, now.Sub(s.start))
		if s.done != nil && s.done() {
			s.endedAfter = now.Sub(s.start)
		}
	}
	s.place(now)
}

// completeAfter returns the time after which n groups were complete.
func (s *step) completeAfter(n int) time.Duration { return s.completeAt[n-1] }

// completeBy returns the number of groups that were complete at a time after the start.
func (s *step) completeBy(after time.Duration) int {
	n, _ := slices.BinarySearch(s.completeAt, after+1)
	return n
}
