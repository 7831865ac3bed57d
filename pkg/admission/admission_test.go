package admission_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/admission"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

func ExampleInFlight() {
	var f admission.InFlight
	limits := []admission.KeyLimit{{Key: "entry:drafts", Limit: 1}, {Key: "customer:minho", Limit: 2}}
	fmt.Println(f.AcquireAll(limits), f.AcquireAll(limits))
	f.ReleaseAll(limits)
	fmt.Println(f.AcquireAll(limits), f.Total("entry:"))
	// Output:
	// -1 0
	// -1 1
}

// No limit is exceeded in any sequence of acquisitions and releases, and a request that
// is refused holds no limit.
func TestLimitsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f admission.InFlight
		limits := map[string]int{"a": 3, "b": 2, "c": 0}
		var held [][]admission.KeyLimit
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				var ps []admission.KeyLimit
				for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID[string]).Draw(t, "keys") {
					ps = append(ps, admission.KeyLimit{Key: k, Limit: limits[k]})
				}
				if f.AcquireAll(ps) < 0 {
					held = append(held, ps)
				}
			},
			"give back": func(*rapid.T) {
				if len(held) > 0 {
					f.ReleaseAll(held[0])
					held = held[1:]
				}
			},
			"": func(t *rapid.T) {
				count := map[string]int64{}
				for _, ps := range held {
					for _, p := range ps {
						count[p.Key]++
					}
				}
				for k, limit := range limits {
					if n := f.Get(k); n != count[k] || limit > 0 && n > int64(limit) {
						t.Fatalf("Get(%q): got %d, want %d and at most the limit of %d", k, n, count[k], limit)
					}
				}
			},
		})
	})
}
