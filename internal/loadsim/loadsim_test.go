package loadsim_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/loadsim"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

const seeds = 5

// mean plays load with some seeds and returns the means of what came out.
func mean(load loadsim.Load, p loadsim.Policy) loadsim.Result {
	return loadsim.Sweep(load, []loadsim.Policy{p}, []float64{load.Rate}, seeds)[0]
}

// Up to four times what the upstreams can serve, as many requests are answered
// as at the knee; an upstream is asked at most twice for each. Requests that are
// held until there is room cost the upstreams what they could serve, which shows
// that the load can tell.
func TestGoodputIsFlatPastTheKnee(t *testing.T) {
	load := loadsim.Minho
	load.Duration = 6 * time.Second
	at := func(rate float64, p loadsim.Policy) loadsim.Result {
		load.Rate = rate
		return mean(load, p)
	}
	knee := at(1, loadsim.SpreadRetries)
	if knee.Goodput < 0.9 {
		t.Fatalf("goodput %.3f at the capacity", knee.Goodput)
	}
	for _, rate := range []float64{1.5, 2, 3, 4} {
		r := at(rate, loadsim.SpreadRetries)
		if r.Goodput < 0.97*knee.Goodput || r.Attempts > 2 {
			t.Errorf("goodput %.3f with %.2f attempts each at %.1f times the capacity, %.3f at the knee", r.Goodput, r.Attempts, rate, knee.Goodput)
		}
	}
	if held := at(4, loadsim.WaitAtInstance); held.Goodput > 0.9*knee.Goodput {
		t.Errorf("goodput %.3f when requests are held: the load does not press", held.Goodput)
	}
}

// Nothing that is turned away untried has been held for longer than a quarter of
// its objective.
func TestRejectsEarly(t *testing.T) {
	load := loadsim.Minho
	load.Rate, load.Duration = 3, 3*time.Second
	for _, objective := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, time.Second} {
		load.LatencyObjective = objective
		if r := loadsim.Run(load, loadsim.SpreadRetries); r.MaxWait > objective/4 {
			t.Errorf("held %v of an objective of %v", r.MaxWait, objective)
		}
	}
}

// After a burst of six times the capacity for 0.3 s, more callers are answered
// when their returns are spread than when all pause for the same time.
func TestSpreadReturnsServeABurst(t *testing.T) {
	load := loadsim.Minho
	load.Duration = 4 * time.Second
	load.BurstRate, load.BurstStart, load.BurstDuration = 6, time.Second, 300*time.Millisecond
	spread, constant := mean(load, loadsim.SpreadRetries), mean(load, loadsim.ConstantBackoff)
	t.Logf("answered %.3f with spread returns, %.3f with constant ones", spread.Answered, constant.Answered)
	if spread.Answered < constant.Answered+0.01 {
		t.Errorf("answered %.3f with spread returns, %.3f with constant ones", spread.Answered, constant.Answered)
	}
}

// A step with three times as many items as places at engines is whole sooner when
// the texts that are expected to be long begin first, though estimates are off by
// a half as often as not.
func TestLongestFirstShortensAStep(t *testing.T) {
	const steps = 200
	sums := map[string]time.Duration{}
	for seed := range uint64(steps) {
		load := loadsim.CallSummary
		load.Seed = seed
		for _, p := range loadsim.StepPolicies {
			sums[p.Name] += loadsim.RunStep(load, p).DesiredTime / steps
		}
	}
	first, listed := sums[loadsim.LongestFirst.Name], sums[loadsim.AsListed.Name]
	t.Logf("the groups waited for are whole after %v, %v as listed", first, listed)
	if first > listed*9/10 {
		t.Errorf("the groups waited for are whole after %v, %v as listed", first, listed)
	}
}

// A step with one engine of three that is four times as slow is whole sooner when
// texts go on at engines that are faster and have room than when they stay.
func TestTextsLeaveASlowEngine(t *testing.T) {
	const steps = 100
	var moving, staying time.Duration
	for seed := range uint64(steps) {
		load := loadsim.CallSummary
		load.Seed, load.SlowEngines, load.SlowFactor = seed, 1, 4
		moving += loadsim.RunStep(load, loadsim.LongestFirst).DesiredTime / steps
		staying += loadsim.RunStep(load, loadsim.WithoutMoves).DesiredTime / steps
	}
	t.Logf("the groups waited for are whole after %v, %v when texts stay", moving, staying)
	if moving > staying*8/10 {
		t.Errorf("the groups waited for are whole after %v, %v when texts stay", moving, staying)
	}
}

