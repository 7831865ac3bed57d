package watch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
)

// followTables starts reading tables from the store, each from its version in versions
// on, or in full if it has none there. onUpdate gets a context that ends when stop is
// called. stop returns after the reading has ended.
func (f *Follower) followTables(ctx context.Context, tables []TableConfig, versions map[string]uint64, onUpdate func(context.Context, feed.Update)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, t := range tables {
		reader := feed.Follower{Store: f.cfg.Store, Table: t.Name, Prefixes: t.Prefixes, Wait: t.Wait, Pause: t.Pause, After: versions[t.Name],
			OnUpdate: func(u feed.Update) { onUpdate(ctx, u) }}
		running.Add(1)
		f.cfg.Go(func() error {
			defer running.Done()
			return reader.Run(ctx)
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// readStore starts reading the configured tables from the store, each from its known
// version on. stop ends the reading.
func (f *Follower) readStore(ctx context.Context) (stop func()) {
	f.forgetDerived()
	f.mu.Lock()
	versions := maps.Clone(f.versions)
	f.mu.Unlock()
	// Updates already read are delivered even while the reading is being stopped.
	return f.followTables(ctx, f.cfg.Tables, versions, func(_ context.Context, u feed.Update) { f.notify(ctx, u) })
}

// startRelay makes this instance the relay that has the slot key: it reads the tables
// from the store in full and passes changes on to its watchers. stop ends the reading.
func (f *Follower) startRelay(ctx context.Context, key string) (stop func()) {
	r := newRelay(f.cfg, key)
	f.setRelay(r)
	tables := append([]TableConfig{relaysTable()}, f.cfg.Tables...)
	for i := range tables {
		t := &tables[i]
		t.Wait = relayWait
		pause := t.RelayPause
		t.Pause = func() time.Duration { return pause }
	}
	return f.followTables(ctx, tables, nil, func(reading context.Context, u feed.Update) {
		r.apply(u, f.cfg.Tables)
		if u.Table != Table {
			f.notify(ctx, u)
		} else if u.Err == nil && (u.Reset || len(u.Changes) > 0) {
			f.post(reading, DirectoryChanged{u.At, f.applyRelays(u.Changes, u.Reset)})
		}
	})
}
