package health_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/health"
)

// Guards against a rate that does not follow what is observed: of an upstream that fails one
// request in k it is about 1/k, whatever the interval of its requests and what was observed
// before in any order. It never leaves [0, 1] nor grows by itself; 10 s after the last request
// it is 0, and a failure then counts as one in five.
func TestFailureRates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := health.NewFailureRates(health.FailureRatesConfig{}), time.Unix(1_800_000_000, 0)
		observe := func(failed bool, after time.Duration) {
			now = now.Add(after)
			f.Observe("a", failed, now)
			if rate, later := f.Rates([]string{"a"}, now)[0], f.Rate("a", now.Add(time.Second)); !(rate >= 0 && rate < 1 && later <= rate) {
				t.Fatalf("rate %v, and %v 1 s later", rate, later)
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "before") {
			observe(rapid.Bool().Draw(t, "failed"), time.Duration(rapid.IntRange(-200, 12_000).Draw(t, "ms"))*time.Millisecond)
		}
		gap, k := time.Duration(rapid.IntRange(5, 2000).Draw(t, "gap"))*time.Millisecond, rapid.IntRange(1, 10).Draw(t, "k")
		for i := range max(200, int(30*time.Second/gap)) {
			observe(i%k == 0, gap)
		}
		if rate := f.Rate("a", now) * float64(k); rate < 0.6 || rate > 1.1 {
			t.Fatalf("rate %.2f times 1/%d, want 0.6 to 1.1", rate, k)
		}
		decayed := f.Rate("a", now.Add(10*time.Second))
		if observe(true, 10*time.Second); decayed != 0 || f.Rate("a", now) != 0.2 {
			t.Fatalf("rate %v after 10 s, %v after another failure; want 0 and 0.2", decayed, f.Rate("a", now))
		}
	})
}
