package watch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// errNotARelay ends a watch at an instance that is no relay.
var errNotARelay = errors.New("watch: this instance is not a relay")

// Watch implements peer.WatchServer.
func (f *Follower) Watch(ctx context.Context, tables []peer.WatchedTable, send func(peer.WatchUpdate) error) error {
	r := f.currentRelay()
	switch {
	case r == nil:
		return errNotARelay
	case r.leaving.Load():
		return send(peer.WatchUpdate{Leaving: true})
	case !r.addWatcher():
		return send(peer.WatchUpdate{Full: true})
	}
	defer r.removeWatcher()
	return r.serve(ctx, tables, send)
}

// serve sends changes of the tables to a watcher until ctx ends or sending fails.
func (r *relay) serve(ctx context.Context, tables []peer.WatchedTable, send func(peer.WatchUpdate) error) error {
	s := watcherState{relay: r, after: map[string]uint64{}, unavailable: map[string]bool{}}
	for _, t := range tables {
		s.after[t.Table] = t.After
	}
	if !r.awaitLoaded(ctx) || !r.awaitVersions(ctx, tables) {
		return ctx.Err()
	}
	for messages := 0; ctx.Err() == nil; messages++ {
		updates, urgent := r.updates.wait(), r.urgent.wait()
		leaving := r.leaving.Load()
		u := peer.WatchUpdate{Leaving: leaving, Tables: s.since(time.Now(), messages%versionInterval == 0)}
		if err := send(u); err != nil {
			return err
		}
		if leaving {
			return nil
		}
		if s.more {
			continue
		}
		sentAt := time.Now()
		if s.await(ctx, updates, heartbeatInterval) {
			s.await(ctx, urgent, time.Until(sentAt.Add(updatePause)))
		}
	}
	return ctx.Err()
}

// awaitLoaded waits until all tables have been read once, whichever are watched: an
// instance that looks for a relay watches Table only, and leaves its source for one that
// answers. It reports false if ctx ended before.
func (r *relay) awaitLoaded(ctx context.Context) bool {
	for {
		updates := r.updates.wait()
		loaded := true
		for _, c := range r.caches {
			loaded = loaded && c.State().Loaded
		}
		if loaded {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-updates:
		}
	}
}

// awaitVersions waits up to catchUpTimeout for each table to reach the version that the
// watcher knows, which the watcher may have read only just now. It reports false if ctx
// ended.
func (r *relay) awaitVersions(ctx context.Context, tables []peer.WatchedTable) bool {
	for until := time.Now().Add(catchUpTimeout); time.Now().Before(until); {
		behind := func(t peer.WatchedTable) bool {
			c := r.caches[t.Table]
			return c != nil && c.State().Version < t.After
		}
		if !slices.ContainsFunc(tables, behind) {
			return true
		}
		if !clock.Sleep(ctx, catchUpPoll) {
			return false
		}
	}
	return true
}

// watcherState is what a relay knows of one watcher.
type watcherState struct {
	relay       *relay
	after       map[string]uint64 // by table: the version up to which the watcher knows it
	unavailable map[string]bool   // tables last sent to it as unavailable
	started     bool
	more        bool // a cache has more changes to send
}

// since returns the updates to send at now: of tables that have changed, and of all
// tables in the first message and if versions is set.
func (s *watcherState) since(now time.Time, allVersions bool) []peer.TableUpdate {
	var out []peer.TableUpdate
	s.more = false
	for table, after := range s.after {
		c := s.relay.caches[table]
		if c == nil { // a table that only another release has
			if !s.started {
				out = append(out, peer.TableUpdate{Table: table, Unavailable: true})
			}
			continue
		}
		d := c.Since(after)
		unavailable := d.Unavailable || now.Sub(d.ReadAt) > unavailableAfter
		if s.started && !allVersions && len(d.Changes) == 0 && !d.Reset && unavailable == s.unavailable[table] {
			continue
		}
		s.after[table], s.unavailable[table], s.more = d.Version, unavailable, s.more || d.More
		out = append(out, peer.TableUpdate{Table: table, Reset: d.Reset, Changes: d.Changes, Version: d.Version, Unavailable: unavailable})
	}
	s.started = true
	return out
}

// await waits until ch is closed, and reports false if limit passed or ctx ended before.
func (s *watcherState) await(ctx context.Context, ch <-chan struct{}, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ch:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
