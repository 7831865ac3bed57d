package loadsim_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/loadsim"
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
	load.Time = 6 * time.Second
	at := func(rate float64, p loadsim.Policy) loadsim.Result {
		load.Rate = rate
		return mean(load, p)
	}
	knee := at(1, loadsim.Spread)
	if knee.Goodput < 0.9 {
		t.Fatalf("goodput %.3f at the capacity", knee.Goodput)
	}
	for _, rate := range []float64{1.5, 2, 3, 4} {
		r := at(rate, loadsim.Spread)
		if r.Goodput < 0.97*knee.Goodput || r.Attempts > 2 {
			t.Errorf("goodput %.3f with %.2f attempts each at %.1f times the capacity, %.3f at the knee", r.Goodput, r.Attempts, rate, knee.Goodput)
		}
	}
	if held := at(4, loadsim.Hold); held.Goodput > 0.9*knee.Goodput {
		t.Errorf("goodput %.3f when requests are held: the load does not press", held.Goodput)
	}
}

// Nothing that is turned away untried has been held for longer than a quarter of
// its objective.
func TestRejectsEarly(t *testing.T) {
	load := loadsim.Minho
	load.Rate, load.Time = 3, 3*time.Second
	for _, objective := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, time.Second} {
		load.Objective = objective
		if r := loadsim.Run(load, loadsim.Spread); r.Held > objective/4 {
			t.Errorf("held %v of an objective of %v", r.Held, objective)
		}
	}
}

// After a burst of six times the capacity for 0.3 s, more callers are answered
// when their returns are spread than when all pause for the same time.
func TestSpreadReturnsServeABurst(t *testing.T) {
	load := loadsim.Minho
	load.Time = 4 * time.Second
	load.Burst, load.BurstAt, load.BurstTime = 6, time.Second, 300*time.Millisecond
	spread, constant := mean(load, loadsim.Spread), mean(load, loadsim.Constant)
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
			sums[p.Name] += loadsim.RunStep(load, p).Desired / steps
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
		moving += loadsim.RunStep(load, loadsim.LongestFirst).Desired / steps
		staying += loadsim.RunStep(load, loadsim.Staying).Desired / steps
	}
	t.Logf("the groups waited for are whole after %v, %v when texts stay", moving, staying)
	if moving > staying*8/10 {
		t.Errorf("the groups waited for are whole after %v, %v when texts stay", moving, staying)
	}
}
