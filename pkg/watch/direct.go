package watch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/feed"
)

// follow begins to read tables from the store, from versions on, or whole, until stop is
// called.
func (f *Follower) follow(ctx context.Context, tables []TableConfig, from map[string]uint64, tell func(feed.Update)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, t := range tables {
		reader := feed.Follower{Store: f.cfg.Store, Table: t.Name, Prefixes: t.Prefixes, Wait: t.Wait, Pause: t.Pause, From: from[t.Name], Tell: tell}
		wg.Add(1)
		f.cfg.Group(func() error {
			defer wg.Done()
			return reader.Run(ctx)
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// runDirect reads the tables from the store until relays are to be used, and returns
// why.
func (f *Follower) runDirect(ctx context.Context) string {
	f.mu.Lock()
	from := maps.Clone(f.from)
	f.mu.Unlock()
	stop := f.follow(ctx, f.cfg.Tables, from, func(u feed.Update) { f.tell(ctx, u) })
	defer stop()
	farFrom := time.Now().Add(patience) // from when relays of other data centres will do
	for {
		f.pause(ctx)
		if ctx.Err() != nil {
			return "ends"
		}
		if f.cfg.Dial == nil || !f.cfg.Crowded() {
			continue
		}
		if !f.readDirectory(ctx) {
			continue
		}
		if f.claim(ctx) {
			return "a relay is wanted"
		}
		if f.probe(ctx, f.candidates(time.Now().After(farFrom)), Relay{}) {
			return "there are relays"
		}
	}
}

// runRelay follows the tables for others, until another instance has this one's slot and
// nobody watches any more, and returns why it ended.
func (f *Follower) runRelay(ctx context.Context) string {
	r := f.relaying()
	tables := append([]TableConfig{relaysTable()}, f.cfg.Tables...)
	for i := range tables {
		t := &tables[i]
		t.Wait = relayWait
		pause := t.RelayPause
		t.Pause = func() time.Duration { return pause }
	}
	stop := f.follow(ctx, tables, nil, func(u feed.Update) {
		r.take(u, f.cfg.Tables)
		if u.Table == Table {
			if u.Err == nil {
				f.learnRelays(u.Changes, u.Reset)
			}
			return
		}
		f.tell(ctx, u)
	})
	defer stop()
	for clock.Sleep(ctx, checkPause) {
		if f.Watchers() == 0 && r.caches[Table].State().Read && !f.holds(r.key) {
			f.mu.Lock()
			f.relay = nil
			f.mu.Unlock()
			return "its slot is another's"
		}
	}
	return "ends"
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
