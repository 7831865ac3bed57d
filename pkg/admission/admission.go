// Package admission limits how many requests are in flight at once, under several
// limits together.
package admission

import (
	"strings"
	"sync"
	"sync/atomic"
)

// InFlight counts requests in flight by key, such as an upstream's address or the name
// of a catalogue entry. Its zero value is ready to use; it is safe for concurrent use.
type InFlight struct {
	counters sync.Map // from string to *atomic.Int64
}

func (f *InFlight) counter(key string) *atomic.Int64 {
	if c, ok := f.counters.Load(key); ok {
		return c.(*atomic.Int64)
	}
	c, _ := f.counters.LoadOrStore(key, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// Acquire adds one to the count of key, unless that would exceed limit. A limit of 0
// means no limit. It reports whether it added one.
func (f *InFlight) Acquire(key string, limit int) bool {
	c := f.counter(key)
	if n := c.Add(1); limit > 0 && n > int64(limit) {
		c.Add(-1)
		return false
	}
	return true
}

// Release subtracts one from the count of key. It must follow an Acquire that reported
// true.
func (f *InFlight) Release(key string) { f.counter(key).Add(-1) }

// Get returns the number of requests in flight for key.
func (f *InFlight) Get(key string) int64 { return f.counter(key).Load() }

// Total returns the number of requests in flight for all keys with the given prefix.
func (f *InFlight) Total(prefix string) int64 {
	var n int64
	f.counters.Range(func(k, v any) bool {
		if s, ok := k.(string); ok && strings.HasPrefix(s, prefix) {
			n += v.(*atomic.Int64).Load()
		}
		return true
	})
	return n
}

// KeyLimit is a limit that a request must keep within.
type KeyLimit struct {
	Key   string
	Limit int // 0 for none
}

// AcquireAll acquires all limits and returns -1, or acquires none and returns the index
// of the first that is reached.
func (f *InFlight) AcquireAll(limits []KeyLimit) (full int) {
	for i, l := range limits {
		if f.Acquire(l.Key, l.Limit) {
			continue
		}
		f.ReleaseAll(limits[:i])
		return i
	}
	return -1
}

// ReleaseAll releases limits acquired with AcquireAll.
func (f *InFlight) ReleaseAll(limits []KeyLimit) {
	for _, l := range limits {
		f.Release(l.Key)
	}
}
