package watchcache_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/watchcache"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 2000) }

// value returns a row's value: its content, and a count that is not part of the content.
func value(content string, count int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf("%s %d", content, count))
}

func content(r platform.Row) string {
	var s string
	fmt.Sscan(string(r.Value), &s)
	return s
}

func digest(r platform.Row) uint64 { return uint64(content(r)[0]) }

// store is a table and its change history.
type store struct {
	rows    map[string]platform.Row
	history []platform.Change
	version uint64
}

func (s *store) put(key, content string) {
	s.version++
	s.rows[key] = platform.Row{Key: key, Version: s.version, Value: value(content, int(s.version))}
	s.history = append(s.history, platform.Change{Row: s.rows[key]})
}

func (s *store) remove(key string, versioned bool) {
	s.version++
	delete(s.rows, key)
	ch := platform.Change{Row: platform.Row{Key: key}, Deleted: true}
	if versioned {
		ch.Version = s.version
	}
	s.history = append(s.history, ch)
}

// feedTo brings a cache up to date, by the history from index from on or by the whole
// table. It returns the length of the history.
func (s *store) feedTo(c *watchcache.Cache, from int, reset bool) int {
	u := feed.Update{At: time.Now(), Version: s.version, Reset: reset, Changes: s.history[from:]}
	if reset {
		u.Changes = nil
		for _, r := range s.rows {
			u.Changes = append(u.Changes, platform.Change{Row: r})
		}
	}
	c.Apply(u)
	return len(s.history)
}

// follower knows a table as caches have sent it.
type follower struct {
	rows    map[string]string
	version uint64
}

func (f *follower) follow(c *watchcache.Cache) {
	for f.followOnce(c) {
	}
}

// followOnce applies one Delta and reports whether there is more.
func (f *follower) followOnce(c *watchcache.Cache) bool {
	d := c.Since(f.version)
	if !d.Loaded || d.Version < f.version {
		return false // the cache is older than the follower
	}
	if d.Reset {
		f.rows = map[string]string{}
	}
	for _, ch := range d.Changes {
		if ch.Deleted {
			delete(f.rows, ch.Key)
		} else {
			f.rows[ch.Key] = content(ch.Row)
		}
	}
	f.version = d.Version
	return d.More
}

// Whatever happens to the table, to its caches and to the store's history, a follower
// that switches between caches knows the content of the table as soon as its cache does.
func TestFollowersKnowTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{rows: map[string]platform.Row{}, version: 1}
		var caches [2]*watchcache.Cache
		var fed [2]int
		for i := range caches {
			caches[i] = watchcache.New(watchcache.Config{Digest: digest})
		}
		var known [2]bool
		f := &follower{rows: map[string]string{}}
		keys := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			i := rapid.IntRange(0, 1).Draw(t, "cache")
			switch rapid.SampledFrom([]string{"put", "put", "put", "remove", "feed", "feed", "follow", "full read", "new cache"}).Draw(t, "event") {
			case "put":
				s.put(keys.Draw(t, "key"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "value"))
			case "remove":
				if key := keys.Draw(t, "key"); s.rows[key].Version != 0 {
					s.remove(key, rapid.Bool().Draw(t, "versioned"))
				}
			case "feed":
				fed[i], known[i] = s.feedTo(caches[i], fed[i], !known[i]), true
			case "full read":
				fed[i], known[i] = s.feedTo(caches[i], fed[i], true), true
			case "new cache":
				caches[i], known[i] = watchcache.New(watchcache.Config{Digest: digest}), false
			case "follow":
				f.follow(caches[i])
			}
			if i := rapid.IntRange(0, 1).Draw(t, "check"); known[i] {
				fed[i] = s.feedTo(caches[i], fed[i], false)
				f.follow(caches[i])
				want := map[string]string{}
				for k, r := range s.rows {
					want[k] = content(r)
				}
				if !maps.Equal(f.rows, want) {
					t.Fatalf("follower knows %v, want %v", f.rows, want)
				}
			}
		}
	})
}

