package loadsim_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/loadsim"
)

// polling returns the results of the scenarios, by name, without copies and queue: with the
// placement of pools that are not contended, and of those that are.
var polling = sync.OnceValue(func() map[string][]loadsim.Result {
	out := map[string][]loadsim.Result{}
	for _, s := range loadsim.Scenarios() {
		for _, p := range []loadsim.Policy{loadsim.SpreadRetries, loadsim.BySoonest} {
			out[s.Name] = append(out[s.Name], mean(s.Load, p))
		}
	}
	return out
})

// Guards against copies that do not shorten the slowest calls where 3 calls in 100 take 7
// times as long, or that cost callers answers where capacity is short.
func TestHedgedCalls(t *testing.T) {
	t.Parallel()
	for _, s := range loadsim.Scenarios() {
		hedged := mean(s.Load, loadsim.Hedged)
		for _, plain := range polling()[s.Name] {
			t.Logf("%s, %s: answered %.3f, %.3f without copies; p99 %v, %v; %.3f copies a request", s.Name, plain.Policy, hedged.Answered, plain.Answered, hedged.P99, plain.P99, hedged.Copies)
			if s.Load.LongShare > 0 && hedged.P99 > plain.P99*7/10 {
				t.Errorf("%s, %s: p99 %v, %v without copies, want at most 0.7 of it", s.Name, plain.Policy, hedged.P99, plain.P99)
			}
			if hedged.Answered < plain.Answered-0.005 || hedged.Copies > 0.11 {
				t.Errorf("%s, %s: answered %.3f, %.3f without copies, with %.3f copies a request; want no loss and at most one copy in ten", s.Name, plain.Policy, hedged.Answered, plain.Answered, hedged.Copies)
			}
		}
	}
}

// Guards against a queue that costs callers answers, has requests refused by upstreams more
// often than polling, or lets a customer with ten times the others' load take their share.
func TestQueuedRequests(t *testing.T) {
	t.Parallel()
	for _, s := range loadsim.Scenarios() {
		queued := mean(s.Load, loadsim.HedgedQueued)
		for _, polled := range polling()[s.Name] {
			t.Logf("%s, %s: answered %.3f, %.3f with polling; worst second %.3f, %.3f; fairness %.3f, %.3f; attempts %.2f, %.2f", s.Name, polled.Policy, queued.Answered, polled.Answered,
				queued.WorstSecond, polled.WorstSecond, queued.Fairness, polled.Fairness, queued.Attempts, polled.Attempts)
			if queued.Answered < polled.Answered-0.005 || queued.WorstSecond < polled.WorstSecond-0.01 || queued.Attempts > polled.Attempts+0.1 {
				t.Errorf("%s, %s: answered %.3f, %.3f with polling; worst second %.3f, %.3f; attempts %.2f, %.2f; want no loss", s.Name, polled.Policy, queued.Answered, polled.Answered,
					queued.WorstSecond, polled.WorstSecond, queued.Attempts, polled.Attempts)
			}
			if s.Load.HeavyFactor > 0 && queued.Fairness < polled.Fairness+0.1 {
				t.Errorf("%s, %s: fairness %.3f, %.3f with polling, want a gain of 0.1", s.Name, polled.Policy, queued.Fairness, polled.Fairness)
			}
		}
	}
}

// Guards against an upstream, one of six, that fails 40 % of its requests at once or late and
// is sent them like the others, or is not tried again for 10 s. Where the capacity is needed,
// callers must not lose answers because it is avoided.
func TestFailingUpstream(t *testing.T) {
	t.Parallel()
	load := loadsim.Minho
	load.Upstreams, load.Duration, load.FailingUpstreams, load.FailureShare = 6, 12*time.Second, 1, 0.4
	for _, load.FailureTime = range []float64{0, 1} {
		for _, load.Rate = range []float64{0.2, 0.6, 0.9} {
			before, after := mean(load, loadsim.SpreadRetries), mean(load, loadsim.HedgedQueued)
			text := fmt.Sprintf("load %.1f, failures after %.0f of the time: failed attempts per request %.4f, %.4f before; answered %.4f, %.4f; longest gap %v",
				load.Rate, load.FailureTime, after.Failed, before.Failed, after.Answered, before.Answered, after.LongestGap)
			t.Log(text)
			if load.Rate < 0.9 && after.Failed > before.Failed/2 || after.LongestGap > 10*time.Second || after.Answered < before.Answered-0.005 {
				t.Errorf("%s; want half, no loss, at most 10 s", text)
			}
		}
	}
}