// A step at three engines two of which are slow: a text that leaves a slow engine
// goes to the other one, not back to a slow one in the next moment, and the step is
// whole sooner than when texts stay.
func TestTextsDoNotReturnToASlowEngine(t *testing.T) {
	const steps = 50
	var moving, staying time.Duration
	moves, items := 0, 0
	for seed := range uint64(steps) {
		load := loadsim.CallSummary
		load.Seed, load.SlowEngines, load.SlowFactor = seed, 2, 3.2
		r := loadsim.RunStep(load, loadsim.LongestFirst)
		moves += r.Moves
		moving += r.DesiredTime / steps
		staying += loadsim.RunStep(load, loadsim.WithoutMoves).DesiredTime / steps
		items += load.Groups * load.GroupSize
	}
	t.Logf("%.2f moves an item; the groups waited for are whole after %v, %v when texts stay", float64(moves)/float64(items), moving, staying)
	if moves > items/2 || moving > staying*8/10 {
		t.Errorf("%d moves of %d items; whole after %v, %v when texts stay", moves, items, moving, staying)
	}
}

// Half of the upstreams are lost at once while they are needed, and come back
// after two seconds: what the others can serve is served meanwhile, and all of it
// again in the second after they are back.
func TestHalfOfTheUpstreamsLost(t *testing.T) {
	load := loadsim.Minho
	load.Upstreams, load.Rate, load.Duration = 4, 0.45, 8*time.Second
	load.OutageUpstreams, load.OutageStart, load.OutageDuration = 2, 2*time.Second, 2*time.Second
	r := mean(load, loadsim.SpreadRetries)
	if r.Answered < 0.99 || r.WorstSecond < 0.95 || r.WithinObjective < 0.93 {
		t.Errorf("answered %.3f, in the worst second %.3f, in time %.3f, with nine tenths of what is left asked", r.Answered, r.WorstSecond, r.WithinObjective)
	}
}

// All upstreams are lost for a second and come back at once: callers that were
// turned away meanwhile are served after it, and do not overrun them.
func TestAllBackAtOnce(t *testing.T) {
	load := loadsim.Minho
	load.Rate, load.Duration = 0.6, 8*time.Second
	load.OutageUpstreams, load.OutageStart, load.OutageDuration = load.Upstreams, 3*time.Second, time.Second
	spread, constant := mean(load, loadsim.SpreadRetries), mean(load, loadsim.ConstantBackoff)
	t.Logf("worst second %.3f, %.3f with constant returns", spread.WorstSecond, constant.WorstSecond)
	if spread.WorstSecond < constant.WorstSecond || spread.WorstSecond < 0.6 {
		t.Errorf("worst second %.3f, %.3f with constant returns", spread.WorstSecond, constant.WorstSecond)
	}
}

// One upstream of three that takes five times as long costs few callers their
// answer in time, where a third would have it from that one.
func TestOneSlowUpstream(t *testing.T) {
	load := loadsim.Minho
	load.Rate, load.Duration, load.SlowUpstreams, load.SlowFactor = 0.4, 6*time.Second, 1, 5
	if r := mean(load, loadsim.SpreadRetries); r.WithinObjective < 0.9 || r.Answered < 0.99 {
		t.Errorf("in time %.3f, answered %.3f", r.WithinObjective, r.Answered)
	}
}

// Two trainers, one with three times the work of the other, share nine engines:
// dealt by their work, the slower of their steps is whole sooner than when each has
// half.
func TestTrainersOfUnequalSize(t *testing.T) {
	small, large := loadsim.CallSummary, loadsim.CallSummary
	small.GroupSize = 8
	large.GroupSize = 3 * small.GroupSize
	var ids []string
	for i := range 9 {
		ids = append(ids, string(rune('a'+i)))
	}
	parts := weights.AssignEngines(ids, []weights.Demand{{Model: "small", Work: 1}, {Model: "large", Work: 3}})
	slower := func(ofSmall, ofLarge int) time.Duration {
		const steps = 100
		var a, b time.Duration
		for seed := range uint64(steps) {
			small.Seed, large.Seed = seed, seed
			small.Engines, large.Engines = ofSmall, ofLarge
			a += loadsim.RunStep(small, loadsim.LongestFirst).DesiredTime / steps
			b += loadsim.RunStep(large, loadsim.LongestFirst).DesiredTime / steps
		}
		t.Logf("%d and %d engines: whole after %v and %v", ofSmall, ofLarge, a, b)
		return max(a, b)
	}
	dealt, half := slower(len(parts["small"]), len(parts["large"])), slower(4, 5)
	if dealt > half*95/100 {
		t.Errorf("the slower trainer's step is whole after %v, %v with about half of the engines", dealt, half)
	}
}