// Changes without new content are not sent and do not call OnChange.
func TestHeartbeatsNotSent(t *testing.T) {
	calls := 0
	c := watchcache.New(watchcache.Config{Digest: digest, OnChange: func() { calls++ }})
	s := &store{rows: map[string]platform.Row{}, version: 1}
	s.put("a", "x")
	fed := s.feedTo(c, 0, true)
	first := c.Since(0)
	if !first.Reset || len(first.Changes) != 1 || calls != 1 {
		t.Fatalf("first delta %+v, OnChange called %d times; want a reset with 1 change, 1 call", first, calls)
	}
	for range 10 {
		s.put("a", "x")
		fed = s.feedTo(c, fed, false)
	}
	if d := c.Since(first.Version); len(d.Changes) != 0 || d.Reset || d.Version != s.version || calls != 1 {
		t.Fatalf("after heartbeats: %+v, OnChange called %d times; want no changes, 1 call", d, calls)
	}
	s.put("a", "y")
	s.feedTo(c, fed, false)
	if d := c.Since(first.Version); len(d.Changes) != 1 || calls != 2 {
		t.Fatalf("after a change: %+v, OnChange called %d times; want 1 change, 2 calls", d, calls)
	}
}

// A cache calls OnChange once when the store becomes unavailable and once when it is
// available again.
func TestUnavailableStore(t *testing.T) {
	calls := 0
	c := watchcache.New(watchcache.Config{OnChange: func() { calls++ }})
	c.Apply(feed.Update{At: time.Now(), Version: 3, Reset: true})
	for range 3 {
		c.Apply(feed.Update{Err: errors.New("unavailable")})
	}
	if !c.State().Unavailable || calls != 2 {
		t.Fatalf("after failed reads: %+v, OnChange called %d times; want Unavailable, 2 calls", c.State(), calls)
	}
	c.Apply(feed.Update{At: time.Now(), Version: 4})
	if c.State().Unavailable || calls != 3 {
		t.Fatalf("after a read: %+v, OnChange called %d times; want not Unavailable, 3 calls", c.State(), calls)
	}
}

// The oldest of many deletions are dropped, and a follower that may have missed them is
// sent the whole table.
func TestOldDeletionsDropped(t *testing.T) {
	c := watchcache.New(watchcache.Config{})
	s := &store{rows: map[string]platform.Row{}, version: 1}
	s.put("stays", "x")
	fed := s.feedTo(c, 0, true)
	before := c.Since(0).Version
	for i := range 10_000 {
		s.put(fmt.Sprint(i), "x")
		s.remove(fmt.Sprint(i), true)
	}
	s.feedTo(c, fed, false)
	if d := c.Since(before); !d.Reset || len(d.Changes) != 1 {
		t.Fatalf("reset %v with %d rows, want a reset with 1 row", d.Reset, len(d.Changes))
	}
	if d := c.Since(s.version - 2); d.Reset || len(d.Changes) != 1 {
		t.Fatalf("reset %v with %d changes, want 1 change without reset", d.Reset, len(d.Changes))
	}
}

// Replace sends only the rows that differ.
func TestReplace(t *testing.T) {
	c := watchcache.New(watchcache.Config{})
	row := func(key, content string) platform.Row { return platform.Row{Key: key, Value: value(content, 0)} }
	c.Replace([]platform.Row{row("a", "x"), row("b", "x"), row("c", "x")}, time.Now())
	first := c.Since(0)
	c.Replace([]platform.Row{row("a", "x"), row("b", "y")}, time.Now())
	d := c.Since(first.Version)
	if d.Reset || len(d.Changes) != 2 || c.Len() != 2 {
		t.Fatalf("%+v of %d rows, want 2 changes of 2 rows", d, c.Len())
	}
	c.Replace([]platform.Row{row("a", "x"), row("b", "y")}, time.Now())
	if again := c.Since(d.Version); len(again.Changes) != 0 {
		t.Fatalf("%+v after nothing has changed, want no changes", again)
	}
}
