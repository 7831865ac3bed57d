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

// relay is what an instance keeps for those that follow tables through it.
type relay struct {
	key     string // of its slot
	caches  map[string]*watchcache.Cache
	news    signal // there is something to tell
	urgent  signal // and it is not to wait
	leaving atomic.Bool

	mu       sync.Mutex
	room     int // for more watchers
	watchers int
}

// signal tells those who wait of something.
type signal struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next ring.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

func (s *signal) ring() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}

// newRelay returns the relay that has a slot, which knows nothing yet.
func newRelay(cfg Config, key string) *relay {
	r := &relay{key: key, caches: map[string]*watchcache.Cache{}, room: max(1, int(watchersPerCore*cfg.Cores))}
	for _, t := range append([]TableConfig{relaysTable()}, cfg.Tables...) {
		changed := r.news.ring
		if t.Urgent {
			changed = func() {
				r.news.ring()
				r.urgent.ring()
			}
		}
		r.caches[t.Name] = watchcache.New(watchcache.Config{Digest: t.Digest, OnChange: changed})
	}
	return r
}

// relaysTable is how a relay follows the relays' table.
func relaysTable() TableConfig {
	return TableConfig{Name: Table, Prefixes: []string{Prefix()}, Urgent: true}
}

// relaying returns the relay that this instance is, nil if it is none.
func (f *Follower) relaying() *relay {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relay
}

func (f *Follower) setRelay(r *relay) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relay = r
}

// take keeps what was read of a table for watchers.
func (r *relay) take(u feed.Update, tables []TableConfig) {
	for _, t := range tables {
		if t.Name == u.Table && t.Derived {
			r.caches[u.Table].Touch(u)
			return
		}
	}
	r.caches[u.Table].Apply(u)
}

// SetDerived tells what a relay is to pass on of a derived table, all of it. The
// versions of the rows are not looked at.
func (f *Follower) SetDerived(table string, rows []platform.Row, at time.Time) {
	r := f.relaying()
	if r == nil {
		return
	}
	r.caches[table].Replace(rows, at)
}

// IsRelay reports whether this instance is a relay.
func (f *Follower) IsRelay() bool { return f.relaying() != nil }

// Watchers returns how many instances follow tables through this one.
func (f *Follower) Watchers() int {
	r := f.relaying()
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watchers
}

// enter lets a watcher in if there is room.
func (r *relay) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watchers >= r.room {
		return false
	}
	r.watchers++
	return true
}

func (r *relay) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers--
}

// DisableRelaying has this instance be no relay any more, and never again: those that follow
// tables through it are told to look for another. It may be called once, while Run runs.
func (f *Follower) DisableRelaying(ctx context.Context) error {
	f.post(ctx, RelayingDisabled{time.Now()})
	f.mu.Lock()
	r := f.relay
	f.mu.Unlock()
	if r == nil {
		return nil
	}
	r.leaving.Store(true)
	r.news.ring()
	r.urgent.ring()
	f.mu.Lock()
	at, ok := f.dir.of(r.key)
	f.mu.Unlock()
	if !ok || at.StartID != f.cfg.StartID {
		return nil // its slot is another's, or not known to be its own yet
	}
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	_, err := f.cfg.Store.Commit(ctx, platform.Delete(r.key, at.version))
	return err
}
