package loadsim_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/loadsim"
)

// inOnePeriod returns ThreeDataCentres for one period of its demand.
func inOnePeriod(rate, swing float64) loadsim.Load {
	load := loadsim.ThreeDataCentres(rate, swing)
	load.Duration = load.DataCentres.Period
	return load
}

// Guards against calls that are sent to another data centre though their own could serve them:
// at half of the capacity, and demand that oscillates by 15 %, at most one in ten is.
func TestFewCallsCross(t *testing.T) {
	t.Parallel()
	r := mean(inOnePeriod(0.5, 0.15), loadsim.HedgedQueued)
	t.Logf("%.3f sent to another data centre, p99 %v", r.CrossShare, r.P99)
	if r.CrossShare > 0.1 || r.Answered < 0.999 {
		t.Errorf("%.3f sent to another data centre, answered %.4f, want at most 0.1 and at least 0.999", r.CrossShare, r.Answered)
	}
}

// Guards against calls that wait for local upstreams while others are idle, and against
// instances that change data centre together: at nine tenths of the capacity, and demand that
// oscillates by 60 %, the slowest in a hundred calls take at most 1.1 times as long as without
// regard to data centres, and in no data centre does the share of the calls that are sent to
// another one change by more than 0.3 from one second to the next.
func TestCallsCrossAtPeaks(t *testing.T) {
	t.Parallel()
	load := inOnePeriod(0.9, 0.6)
	local, ignoring := mean(load, loadsim.HedgedQueued), mean(load, loadsim.IgnoringDataCentres)
	t.Logf("p99 %v, %v without regard to data centres; %.3f sent to another, largest change %.2f", local.P99, ignoring.P99, local.CrossShare, local.CrossChange)
	if local.P99 > ignoring.P99*11/10 || local.CrossShare > ignoring.CrossShare || local.CrossChange > 0.3 {
		t.Errorf("p99 %v, %v without regard to data centres; %.3f sent to another, %.3f without; largest change %.2f; want at most 1.1 times, no more, and at most 0.3", local.P99, ignoring.P99,
			local.CrossShare, ignoring.CrossShare, local.CrossChange)
	}
}

// Guards against calls, and copies of slow ones, that stay in a data centre whose upstreams
// have all become 2.5 times slower: the slowest in a hundred calls take at most 1.1 times as
// long as without regard to data centres.
func TestCallsLeaveSlowDataCentre(t *testing.T) {
	t.Parallel()
	load := inOnePeriod(0.5, 0.15)
	load.DataCentres.SlowFactor, load.DataCentres.SlowFrom, load.DataCentres.SlowUntil = 2.5, 5*time.Second, 7*time.Second
	local, ignoring := mean(load, loadsim.HedgedQueued), mean(load, loadsim.IgnoringDataCentres)
	t.Logf("p99 %v, within the objective %.3f; %v, %.3f without regard to data centres", local.P99, local.WithinObjective, ignoring.P99, ignoring.WithinObjective)
	if local.P99 > ignoring.P99*11/10 || local.Answered < ignoring.Answered-0.001 {
		t.Errorf("p99 %v, answered %.4f; %v, %.4f without regard to data centres; want at most 1.1 times, and no fewer", local.P99, local.Answered, ignoring.P99, ignoring.Answered)
	}
}
