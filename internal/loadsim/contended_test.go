package loadsim_test

import (
	"sync"
	"testing"

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
