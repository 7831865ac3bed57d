package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// large returns a registry of a pool of a thousand engines, of which each has
// been seen to answer.
func large(b *testing.B) *upstream.Registry {
	r := upstream.NewRegistry("z1")
	var es []upstream.Entry
	for i := range 1000 {
		es = append(es, upstream.Entry{ID: fmt.Sprintf("i-%04d", i), Pool: "p", Address: "10.0.0.1:1", Slots: 8, DataCentre: "z1", Versions: map[string]uint64{"m": 3}})
	}
	r.Set(es)
	for range es {
		t, ok := r.Acquire(upstream.Requirements{Pool: "p", Model: "m", Now: start()})
		if !ok {
			b.Fatal("no room")
		}
		defer t.Done(upstream.AttemptResult{At: start(), TimePerUnit: time.Millisecond})
	}
	return r
}

// BenchmarkAcquire chooses one of a thousand engines for a request.
func BenchmarkAcquire(b *testing.B) {
	r := large(b)
	b.ReportAllocs()
	for b.Loop() {
		t, ok := r.Acquire(upstream.Requirements{Pool: "p", Model: "m", MinVersion: 3, Affinity: "prompt", Now: start()})
		if !ok {
			b.Fatal("no room")
		}
		t.Done(upstream.AttemptResult{At: start(), TimePerUnit: time.Millisecond})
	}
}

// BenchmarkEntries lists a thousand engines with their versions.
func BenchmarkEntries(b *testing.B) {
	r := large(b)
	b.ReportAllocs()
	for b.Loop() {
		if len(r.Entries("p")) != 1000 {
			b.Fatal("entries are missing")
		}
	}
}
