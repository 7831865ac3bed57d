// Package admission bounds how many requests are in flight at once, under
// several limits together.
package admission

import (
	"strings"
	"sync"
	"sync/atomic"
)

// InFlight counts requests in flight by key, such as an upstream's address or an
// entry's name. Its zero value counts none; it is safe for concurrent use.
type InFlight struct {
	m sync.Map // key → *atomic.Int64
}

func (f *InFlight) counter(key string) *atomic.Int64 {
	if c, ok := f.m.Load(key); ok {
		return c.(*atomic.Int64)
	}
	c, _ := f.m.LoadOrStore(key, new(atomic.Int64))
	return c.(*atomic.Int64)
}

// Acquire adds one to key unless that would pass limit (0: no limit).
func (f *InFlight) Acquire(key string, limit int) bool {
	c := f.counter(key)
	if n := c.Add(1); limit > 0 && n > int64(limit) {
		c.Add(-1)
		return false
	}
	return true
}

// Release takes one from key, which Acquire has added.
func (f *InFlight) Release(key string) { f.counter(key).Add(-1) }

// Get returns how many requests of key are in flight.
func (f *InFlight) Get(key string) int64 { return f.counter(key).Load() }

// Total returns how many requests of all keys with a prefix are in flight.
func (f *InFlight) Total(prefix string) int64 {
	var n int64
	f.m.Range(func(k, v any) bool {
		if s, ok := k.(string); ok && strings.HasPrefix(s, prefix) {
			n += v.(*atomic.Int64).Load()
		}
		return true
	})
	return n
}

// KeyLimit is one of the limits that a request must keep within.
type KeyLimit struct {
	Key   string
	Limit int // 0: none
}

// AcquireAll takes all places, or none and returns the index of the one that is
// full; -1 if none is.
func (f *InFlight) AcquireAll(places []KeyLimit) (full int) {
	for i, p := range places {
		if f.Acquire(p.Key, p.Limit) {
			continue
		}
		f.ReleaseAll(places[:i])
		return i
	}
	return -1
}

// ReleaseAll gives places back that AcquireAll has taken.
func (f *InFlight) ReleaseAll(places []KeyLimit) {
	for _, p := range places {
		f.Release(p.Key)
	}
}
