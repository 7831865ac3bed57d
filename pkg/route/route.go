// Package route chooses an upstream for a request: the least loaded among
// those allowed, preferring the one a request's prefix hashes to, so that
// requests sharing a prompt prefix meet the same prefix cache.
package route

import (
	"cmp"
	"hash/fnv"
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
	// Slack is how much more loaded than the least loaded candidate the
	// affine candidate may be and still be chosen.
	Slack float64
}

// Pick returns the index of the chosen candidate for a request whose
// affinity key is affinity (empty for none), or -1 if cands is empty.
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
	affine := Rendezvous(cands, func(c Candidate) string { return c.Key }, affinity)
	if cands[affine].Load <= cands[least].Load+p.Slack {
		return affine
	}
	return least
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

// Rank returns items in the order that key ranks them by, best first: the
// first is the one Rendezvous chooses.
func Rank[T any](items []T, name func(T) string, key string) []T {
	ranked := slices.Clone(items)
	slices.SortFunc(ranked, func(a, b T) int { return cmp.Compare(score(name(b), key), score(name(a), key)) })
	return ranked
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
