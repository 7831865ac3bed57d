package route_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/route"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

func key(c route.Candidate) string { return c.Key }

// TestPickIsFirstInRankWithinSlack checks Pick against the ranking: the first
// candidate in rank that is within the slack of the least loaded is chosen.
func TestPickIsFirstInRankWithinSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 12).Draw(t, "loads")
		policy := route.Policy{Slack: float64(rapid.IntRange(0, 6).Draw(t, "slack"))}
		affinity := rapid.StringN(1, 8, -1).Draw(t, "affinity")
		var cands []route.Candidate
		least := float64(loads[0])
		for i, l := range loads {
			cands = append(cands, route.Candidate{Key: fmt.Sprintf("10.0.0.%d:7101", i), Load: float64(l)})
			least = min(least, float64(l))
		}
		var want route.Candidate
		for _, c := range route.Rank(cands, key, affinity) {
			if c.Load <= least+policy.Slack {
				want = c
				break
			}
		}
		if got := cands[policy.Pick(cands, affinity)]; got != want {
			t.Fatalf("picked %+v, want %+v of %+v", got, want, cands)
		}
		if got := cands[policy.Pick(cands, "")]; got.Load != least {
			t.Fatalf("picked %+v without affinity, want a load of %v", got, least)
		}
	})
}

// TestPickOfNone checks that there is nothing to pick from nothing.
func TestPickOfNone(t *testing.T) {
	if i := (route.Policy{}).Pick(nil, "prefix"); i != -1 {
		t.Fatalf("picked %d of no candidates", i)
	}
}

// Items come first for a share of the keys proportional to their weights, and a
// weight that changes moves only the keys of its own item.
func TestRankWeighted(t *testing.T) {
	weights := map[string]float64{"small": 1, "large": 4, "other": 4}
	items := []string{"small", "large", "other"}
	first := func(key string) string {
		return route.RankWeighted(items, func(s string) string { return s }, func(s string) float64 { return weights[s] }, key)[0]
	}
	count, before := map[string]int{}, map[string]string{}
	for i := range 9000 {
		key := fmt.Sprint(i)
		before[key] = first(key)
		count[before[key]]++
	}
	if count["small"] < 800 || count["small"] > 1200 || count["large"] < 3700 || count["other"] < 3700 {
		t.Fatal(count)
	}
	weights["small"] = 0.0001
	for key, was := range before {
		if now := first(key); now != was && was != "small" {
			t.Fatalf("key %s moved from %s to %s", key, was, now)
		}
	}
}

// What comes before an item is what its rank tells.
func TestBeforeIsTheRank(t *testing.T) {
	name := func(s string) string { return s }
	weight := func(s string) float64 { return float64(len(s)) }
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 30, rapid.ID[string]).Draw(t, "items")
		key := rapid.StringMatching("[a-z]{0,4}").Draw(t, "key")
		for i, it := range route.Rank(items, name, key) {
			if got := route.RankOf(items, name, key, it); got != i {
				t.Fatalf("%d before %q, which is at %d", got, it, i)
			}
		}
		for i, it := range route.RankWeighted(items, name, weight, key) {
			if got := route.WeightedRankOf(items, name, weight, key, it); got != i {
				t.Fatalf("%d before %q by weight, which is at %d", got, it, i)
			}
		}
	})
}
