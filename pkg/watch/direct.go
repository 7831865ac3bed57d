package watch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
)

// follow begins to read tables from the store, from versions on, or whole, until stop is
// called, which returns when that has ended. tell is given a context that stop ends.
func (f *Follower) follow(ctx context.Context, tables []TableConfig, from map[string]uint64, tell func(context.Context, feed.Update)) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, t := range tables {
		reader := feed.Follower{Store: f.cfg.Store, Table: t.Name, Prefixes: t.Prefixes, Wait: t.Wait, Pause: t.Pause, From: from[t.Name],
			OnUpdate: func(u feed.Update) { tell(ctx, u) }}
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

// readStore reads the tables from the store, from where they are known, until stop is
// called.
func (f *Follower) readStore(ctx context.Context) (stop func()) {
	f.forget()
	f.mu.Lock()
	from := maps.Clone(f.from)
	f.mu.Unlock()
	// What has been read is told also while reading is stopped.
	return f.follow(ctx, f.cfg.Tables, from, func(_ context.Context, u feed.Update) { f.tell(ctx, u) })
}

// serve makes this instance a relay, which reads the tables from the store, whole, and
// tells others what changes, until stop is called.
func (f *Follower) serve(ctx context.Context, key string) (stop func()) {
	r := newRelay(f.cfg, key)
	f.setRelay(r)
	tables := append([]TableConfig{relaysTable()}, f.cfg.Tables...)
	for i := range tables {
		t := &tables[i]
		t.Wait = relayWait
		pause := t.RelayPause
		t.Pause = func() time.Duration { return pause }
	}
	return f.follow(ctx, tables, nil, func(reading context.Context, u feed.Update) {
		r.take(u, f.cfg.Tables)
		if u.Table != Table {
			f.tell(ctx, u)
		} else if u.Err == nil && (u.Reset || len(u.Changes) > 0) {
			f.post(reading, DirectoryChanged{u.At, f.learnRelays(u.Changes, u.Reset)})
		}
	})
}
