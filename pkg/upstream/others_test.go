package upstream_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against a sender among many that takes upstreams without a report, or with an
// old one, for empty and avoids the one that it knows to have few requests. An
// unknown one must still be sent requests that wait, however many the others have.
func TestUnknownLoadIsUsual(t *testing.T) {
	for _, c := range []struct {
		name    string
		others  []int // requests of other senders, of 8 slots; -1 for no report
		age     time.Duration
		maxLoad float64
		want    string
	}{
		{"one without a report", []int{1, 7, -1}, 0, 0, "i0"},
		{"one without a report, others full", []int{9, 9, -1}, 0, 1, "i2"},
		{"an old report", []int{6, 7, 8}, 300 * time.Millisecond, 0, "i0"},
	} {
		r := upstream.NewRegistry("z")
		r.SetContended(true)
		r.Set(entries(len(c.others)))
		for id, others := range map[string]int{"i0": c.others[0], "i1": c.others[1], "i2": c.others[2]} {
			if others >= 0 {
				acquireAt(r, id).Done(upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Running: others, Slots: 8}})
			}
		}
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime().Add(c.age), MaxLoad: c.maxLoad})
		if !ok || rsv.ID != c.want {
			t.Errorf("%s: got %v, %v, want %s", c.name, rsv, ok, c.want)
		}
	}
}

// Guards against the load of an upstream that is taken for empty when its report is too old
// to be used: it has as many requests as the others have in the mean.
func TestLoadDecaysToUsual(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.SetContended(true)
	r.Set(entries(2))
	acquireAt(r, "i0").Done(upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Running: 7, Slots: 8}})
	later := baseTime().Add(time.Second)
	acquireAt(r, "i1").Done(upstream.AttemptResult{At: later, Load: &upstream.Load{Running: 1, Slots: 8}})
	if rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: later}); !ok || rsv.ID != "i1" {
		t.Errorf("got %v, %v, want i1, which has the fewest requests", rsv, ok)
	}
}
