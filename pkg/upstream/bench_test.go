package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// newLargeRegistry returns a registry with a pool of a thousand engines, each of which
// has answered a request.
func newLargeRegistry(b *testing.B) *upstream.Registry {
	r := upstream.NewRegistry("z1")
	var es []upstream.Entry
	for i := range 1000 {
		es = append(es, upstream.Entry{ID: fmt.Sprintf("i-%04d", i), Pool: "p", Address: "10.0.0.1:1", Slots: 8, DataCentre: "z1", Versions: map[string]uint64{"m": 3}})
	}
	r.Set(es)
	for range es {
		t, ok := r.Acquire(upstream.Requirements{Pool: "p", Model: "m", Now: baseTime()})
		if !ok {
			b.Fatal("Acquire found no usable upstream")
		}
		defer t.Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: time.Millisecond})
	}
	return r
}

// BenchmarkAcquire measures choosing one of a thousand engines for a request.
func BenchmarkAcquire(b *testing.B) {
	r := newLargeRegistry(b)
	b.ReportAllocs()
	for b.Loop() {
		t, ok := r.Acquire(upstream.Requirements{Pool: "p", Model: "m", MinVersion: 3, Affinity: "prompt", Now: baseTime()})
		if !ok {
			b.Fatal("Acquire found no usable upstream")
		}
		t.Done(upstream.AttemptResult{At: baseTime(), TimePerUnit: time.Millisecond})
	}
}

// BenchmarkEntries measures listing a thousand engines with their versions.
func BenchmarkEntries(b *testing.B) {
	r := newLargeRegistry(b)
	b.ReportAllocs()
	for b.Loop() {
		if len(r.Entries("p")) != 1000 {
			b.Fatal("Entries did not return all 1000 engines")
		}
	}
}
