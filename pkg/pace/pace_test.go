package pace_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/pace"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

var start = time.Unix(1_800_000_000, 0)

// Guards against an estimate that does not follow the observations: upstreams with
// constant times per unit are estimated by these, also after all of them have changed.
// The bound is the difference within which upstreams count as equal.
func TestEstimatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c"}
		tr := pace.New(pace.Config{})
		now := start
		gap := time.Duration(rapid.IntRange(100, 1000).Draw(t, "gap")) * time.Millisecond
		for range 2 {
			times := rapid.SliceOfN(rapid.IntRange(5, 100), len(ids), len(ids)).Draw(t, "ms")
			for range 300 {
				now = now.Add(gap)
				for i, id := range ids {
					tr.Observe(id, time.Duration(times[i])*time.Millisecond, now)
				}
			}
			for i, e := range tr.Estimates(ids, now) {
				if want := time.Duration(times[i]) * time.Millisecond; math.Abs(e.Unit.Seconds()/want.Seconds()-1) > 0.1 {
					t.Fatalf("time per unit of %s: got %v, want about %v", ids[i], e.Unit, want)
				}
			}
		}
	})
}

// Guards against estimates that make every comparison false or that a sender of nonsense
// can push out of range: whatever is observed and reported, they are positive and finite.
func TestEstimatesAreFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c"}
		tr := pace.New(pace.Config{})
		now := start
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(2*time.Minute)).Draw(t, "gap")))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				tr.Report(id, rapid.Float64().Draw(t, "pace"), now)
			case 1:
				tr.Forget(id)
			default:
				tr.Observe(id, time.Duration(rapid.Int64().Draw(t, "unit time")), now)
			}
			for _, e := range tr.Estimates(ids, now) {
				for _, v := range []float64{e.Lasting, e.Passing, e.Error} {
					if !(v > 0) || math.IsInf(v, 0) || e.Unit < 0 {
						t.Fatalf("estimate %+v", e)
					}
				}
			}
		}
	})
}

// Guards against use of a report that cannot be true, and of one that holds no longer.
func TestReports(t *testing.T) {
	for _, c := range []struct {
		pace float64
		age  time.Duration
		want float64
	}{{2.5, 0, 2.5}, {0.5, 0, 0.5}, {2.5, 300 * time.Millisecond, 1.75}, {2.5, 600 * time.Millisecond, 1},
		{0, 0, 1}, {-1, 0, 1}, {101, 0, 1}, {math.NaN(), 0, 1}, {math.Inf(1), 0, 1}} {
		tr := pace.New(pace.Config{})
		tr.Report("a", c.pace, start)
		if got := tr.Estimates([]string{"a"}, start.Add(c.age))[0].Passing; math.Abs(got-c.want) > 1e-9 {
			t.Errorf("passing %v after %v of a report of %v, want %v", got, c.age, c.pace, c.want)
		}
	}
}

// Guards against counting a passing slowdown as lasting: observations made while a slow
// pace is reported do not raise the estimate.
func TestPassingIsNotLasting(t *testing.T) {
	tr := pace.New(pace.Config{})
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		tr.Report("a", 2.5, now)
		tr.Observe("a", 50*time.Millisecond, now)
		tr.Observe("b", 20*time.Millisecond, now)
	}
	if e := tr.Estimates([]string{"a", "b"}, now); math.Abs(e[0].Lasting-1) > 0.01 || e[0].Passing != 2.5 {
		t.Errorf("got %+v, want a lasting pace of 1 and a passing one of 2.5", e[0])
	}
}

// Guards against old estimates: they are kept for a minute without observations, and not
// after that or after Forget.
func TestForgets(t *testing.T) {
	ids := []string{"a", "b"}
	lasting := func(tr *pace.Tracker, after time.Duration) float64 {
		return tr.Estimates(ids, start.Add(after))[0].Lasting
	}
	tr := pace.New(pace.Config{})
	for range 50 {
		tr.Observe("a", 40*time.Millisecond, start)
		tr.Observe("b", 10*time.Millisecond, start)
	}
	if got := lasting(tr, 59*time.Second); got < 1.8 {
		t.Errorf("lasting pace %v after 59 s, want about 2", got)
	}
	if got := lasting(tr, 61*time.Second); got != 1 {
		t.Errorf("lasting pace %v after 61 s, want 1", got)
	}
	tr.Forget("a")
	if e := tr.Estimates(ids, start); e[0].Lasting != 1 || e[0].Error <= e[1].Error {
		t.Errorf("%+v after Forget, want a lasting pace of 1 with a larger error than %v", e[0], e[1].Error)
	}
}

// Guards against a choice by the luck of single calls: with plain calls whose times vary
// by a factor of two, 3 in 100 of them seven times as long, no call changes the estimate
// of an upstream by more than a fifth, and equal upstreams stay about equal.
func TestPlainCallsDoNotJump(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	ids := []string{"a", "b", "c", "d"}
	tr := pace.New(pace.Config{})
	now, last := start, 1.0
	for n := range 2000 {
		for _, id := range ids {
			ms := 80 * math.Exp(0.7*rnd.NormFloat64())
			if rnd.Float64() < 0.03 {
				ms *= 7
			}
			tr.Observe(id, time.Duration(ms*float64(time.Millisecond)), now)
		}
		now = now.Add(time.Second)
		got := tr.Estimates(ids, now)[0].Lasting
		if math.Abs(got/last-1) > 0.2 || got > 1.6 || got < 1/1.6 {
			t.Fatalf("call %d: lasting pace %v after %v", n, got, last)
		}
		last = got
	}
}
