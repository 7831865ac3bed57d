package upstream_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 1000) }

// allocated returns the mean number of bytes that a call of f allocates.
func allocated(f func(i int)) float64 {
	const calls = 50
	var before, after runtime.MemStats
	f(0) // allocations made only once
	runtime.ReadMemStats(&before)
	for i := range calls {
		f(i + 1)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / calls
}

// engines returns n engines of a pool.
func engines(n int) []upstream.Entry {
	es := make([]upstream.Entry, n)
	for i := range es {
		es[i] = upstream.Entry{ID: fmt.Sprintf("i-%05d", i), Pool: "p", Address: "10.0.0.1:1", Slots: 6, DataCentre: "z1", Versions: map[string]uint64{"m": 3}}
	}
	return es
}

// A change of an entry must cost the same among 1,000 upstreams as among 10,000, and so
// must a request for a model that is assigned some of them.
func TestCostIndependentOfUpstreamCount(t *testing.T) {
	change, request := map[int]float64{}, map[int]float64{}
	for _, n := range []int{1000, 10_000} {
		r := upstream.NewRegistry("z1")
		es := engines(n)
		r.Set(es)
		change[n] = allocated(func(i int) {
			e := es[i]
			e.Draining = i%2 == 0
			r.Apply(upstream.Changes{Updated: []*upstream.Entry{&e}})
		})
		part := make([]string, 40)
		for i := range part {
			part[i] = es[i*7].ID
		}
		r.SetAssignments(map[string][]string{"m": part})
		request[n] = allocated(func(int) {
			res, ok := r.Acquire(upstream.Requirements{Pool: "p", Model: "m", MinVersion: 3, Now: baseTime()})
			if !ok {
				t.Fatal("Acquire found no usable upstream")
			}
			res.Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: time.Millisecond})
		})
	}
	t.Logf("bytes allocated, by number of upstreams: per change %v, per request %v", change, request)
	for what, by := range map[string]map[int]float64{"a change": change, "a request": request} {
		if by[10_000] > 1.5*by[1000]+100 {
			t.Errorf("%s allocates %.0f bytes among 1,000 upstreams and %.0f among 10,000, want about as many", what, by[1000], by[10_000])
		}
	}
}

// A registry to which changes are applied must hold the same as one that is given all
// entries anew, for any sequence of changes.
func TestApplyMatchesSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updated, replaced := upstream.NewRegistry("z1"), upstream.NewRegistry("z1")
		current := map[string]upstream.Entry{}
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			var c upstream.Changes
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				e := upstream.Entry{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
					Address: "10.0.0.1:1", Slots: rapid.IntRange(1, 2).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining"), Born: rapid.Int64Range(1, 2).Draw(t, "born")}
				if rapid.Bool().Draw(t, "gone") {
					c.Removed = append(c.Removed, e.ID)
					c.Updated = slices.DeleteFunc(c.Updated, func(p *upstream.Entry) bool { return p.ID == e.ID })
					delete(current, e.ID)
					continue
				}
				c.Removed = slices.DeleteFunc(c.Removed, func(id string) bool { return id == e.ID })
				c.Updated = append(c.Updated, &e)
				current[e.ID] = e
			}
			updated.Apply(c)
			var all []upstream.Entry
			for _, e := range current {
				all = append(all, e)
			}
			replaced.Set(all)
			for _, pool := range []string{"p", "q"} {
				if a, b := fmt.Sprint(updated.Entries(pool)), fmt.Sprint(replaced.Entries(pool)); a != b {
					t.Fatalf("Entries after Apply = %s, after Set = %s", a, b)
				}
				ids, slots := updated.NonDraining(pool)
				if want, n := replaced.NonDraining(pool); !slices.Equal(ids, want) || slots != n {
					t.Fatalf("NonDraining after Apply = %v, %d, after Set = %v, %d", ids, slots, want, n)
				}
			}
		}
	})
}
