package completion_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/completion"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 4000) }

// drawState draws a step with items 0 to n-1.
func drawState(t *rapid.T) (s completion.State, n int) {
	for range rapid.IntRange(0, 6).Draw(t, "groups") {
		g := completion.Group{Carried: rapid.Bool().Draw(t, "carried")}
		for range rapid.IntRange(0, 5).Draw(t, "items") {
			g.Items = append(g.Items, completion.Item{Index: n, Left: rapid.Float64Range(0, 8).Draw(t, "left"), Running: rapid.Bool().Draw(t, "running")})
			n++
		}
		s.Groups = append(s.Groups, g)
	}
	s.Complete, s.Desired = rapid.IntRange(0, 5).Draw(t, "complete"), rapid.IntRange(0, 12).Draw(t, "desired")
	s.Slots = rapid.Float64Range(0, 12).Draw(t, "slots")
	s.Left = time.Duration(rapid.Int64Range(-int64(10*time.Second), int64(10*time.Second)).Draw(t, "time left"))
	return s, n
}

// A waiting item that is left out never starts, one that is listed twice or is running
// already starts twice, and an order that changes without cause has owners start
// groups that they then leave. Holds whatever the estimates are, also with no slots and
// after the due time.
func TestOrderListsWaitingItemsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, n := drawState(t)
		order, outlook := completion.Order(s)
		var want []int
		for _, g := range s.Groups {
			for _, it := range g.Items {
				if !it.Running {
					want = append(want, it.Index)
				}
			}
		}
		if got := slices.Sorted(slices.Values(order)); !slices.Equal(got, want) {
			t.Fatalf("Order lists %v of %d items, want %v once each", got, n, want)
		}
		if again, o := completion.Order(s); !slices.Equal(again, order) || o != outlook {
			t.Fatalf("Order = %v, %v, then %v, %v for the same state", order, outlook, again, o)
		}
		if outlook.InTime+outlook.Deferred != s.Complete+len(s.Groups) {
			t.Fatalf("outlook %+v with %d groups complete and %d not, want these divided", outlook, s.Complete, len(s.Groups))
		}
	})
}

// groups returns groups of waiting items with the given times left, numbered in order.
func groups(left ...[]float64) []completion.Group {
	var out []completion.Group
	n := 0
	for _, of := range left {
		var g completion.Group
		for _, l := range of {
			g.Items = append(g.Items, completion.Item{Index: n, Left: l})
			n++
		}
		out = append(out, g)
	}
	return out
}

// A step with groups of several sizes, as its owner finds it with more or less time
// left. If the engines can generate all of it, or all that the trainer waits for, its
// end is that of its longest text, so these must not wait for short groups. If they
// cannot, starting texts of all groups would leave all of them incomplete.
func TestOrder(t *testing.T) {
	step := groups([]float64{1, 3}, []float64{0.2, 0.4}, []float64{2, 2.5}, []float64{0.5, 0.6})
	carried := slices.Clone(step)
	carried[2].Carried = true
	for _, test := range []struct {
		name  string
		state completion.State
		want  []int
		short bool
	}{
		{"all groups fit", completion.State{Groups: step, Desired: 3, Left: 12 * time.Second, Slots: 1}, []int{1, 5, 4, 0, 7, 6, 3, 2}, false},
		{"the desired groups fit", completion.State{Groups: step, Desired: 2, Left: 5 * time.Second, Slots: 1}, []int{7, 6, 3, 2, 1, 0, 5, 4}, false},
		{"a carried group does not fit", completion.State{Groups: carried, Desired: 2, Left: 5 * time.Second, Slots: 1}, []int{3, 2, 5, 4, 7, 6, 1, 0}, true},
		{"too few slots", completion.State{Groups: step, Left: 4 * time.Second, Slots: 1}, []int{3, 2, 7, 6, 1, 0, 5, 4}, true},
		{"late", completion.State{Groups: step, Left: -time.Second, Slots: 1}, []int{3, 2, 7, 6, 1, 0, 5, 4}, true},
		{"late, a single text decides the end", completion.State{Groups: step, Left: -time.Second, Slots: 3}, []int{1, 5, 3, 2, 7, 6, 0, 4}, true},
		{"no slots", completion.State{Groups: step, Left: 4 * time.Second}, []int{3, 2, 7, 6, 1, 0, 5, 4}, true},
	} {
		got, outlook := completion.Order(test.state)
		if !slices.Equal(got, test.want) || outlook.Short != test.short {
			t.Errorf("%s: Order() = %v, short %v, want %v, %v", test.name, got, outlook.Short, test.want, test.short)
		}
	}
}

// A text that is already longer than its hint still occupies a slot: taken for
// complete, it would make an overloaded step look as if it fitted.
func TestEstimateOfTextLongerThanItsHint(t *testing.T) {
	var e completion.Estimator
	if _, known := e.Rates(); known {
		t.Fatal("rates known without an observation")
	}
	e.ObserveAttempt(20, 800*time.Millisecond)
	e.ObserveText(960, 20)
	r, known := e.Rates()
	if !known {
		t.Fatal("rates not known after a text")
	}
	for events, want := range map[int]float64{0: 1.2, 15: 0.6, 30: 0.4, 90: 0.4} {
		if got := r.Left(1440, events); got < want-0.001 || got > want+0.001 {
			t.Errorf("Left(1440, %d) = %.3f s, want %.3f s", events, got, want)
		}
	}
}

// BenchmarkOrder measures ordering a thousand items of a step that is short of engines.
// An owner orders them up to 70 times a second.
func BenchmarkOrder(b *testing.B) {
	s := completion.State{Desired: 56, Slots: 60, Left: 7 * time.Second}
	for i := range 1000 {
		if i%16 == 0 {
			s.Groups = append(s.Groups, completion.Group{})
		}
		g := &s.Groups[len(s.Groups)-1]
		g.Items = append(g.Items, completion.Item{Index: i, Left: float64(i*7919%1000) / 300})
	}
	b.ReportAllocs()
	for b.Loop() {
		if order, _ := completion.Order(s); len(order) != 1000 {
			b.Fatalf("Order lists %d items, want 1000", len(order))
		}
	}
}
