// Package route chooses an upstream for a request: of the upstreams whose load is close
// to the lowest, the one that ranks first for the request's prefix. Requests with a
// common prompt prefix thus use the same few prefix caches.
package route

import (
	"cmp"
	"math"
	"slices"
)

// Candidate is an upstream that may get a request.
type Candidate struct {
	Key  string  // address of the upstream
	Load float64 // requests at the upstream as far as known, active and queued
}

// Policy chooses among candidates. Its zero value chooses one with the lowest load.
type Policy struct {
	// Slack is how much the load of a candidate may exceed the lowest load for the
	// candidate to be chosen by its rank.
	Slack float64
}

// Pick returns the index of the candidate for a request with the given affinity key, or
// -1 if candidates is empty. It chooses the candidate that ranks first for the key
// among those within Slack of the lowest load, so that a frequent key overflows to the
// same candidates each time. An empty key chooses the least loaded candidate.
func (p Policy) Pick(candidates []Candidate, affinity string) int {
	if len(candidates) == 0 {
		return -1
	}
	least := 0
	for i, c := range candidates {
		if c.Load < candidates[least].Load {
			least = i
		}
	}
	if affinity == "" {
		return least
	}
	best, bestScore := least, uint64(0)
	for i, c := range candidates {
		if c.Load > candidates[least].Load+p.Slack {
			continue
		}
		if s := score(c.Key, affinity); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Rendezvous returns the index of the item that ranks first for key (rendezvous
// hashing, also known as highest random weight hashing), or -1 if items is empty. When
// an item is removed, only the keys that chose it change.
func Rendezvous[T any](items []T, name func(T) string, key string) int {
	best, bestScore := -1, uint64(0)
	for i, it := range items {
		s := score(name(it), key)
		if best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// RankWeighted returns items by their rank for key, as Rank does, but each item ranks
// first for a share of the keys that is proportional to its weight (weighted rendezvous
// hashing).
func RankWeighted[T any](items []T, name func(T) string, weight func(T) float64, key string) []T {
	return sortedBy(items, func(it T) float64 { return weightedScore(name(it), weight(it), key) })
}

// weightedScore returns the score of an item for key. Items with a lower score rank
// first.
func weightedScore(name string, weight float64, key string) float64 {
	const top = 1 << 53 // maps hashes to numbers in (0, 1)
	u := (float64(score(name, key)>>11) + 0.5) / top
	return -math.Log(u) / max(weight, minWeight)
}

// WeightedRankOf returns how many of items rank before item for key, as RankWeighted
// ranks them, without sorting.
func WeightedRankOf[T any](items []T, name func(T) string, weight func(T) float64, key string, item T) int {
	own := weightedScore(name(item), weight(item), key)
	return countBefore(items, func(it T) bool { return weightedScore(name(it), weight(it), key) < own })
}

// RankOf returns how many of items rank before item for key, as Rank ranks them,
// without sorting.
func RankOf[T any](items []T, name func(T) string, key string, item T) int {
	own := score(name(item), key)
	return countBefore(items, func(it T) bool { return score(name(it), key) > own })
}

func countBefore[T any](items []T, precedes func(T) bool) int {
	n := 0
	for _, it := range items {
		if precedes(it) {
			n++
		}
	}
	return n
}

// sortedBy returns items in ascending order of their keys. It calls key once for each
// item.
func sortedBy[T any, K cmp.Ordered](items []T, key func(T) K) []T {
	type keyed struct {
		index int32 // of the item, to sort without copying large items
		key   K
	}
	all := make([]keyed, len(items))
	for i, it := range items {
		all[i] = keyed{int32(i), key(it)}
	}
	slices.SortStableFunc(all, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	out := make([]T, len(all))
	for i, p := range all {
		out[i] = items[p.index]
	}
	return out
}

// minWeight replaces smaller weights, which include those that are not positive.
const minWeight = 1e-3

// Rank returns items by their rank for key, best first. The first is the one that
// Rendezvous chooses.
func Rank[T any](items []T, name func(T) string, key string) []T {
	return sortedBy(items, func(it T) uint64 { return math.MaxUint64 - score(name(it), key) })
}

func score(item, key string) uint64 { return HashItem(item).Score(key) }

// ItemHash is the hash of the name of an item, from which its scores are computed.
type ItemHash uint64

// HashItem returns the hash of the name of an item.
func HashItem(name string) ItemHash {
	return ItemHash(fnv1a(fnvOffset, name) * fnvPrime) // the product adds a zero byte
}

// Score returns the item's score for key. For each key, Rank orders items by descending
// score. Scores are the same in all processes.
func (h ItemHash) Score(key string) uint64 { return mix(fnv1a(uint64(h), key)) }

// Parameters of the 64-bit FNV-1a hash. It is not taken from hash/fnv, which cannot
// continue from the hash of a prefix; that saves half of the time where the scores of
// thousands of items are computed for a few keys.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func fnv1a(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix is the finalizer of the splitmix64 generator. It gives similar hashes unrelated
// scores.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
