package loadsim_test

import (
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/loadsim"
)

// Guards against copies that do not shorten the slowest calls where 3 calls in 100 take 7
// times as long, or that cost callers answers where capacity is short.
func TestHedgedCalls(t *testing.T) {
	for _, s := range loadsim.Scenarios() {
		plain, hedged := mean(s.Load, loadsim.SpreadRetries), mean(s.Load, loadsim.Hedged)
		t.Logf("%s: answered %.3f, %.3f without copies; p99 %v, %v; %.3f copies a request", s.Name, hedged.Answered, plain.Answered, hedged.P99, plain.P99, hedged.Copies)
		if s.Load.LongShare > 0 && hedged.P99 > plain.P99*7/10 {
			t.Errorf("%s: p99 %v, %v without copies, want at most 0.7 of it", s.Name, hedged.P99, plain.P99)
		}
		if hedged.Answered < plain.Answered-0.005 || hedged.Copies > 0.11 {
			t.Errorf("%s: answered %.3f, %.3f without copies, with %.3f copies a request; want no loss and at most one copy in ten", s.Name, hedged.Answered, plain.Answered, hedged.Copies)
		}
	}
}
