package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/watchcache"
)

// relay is the state of an instance that acts as a relay.
type relay struct {
	key     string // key of its slot's row
	caches  map[string]*watchcache.Cache
	updates signal // a cache has changed
	urgent  signal // the cache of an urgent table has changed
	leaving atomic.Bool

	mu       sync.Mutex
	capacity int // maximum number of watchers
	watchers int
}

// signal wakes all goroutines that wait for it.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next broadcast.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// newRelay returns the relay in the slot with the given key. Its caches are empty.
func newRelay(cfg Config, key string) *relay {
	r := &relay{key: key, caches: map[string]*watchcache.Cache{}, capacity: max(1, int(watchersPerCore*cfg.Cores))}
	for _, t := range append([]TableConfig{relaysTable()}, cfg.Tables...) {
		changed := r.updates.broadcast
		if t.Urgent {
			changed = func() {
				r.updates.broadcast()
				r.urgent.broadcast()
			}
		}
		r.caches[t.Name] = watchcache.New(watchcache.Config{Digest: t.Digest, OnChange: changed})
	}
	return r
}

// relaysTable returns the configuration by which a relay follows Table.
func relaysTable() TableConfig {
	return TableConfig{Name: Table, Prefixes: []string{Prefix()}, Urgent: true}
}

// currentRelay returns the relay state of this instance, nil if it is no relay.
func (f *Follower) currentRelay() *relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay
}

func (f *Follower) setRelay(r *relay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay = r
}

// apply applies an update of a table to its cache. Of a derived table, it records only
// whether the table could be read.
func (r *relay) apply(u feed.Update, tables []TableConfig) {
	for _, t := range tables {
		if t.Name == u.Table && t.Derived {
			r.caches[u.Table].Touch(u)
			return
		}
	}
	r.caches[u.Table].Apply(u)
}

// SetDerived replaces the rows that a relay passes on for a derived table. The versions
// of the rows are ignored. It does nothing if this instance is no relay.
func (f *Follower) SetDerived(table string, rows []platform.Row, at time.Time) {
	r := f.currentRelay()
	if r == nil {
		return
	}
	r.caches[table].Replace(rows, at)
}

// IsRelay reports whether this instance is a relay.
func (f *Follower) IsRelay() bool { return f.currentRelay() != nil }

// Watchers returns how many instances follow tables through this one.
func (f *Follower) Watchers() int {
	r := f.currentRelay()
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watchers
}

// addWatcher admits a watcher, and reports false if there is no room.
func (r *relay) addWatcher() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watchers >= r.capacity {
		return false
	}
	r.watchers++
	return true
}

func (r *relay) removeWatcher() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers--
}

// leave tells the watchers to look for another relay, and ends their watches.
func (r *relay) leave() {
	r.leaving.Store(true)
	r.updates.broadcast()
	r.urgent.broadcast()
}

// DisableRelaying makes this instance stop acting as a relay, for good: its watchers are
// told to look for another relay, and the row of its slot is deleted. It returns the
// error of the deletion. It may be called once, while Run runs.
func (f *Follower) DisableRelaying(ctx context.Context) error {
	f.post(ctx, RelayingDisabled{time.Now()})
	f.mu.Lock()
	r := f.relay
	f.mu.Unlock()
	if r == nil {
		return nil
	}
	r.leave()
	f.mu.Lock()
	at, ok := f.dir.get(r.key)
	f.mu.Unlock()
	if !ok || at.StartID != f.cfg.StartID {
		return nil // its slot belongs to another instance, or the claim is not confirmed yet
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err := f.cfg.Store.Commit(ctx, platform.Delete(r.key, at.version))
	return err
}
