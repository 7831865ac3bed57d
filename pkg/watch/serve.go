package watch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
)

// errNotARelay tells why a watcher is told nothing.
var errNotARelay = errors.New("watch: this instance is no relay")

// Watch implements peer.WatchServer.
func (f *Follower) Watch(ctx context.Context, tables []peer.WatchedTable, send func(peer.WatchUpdate) error) error {
	r := f.relaying()
	switch {
	case r == nil:
		return errNotARelay
	case r.leaving.Load():
		return send(peer.WatchUpdate{Leaving: true})
	case !r.enter():
		return send(peer.WatchUpdate{Full: true})
	}
	defer r.leave()
	return r.serve(ctx, tables, send)
}

// serve tells a watcher what changes until ctx ends or the watcher is gone.
func (r *relay) serve(ctx context.Context, tables []peer.WatchedTable, send func(peer.WatchUpdate) error) error {
	s := served{relay: r, after: map[string]uint64{}, lost: map[string]bool{}}
	for _, t := range tables {
		s.after[t.Table] = t.After
	}
	if !r.awaitRead(ctx, tables) || !r.awaitVersions(ctx, tables) {
		return ctx.Err()
	}
	for signs := 0; ctx.Err() == nil; signs++ {
		news, urgent := r.news.wait(), r.urgent.wait()
		leaving := r.leaving.Load()
		n := peer.WatchUpdate{Leaving: leaving, Tables: s.since(time.Now(), signs%versionSigns == 0)}
		if err := send(n); err != nil {
			return err
		}
		if leaving {
			return nil
		}
		if s.more {
			continue
		}
		sentAt := time.Now()
		if s.await(ctx, news, lifeSign) {
			s.await(ctx, urgent, time.Until(sentAt.Add(newsPause)))
		}
	}
	return ctx.Err()
}

// awaitRead waits until each of the tables has been read, and reports whether it has.
func (r *relay) awaitRead(ctx context.Context, tables []peer.WatchedTable) bool {
	for {
		news := r.news.wait()
		read := true
		for _, t := range tables {
			c := r.caches[t.Table]
			read = read && (c == nil || c.State().Loaded)
		}
		if read {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-news:
		}
	}
}

// awaitVersions waits until each of the tables has been read up to where the watcher
// knows it, for a time at the most: it may have read it just now. It reports false if ctx
// has ended.
func (r *relay) awaitVersions(ctx context.Context, tables []peer.WatchedTable) bool {
	for until := time.Now().Add(versionsTime); time.Now().Before(until); {
		behind := func(t peer.WatchedTable) bool {
			c := r.caches[t.Table]
			return c != nil && c.State().Version < t.After
		}
		if !slices.ContainsFunc(tables, behind) {
			return true
		}
		if !clock.Sleep(ctx, versionsPause) {
			return false
		}
	}
	return true
}

// served is one watcher's state at its relay.
type served struct {
	relay *relay
	after map[string]uint64 // versions up to which the watcher knows the tables
	lost  map[string]bool   // tables of which it was told that the store is lost
	begun bool
	more  bool // there is more to tell
}

// since returns what is to be told at now: tables that have changed, all of them in the
// first answer and if versions are to be told.
func (s *served) since(now time.Time, versions bool) []peer.TableUpdate {
	var out []peer.TableUpdate
	s.more = false
	for table, after := range s.after {
		c := s.relay.caches[table]
		if c == nil { // a table of another release
			if !s.begun {
				out = append(out, peer.TableUpdate{Table: table, Unavailable: true})
			}
			continue
		}
		d := c.Since(after)
		lost := d.Unavailable || now.Sub(d.ReadAt) > lostAfter
		if s.begun && !versions && len(d.Changes) == 0 && !d.Reset && lost == s.lost[table] {
			continue
		}
		s.after[table], s.lost[table], s.more = d.Version, lost, s.more || d.More
		out = append(out, peer.TableUpdate{Table: table, Reset: d.Reset, Changes: d.Changes, Version: d.Version, Unavailable: lost})
	}
	s.begun = true
	return out
}

// await waits until ch is closed, for a time at the most, and reports whether it was.
func (s *served) await(ctx context.Context, ch <-chan struct{}, limit time.Duration) bool {
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
