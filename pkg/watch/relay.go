package watch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/watchcache"
)

// relay is what an instance keeps for those that follow tables through it.
type relay struct {
	key     string // of its slot
	version uint64 // of its slot's row, if known
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

// newRelay returns a relay that knows nothing yet.
func newRelay(cfg Config) *relay {
	r := &relay{caches: map[string]*watchcache.Cache{}, room: max(1, int(watchersPerCore*cfg.Cores))}
	for _, t := range append([]TableConfig{relaysTable()}, cfg.Tables...) {
		changed := r.news.ring
		if t.Urgent {
			changed = func() {
				r.news.ring()
				r.urgent.ring()
			}
		}
		r.caches[t.Name] = watchcache.New(watchcache.Config{Digest: t.Digest, Changed: changed})
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

// SetDerived tells what a relay is to pass on of a derived table, all of it. The
// versions of the rows are not looked at.
func (f *Follower) SetDerived(table string, rows []platform.Row, at time.Time) {
	r := f.relaying()
	if r == nil {
		return
	}
	r.caches[table].Replace(rows, at)
}

// Relays reports whether this instance is a relay.
func (f *Follower) Relays() bool { return f.relaying() != nil }

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

// Leave has this instance be no relay any more, and never again: those that follow
// tables through it are told to look for another. It may be called once.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	r := f.relay
	f.mu.Unlock()
	if r == nil {
		return nil
	}
	r.leaving.Store(true)
	r.news.ring()
	r.urgent.ring()
	version := r.version
	f.mu.Lock()
	if at, ok := f.dir.of(r.key); ok && at.Start == f.cfg.Start {
		version = at.version
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	_, err := f.cfg.Store.Commit(ctx, platform.Delete(r.key, version))
	return err
}
