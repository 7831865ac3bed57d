package step

import (
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// Policy says how a Run treats stragglers.
type Policy struct {
	// MaxRunning is how many generations run at once.
	MaxRunning int
	// HedgeFactor is how many times the median duration a generation may
	// take before a second one of the same item is started; 0 for never.
	HedgeFactor float64
	// HedgeAfter is how many generations must have ended before their
	// median is trusted; a quarter of the shard is enough in any case.
	HedgeAfter int
	// RetryDelay is the pause before a failed generation is started again.
	RetryDelay time.Duration
}

// Item names one generation of a step.
type Item struct {
	Group int // index into Spec.Groups
	Index int // 0 to the group's size
}

// Attempt is one try at an Item.
type Attempt struct {
	Item
	Number int // unique within the Run
}

// Event is something a Run is told.
type Event interface{ isRunEvent() }

type (
	// Tick tells the time.
	Tick struct{ At time.Time }
	// AttemptEnded tells how an attempt ended: with a sample if Err is nil.
	AttemptEnded struct {
		Attempt
		Sample trainer.Sample
		Err    error
		At     time.Time
	}
	// Recorded tells that a group's delivery is recorded.
	Recorded struct{ Group int }
	// Acked tells that the trainer holds a recorded group.
	Acked struct{ Group int }
	// Refused tells that the trainer turned a recorded group away as too
	// old: it is generated again.
	Refused struct{ Group int }
	// RecordFailed tells that recording a group's delivery failed, and that
	// it should be tried again at RetryAt.
	RecordFailed struct {
		Group   int
		RetryAt time.Time
	}
	// MinVersionRaised tells the oldest weight version a sample may have now. Samples
	// of older versions that are not yet delivered are generated again.
	MinVersionRaised struct{ Version uint64 }
)

func (Tick) isRunEvent()             {}
func (AttemptEnded) isRunEvent()     {}
func (Recorded) isRunEvent()         {}
func (Acked) isRunEvent()            {}
func (Refused) isRunEvent()          {}
func (RecordFailed) isRunEvent()     {}
func (MinVersionRaised) isRunEvent() {}

// Effect is something a Run asks for.
type Effect interface{ isRunEffect() }

type (
	// Start asks for an attempt to be started.
	Start struct{ Attempt }
	// Cancel asks for an attempt to be given up; it reports Ended no more.
	Cancel struct{ Attempt }
	// Deliver asks for a complete group to be recorded and delivered.
	Deliver struct {
		Group   int
		Samples []trainer.Sample
	}
)

func (Start) isRunEffect()   {}
func (Cancel) isRunEffect()  {}
func (Deliver) isRunEffect() {}

// running is an attempt under way.
type running struct {
	Attempt
	startedAt time.Time
}

// groupState is where a group stands.
type groupState int

const (
	generating groupState = iota
	recording             // complete, its delivery being recorded
	recorded              // its delivery under way
	acked                 // held by the trainer
)

// group is one group of a Run.
type group struct {
	index   int
	state   groupState
	samples []*trainer.Sample // by item; nil until generated
	retryAt []time.Time       // by item: not started before
	record  time.Time         // not recorded before
}

func (g *group) complete() bool {
	return !slices.Contains(g.samples, nil)
}

// dropOlder drops the samples that a version before floor produced, so that
// they are generated again.
func (g *group) dropOlder(floor uint64) {
	for i, s := range g.samples {
		if s != nil && tooOld(*s, floor) {
			g.samples[i] = nil
		}
	}
}

// Run is the progress of one shard of a step, owned by one goroutine.
type Run struct {
	policy    Policy
	groups    []*group
	running   []running
	durations []time.Duration // of attempts that gave a sample, sorted
	floor     uint64
	attempts  int
	items     int // of all groups
}

// NewRun returns the run of the groups with the given indexes of s, as far as
// done says.
func NewRun(s Spec, indexes []int, done Progress, p Policy) *Run {
	r := &Run{policy: p}
	for _, i := range indexes {
		g := &group{index: i, samples: make([]*trainer.Sample, s.Groups[i].Size), retryAt: make([]time.Time, s.Groups[i].Size)}
		switch {
		case slices.Contains(done.Acked, i):
			g.state = acked
		case slices.Contains(done.Recorded, i):
			g.state = recorded
		}
		r.groups = append(r.groups, g)
		r.items += s.Groups[i].Size
	}
	return r
}

// Done reports whether the trainer holds every group.
func (r *Run) Done() bool {
	return !slices.ContainsFunc(r.groups, func(g *group) bool { return g.state != acked })
}

// Reduce applies ev and returns what to do.
func (r *Run) Reduce(ev Event) []Effect {
	switch e := ev.(type) {
	case Tick:
		return r.onTick(e.At)
	case AttemptEnded:
		return r.onEnded(e)
	case Recorded:
		r.group(e.Group).state = recorded
	case Acked:
		r.group(e.Group).state = acked
	case Refused:
		g := r.group(e.Group)
		g.state = generating
		clear(g.samples)
	case RecordFailed:
		g := r.group(e.Group)
		g.state, g.record = generating, e.RetryAt
		g.dropOlder(r.floor) // the floor may have risen meanwhile
	case MinVersionRaised:
		r.raiseFloor(e.Version)
	}
	return nil
}

func (r *Run) group(index int) *group {
	return r.groups[slices.IndexFunc(r.groups, func(g *group) bool { return g.index == index })]
}

func (r *Run) onTick(now time.Time) []Effect {
	effs := r.deliverable(now)
	effs = append(effs, r.startMissing(now)...)
	return append(effs, r.hedge(now)...)
}

// deliverable asks for the delivery of complete groups.
func (r *Run) deliverable(now time.Time) []Effect {
	var effs []Effect
	for _, g := range r.groups {
		if g.state != generating || !g.complete() || now.Before(g.record) {
			continue
		}
		g.state = recording
		d := Deliver{Group: g.index}
		for _, s := range g.samples {
			d.Samples = append(d.Samples, *s)
		}
		effs = append(effs, d)
	}
	return effs
}

// startMissing starts items that have no sample and no attempt under way,
// in the order of groups, so that early groups complete first.
func (r *Run) startMissing(now time.Time) []Effect {
	var effs []Effect
	for _, g := range r.groups {
		if g.state != generating {
			continue
		}
		for i, s := range g.samples {
			if len(r.running) >= r.policy.MaxRunning {
				return effs
			}
			it := Item{Group: g.index, Index: i}
			if s == nil && !now.Before(g.retryAt[i]) && r.tries(it) == 0 {
				effs = append(effs, r.start(it, now))
			}
		}
	}
	return effs
}

// hedge starts a second attempt of items that take far longer than most,
// the longest first, while there is room.
func (r *Run) hedge(now time.Time) []Effect {
	if r.policy.HedgeFactor <= 0 || len(r.durations) < max(1, min(r.policy.HedgeAfter, r.items/4)) {
		return nil
	}
	limit := time.Duration(r.policy.HedgeFactor * float64(r.durations[len(r.durations)/2]))
	var effs []Effect
	for _, a := range slices.Clone(r.running) { // in the order started
		if len(r.running) >= r.policy.MaxRunning {
			break
		}
		if now.Sub(a.startedAt) > limit && r.tries(a.Item) == 1 {
			effs = append(effs, r.start(a.Item, now))
		}
	}
	return effs
}

func (r *Run) start(it Item, now time.Time) Effect {
	r.attempts++
	a := Attempt{Item: it, Number: r.attempts}
	r.running = append(r.running, running{Attempt: a, startedAt: now})
	return Start{Attempt: a}
}

// tries counts the attempts of it under way.
func (r *Run) tries(it Item) int {
	n := 0
	for _, a := range r.running {
		if a.Item == it {
			n++
		}
	}
	return n
}

// onEnded takes the first sample of an item, and cancels its other attempt.
func (r *Run) onEnded(e AttemptEnded) []Effect {
	i := slices.IndexFunc(r.running, func(a running) bool { return a.Attempt == e.Attempt })
	if i < 0 {
		return nil // cancelled before
	}
	took := e.At.Sub(r.running[i].startedAt)
	r.running = slices.Delete(r.running, i, i+1)
	g := r.group(e.Group)
	if e.Err != nil || tooOld(e.Sample, r.floor) {
		g.retryAt[e.Index] = e.At
		if e.Err != nil {
			g.retryAt[e.Index] = e.At.Add(r.policy.RetryDelay)
		}
		return nil
	}
	r.durations = slices.Insert(r.durations, sortedIndex(r.durations, took), took)
	s := e.Sample
	g.samples[e.Index] = &s
	return r.cancelOthers(e.Item)
}

func (r *Run) cancelOthers(it Item) []Effect {
	var effs []Effect
	r.running = slices.DeleteFunc(r.running, func(a running) bool {
		if a.Item != it {
			return false
		}
		effs = append(effs, Cancel{Attempt: a.Attempt})
		return true
	})
	return effs
}

// raiseFloor drops samples of groups not being recorded that are now too old.
func (r *Run) raiseFloor(version uint64) {
	if version <= r.floor {
		return
	}
	r.floor = version
	for _, g := range r.groups {
		if g.state == generating {
			g.dropOlder(version)
		}
	}
}

func tooOld(s trainer.Sample, floor uint64) bool {
	return s.OldestVersion() == 0 || s.OldestVersion() < floor
}

func sortedIndex(ds []time.Duration, d time.Duration) int {
	i, _ := slices.BinarySearch(ds, d)
	return i
}
