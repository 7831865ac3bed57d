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

// Pick chooses the first candidate of the ranking whose load is within Slack of the
// lowest load, and without an affinity key one with the lowest load.
func TestPickFirstWithinSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 12).Draw(t, "loads")
		policy := route.Policy{Slack: float64(rapid.IntRange(0, 6).Draw(t, "slack"))}
		affinity := rapid.StringN(1, 8, -1).Draw(t, "affinity")
		var candidates []route.Candidate
		least := float64(loads[0])
		for i, l := range loads {
			candidates = append(candidates, route.Candidate{Key: fmt.Sprintf("10.0.0.%d:7101", i), Load: float64(l)})
			least = min(least, float64(l))
		}
		var want route.Candidate
		for _, c := range route.Rank(candidates, key, affinity) {
			if c.Load <= least+policy.Slack {
				want = c
				break
			}
		}
		if got := candidates[policy.Pick(candidates, affinity)]; got != want {
			t.Fatalf("Pick(%+v): got %+v, want %+v", candidates, got, want)
		}
		if got := candidates[policy.Pick(candidates, "")]; got.Load != least {
			t.Fatalf("Pick without affinity: got %+v, want a load of %v", got, least)
		}
	})
}

// Pick returns -1 if there are no candidates.
func TestPickEmpty(t *testing.T) {
	if i := (route.Policy{}).Pick(nil, "prefix"); i != -1 {
		t.Fatalf("Pick of no candidates: got %d, want -1", i)
	}
}

// Items rank first for a share of the keys proportional to their weights, and a change
// of one item's weight moves only keys to or from that item.
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
		t.Fatalf("keys by first item of 9000: got %v, want about 1000 for small and 4000 for the others", count)
	}
	weights["small"] = 0.0001
	for key, was := range before {
		if now := first(key); now != was && was != "small" {
			t.Fatalf("key %s moved from %s to %s", key, was, now)
		}
	}
}

// RankOf and WeightedRankOf agree with the order of Rank and RankWeighted.
func TestRankOf(t *testing.T) {
	name := func(s string) string { return s }
	weight := func(s string) float64 { return float64(len(s)) }
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,6}"), 1, 30, rapid.ID[string]).Draw(t, "items")
		key := rapid.StringMatching("[a-z]{0,4}").Draw(t, "key")
		for i, it := range route.Rank(items, name, key) {
			if got := route.RankOf(items, name, key, it); got != i {
				t.Fatalf("RankOf(%q): got %d, want %d", it, got, i)
			}
		}
		for i, it := range route.RankWeighted(items, name, weight, key) {
			if got := route.WeightedRankOf(items, name, weight, key, it); got != i {
				t.Fatalf("WeightedRankOf(%q): got %d, want %d", it, got, i)
			}
		}
	})
}

// Instances of different versions rank alike during an upgrade. Scores must remain those of
// earlier versions.
func TestScoresOfEarlierVersions(t *testing.T) {
	for names, want := range map[[2]string]uint64{{"10.0.1.1:7101", "k"}: 0x7f9d1157b5a4754a, {"i-ea0699445c", "xada67d8ae"}: 0x138e4201dcf71cbf, {"", ""}: 0x25fc6dd36ce04b20} {
		if got := route.HashItem(names[0]).Score(names[1]); got != want {
			t.Errorf("score of %q: got %#x, want %#x", names, got, want)
		}
	}
}
