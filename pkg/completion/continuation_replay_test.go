package completion_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
)

// interruption replays a step whose engines hold two versions and load the newer one in turn,
// while an engine with the older one is taken away. Its texts wait for an engine with their
// version or start again at another.
type interruption struct {
	oldEngines, newEngines int           // those that are left
	busy                   float64       // share of the slots of both that are taken
	loadEvery              time.Duration // an engine with the older version begins to load; 0 for none
	medianEvents           float64
	generated              float64 // share of the texts that has been generated at the interruption
}

const (
	replaySlots = 8
	replayEvent = 40 * time.Millisecond
	replayLoad  = 900 * time.Millisecond
	replayTick  = 10 * time.Millisecond
)

// replaySlot is a slot of an engine, free from a time on.
type replaySlot struct {
	free, estimate time.Duration // when its text ends, and is expected to
	old            bool
}

type replayText struct {
	events, generated int
	hint              float64
}

// run returns the mean time from the interruption to the end of its texts, by a rule that tells
// whether a text starts again after a wait.
func (l interruption) run(seed uint64, startsAgain func(completion.Interrupted, time.Time) bool) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 8))
	text := func() (events int, hint float64) {
		events = max(2, int(l.medianEvents*math.Exp(0.85*rnd.NormFloat64())))
		return events, float64(events) * math.Exp(0.5*rnd.NormFloat64())
	}
	var slots []*replaySlot
	for e := range l.oldEngines + l.newEngines {
		for range replaySlots {
			s := &replaySlot{old: e < l.oldEngines}
			if rnd.Float64() < l.busy {
				events, hint := text()
				done := float64(events) * rnd.Float64()
				s.free = time.Duration((float64(events) - done) * float64(replayEvent))
				s.estimate = time.Duration(max(hint-done, hint/3) * float64(replayEvent))
			}
			slots = append(slots, s)
		}
	}
	var texts []replayText
	for range replaySlots {
		events, hint := text()
		texts = append(texts, replayText{events, max(1, int(l.generated*float64(events))), hint})
	}
	start := time.Unix(1_800_000_000, 0)
	var sum time.Duration
	left := len(texts)
	for now := time.Duration(0); left > 0; now += replayTick {
		if n := int(now / replayTick); l.loadEvery > 0 && now > 0 && n%int(l.loadEvery/replayTick) == 0 {
			l.load(slots, now)
		}
		room := time.Duration(math.MaxInt64)
		var free [2]*replaySlot // with the newer version, with the older one
		awaited := false
		for _, s := range slots {
			i := 0
			if s.old {
				i, awaited = 1, true
				room = min(room, max(s.estimate, now))
			}
			if s.free <= now {
				free[i] = s
			}
		}
		for i := range texts {
			t := &texts[i]
			var s *replaySlot
			again := 0
			switch {
			case t.events == 0:
				continue
			case free[1] != nil:
				s, free[1] = free[1], nil
			case free[0] != nil:
				it := completion.Interrupted{Events: t.generated, Left: max(t.hint-float64(t.generated), float64(t.generated)), EventTime: replayEvent, Since: start, Awaited: awaited}
				if awaited {
					it.Room = start.Add(room)
				}
				if !startsAgain(it, start.Add(now)) {
					continue
				}
				s, free[0], again = free[0], nil, t.generated
			default:
				continue
			}
			took := time.Duration(t.events-t.generated+again) * replayEvent
			s.free, s.estimate = now+took, now+took
			sum += now + took
			left--
			t.events = 0
		}
	}
	return sum / time.Duration(len(texts))
}

// load has the first engine with the older version load the newer one once its texts have ended.
func (l interruption) load(slots []*replaySlot, now time.Duration) {
	for e := 0; e+replaySlots <= len(slots); e += replaySlots {
		engine := slots[e : e+replaySlots]
		if !engine[0].old {
			continue
		}
		end := now
		for _, s := range engine {
			end = max(end, s.free)
		}
		for _, s := range engine {
			s.old, s.free, s.estimate = false, end+replayLoad, end+replayLoad
		}
		return
	}
}

// Guards against a rule that is clearly worse than both simple ones, to wait and to start again,
// where either of them is the better one: engines that load in turn while one is taken away.
func TestInterruptedTextsWithLoadsInTurn(t *testing.T) {
	const seeds = 300
	rules := []struct {
		name string
		rule func(completion.Interrupted, time.Time) bool
	}{
		{"waits", func(it completion.Interrupted, _ time.Time) bool { return !it.Awaited }},
		{"starts again", func(completion.Interrupted, time.Time) bool { return true }},
		{"in use", completion.Interrupted.StartsAgain},
	}
	for name, l := range map[string]interruption{
		"free slots":                  {oldEngines: 4, newEngines: 4, busy: 0.4, medianEvents: 20, generated: 0.5},
		"old engines full":            {oldEngines: 2, newEngines: 4, busy: 1, medianEvents: 20, generated: 0.5},
		"long parts":                  {oldEngines: 2, newEngines: 4, busy: 0.95, medianEvents: 40, generated: 0.9},
		"short parts":                 {oldEngines: 1, newEngines: 6, busy: 0.95, medianEvents: 40, generated: 0.1},
		"loads in turn":               {oldEngines: 3, newEngines: 3, busy: 0.9, loadEvery: 300 * time.Millisecond, medianEvents: 20, generated: 0.5},
		"loads in turn, free slots":   {oldEngines: 3, newEngines: 3, busy: 0.5, loadEvery: 300 * time.Millisecond, medianEvents: 20, generated: 0.5},
		"one old engine, about to go": {oldEngines: 1, newEngines: 6, busy: 0.9, loadEvery: 500 * time.Millisecond, medianEvents: 30, generated: 0.7},
	} {
		var mean [3]time.Duration
		for i, r := range rules {
			for seed := range uint64(seeds) {
				mean[i] += l.run(seed, r.rule) / seeds
			}
		}
		t.Logf("%s: waits %v, starts again %v, in use %v", name, mean[0].Round(time.Millisecond), mean[1].Round(time.Millisecond), mean[2].Round(time.Millisecond))
		if best := min(mean[0], mean[1]); float64(mean[2]) > 1.1*float64(best) {
			t.Errorf("%s: texts end after %v, want at most a tenth more than %v", name, mean[2], best)
		}
	}
}
