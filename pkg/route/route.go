// Package route chooses an upstream for a request: among those about as
// loaded as the least, the one that the request's prefix ranks first, so that
// requests sharing a prompt prefix meet the same few prefix caches.
package route

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Candidate is an upstream that may take a request, with its load: the
// number of requests it is believed to hold, active and queued.
type Candidate struct {
	Key  string // the upstream's address
	Load float64
}

// Policy chooses among candidates. Its zero value chooses the least loaded.
type Policy struct {
	// Slack is how much more loaded than the least loaded candidate one may
	// be and still be chosen for its rank.
	Slack float64
}

// Pick returns the index of the chosen candidate for a request whose
// affinity key is affinity (empty for none), or -1 if cands is empty. When
// the candidate that the key ranks first is busy, the next in rank is chosen,
// so that a key asked for often overflows to the same candidates each time.
func (p Policy) Pick(cands []Candidate, affinity string) int {
	if len(cands) == 0 {
		return -1
	}
	least := 0
	for i, c := range cands {
		if c.Load < cands[least].Load {
			least = i
		}
	}
	if affinity == "" {
		return least
	}
	best, bestScore := least, uint64(0)
	for i, c := range cands {
		if c.Load > cands[least].Load+p.Slack {
			continue
		}
		if sc := score(c.Key, affinity); sc > bestScore {
			best, bestScore = i, sc
		}
	}
	return best
}

// Rendezvous returns the index of the item that key hashes highest with
// (highest random weight hashing), or -1 if items is empty. When an item
// leaves, only the keys that chose it move.
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

// RankWeighted returns items in the order that key ranks them by, as Rank does,
// but so that an item comes first for a share of the keys proportional to its
// weight (weighted rendezvous hashing).
func RankWeighted[T any](items []T, name func(T) string, weight func(T) float64, key string) []T {
	return sortedBy(items, func(it T) float64 { return weightedPlace(name(it), weight(it), key) })
}

// weightedPlace is lower for items that key ranks first.
func weightedPlace(name string, weight float64, key string) float64 {
	const top = 1 << 53 // scores are taken as numbers in (0, 1)
	u := (float64(score(name, key)>>11) + 0.5) / top
	return -math.Log(u) / max(weight, minWeight)
}

// WeightedRankOf returns how many of items come before one as RankWeighted ranks them,
// without ranking all of them.
func WeightedRankOf[T any](items []T, name func(T) string, weight func(T) float64, key string, one T) int {
	at := weightedPlace(name(one), weight(one), key)
	return before(items, func(it T) bool { return weightedPlace(name(it), weight(it), key) < at })
}

// RankOf returns how many of items come before one as Rank ranks them, without ranking
// all of them.
func RankOf[T any](items []T, name func(T) string, key string, one T) int {
	at := score(name(one), key)
	return before(items, func(it T) bool { return score(name(it), key) > at })
}

func before[T any](items []T, precedes func(T) bool) int {
	n := 0
	for _, it := range items {
		if precedes(it) {
			n++
		}
	}
	return n
}

// sortedBy returns items in ascending order of at, which is asked once for each.
func sortedBy[T any, K cmp.Ordered](items []T, at func(T) K) []T {
	type placed struct {
		index int32 // of the item, which may be large
		at    K
	}
	all := make([]placed, len(items))
	for i, it := range items {
		all[i] = placed{int32(i), at(it)}
	}
	slices.SortStableFunc(all, func(a, b placed) int { return cmp.Compare(a.at, b.at) })
	out := make([]T, len(all))
	for i, p := range all {
		out[i] = items[p.index]
	}
	return out
}

// minWeight stands for weights that are not positive.
const minWeight = 1e-3

// Rank returns items in the order that key ranks them by, best first: the
// first is the one Rendezvous chooses.
func Rank[T any](items []T, name func(T) string, key string) []T {
	return sortedBy(items, func(it T) uint64 { return math.MaxUint64 - score(name(it), key) })
}

func score(item, key string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(item))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return mix(h.Sum64())
}

// mix spreads the bits of x (a finaliser of the splitmix64 generator), so
// that nearby hashes give unrelated scores.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
