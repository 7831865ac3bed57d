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

// value is a row's value: what it tells, and a count that is of no interest.
func value(tells string, count int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf("%s %d", tells, count))
}

func tells(r platform.Row) string {
	var s string
	fmt.Sscan(string(r.Value), &s)
	return s
}

func digest(r platform.Row) uint64 { return uint64(tells(r)[0]) }

// store is a table, its history, and the feeds of the caches that follow it.
type store struct {
	rows    map[string]platform.Row
	history []platform.Change
	version uint64
}

func (s *store) put(key, what string) {
	s.version++
	s.rows[key] = platform.Row{Key: key, Version: s.version, Value: value(what, int(s.version))}
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

// feedTo brings a cache up to date, by the changes or by the whole table.
func (s *store) feedTo(c *watchcache.Cache, from int, whole bool) int {
	u := feed.Update{At: time.Now(), Version: s.version, Reset: whole, Changes: s.history[from:]}
	if whole {
		u.Changes = nil
		for _, r := range s.rows {
			u.Changes = append(u.Changes, platform.Change{Row: r})
		}
	}
	c.Apply(u)
	return len(s.history)
}

// follower knows a table from what caches told it.
type follower struct {
	rows    map[string]string
	version uint64
}

func (f *follower) take(c *watchcache.Cache) {
	for f.takeOnce(c) {
	}
}

// takeOnce reports whether there is more.
func (f *follower) takeOnce(c *watchcache.Cache) bool {
	d := c.Since(f.version)
	if !d.Loaded || d.Version < f.version {
		return false // the cache is behind
	}
	if d.Reset {
		f.rows = map[string]string{}
	}
	for _, ch := range d.Changes {
		if ch.Deleted {
			delete(f.rows, ch.Key)
		} else {
			f.rows[ch.Key] = tells(ch.Row)
		}
	}
	f.version = d.Version
	return d.More
}

// Whatever becomes of a table, of the caches that follow it and of the store's history,
// a follower that goes from one cache to the other knows what the table tells as soon as
// its cache does.
func TestFollowersKnowWhatTheTableTells(t *testing.T) {
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
			switch rapid.SampledFrom([]string{"put", "put", "put", "remove", "feed", "feed", "follow", "read again", "begin anew"}).Draw(t, "event") {
			case "put":
				s.put(keys.Draw(t, "key"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "value"))
			case "remove":
				if key := keys.Draw(t, "key"); s.rows[key].Version != 0 {
					s.remove(key, rapid.Bool().Draw(t, "versioned"))
				}
			case "feed":
				fed[i], known[i] = s.feedTo(caches[i], fed[i], !known[i]), true
			case "read again":
				fed[i], known[i] = s.feedTo(caches[i], fed[i], true), true
			case "begin anew":
				caches[i], known[i] = watchcache.New(watchcache.Config{Digest: digest}), false
			case "follow":
				f.take(caches[i])
			}
			if i := rapid.IntRange(0, 1).Draw(t, "check"); known[i] {
				fed[i] = s.feedTo(caches[i], fed[i], false)
				f.take(caches[i])
				want := map[string]string{}
				for k, r := range s.rows {
					want[k] = tells(r)
				}
				if !maps.Equal(f.rows, want) {
					t.Fatalf("known %v, want %v", f.rows, want)
				}
			}
		}
	})
}

// Rows that tell nothing new are not told, and wake nobody.
func TestHeartbeatsAreNotTold(t *testing.T) {
	woken := 0
	c := watchcache.New(watchcache.Config{Digest: digest, OnChange: func() { woken++ }})
	s := &store{rows: map[string]platform.Row{}, version: 1}
	s.put("a", "x")
	fed := s.feedTo(c, 0, true)
	first := c.Since(0)
	if !first.Reset || len(first.Changes) != 1 || woken != 1 {
		t.Fatalf("%+v, woken %d times", first, woken)
	}
	for range 10 {
		s.put("a", "x")
		fed = s.feedTo(c, fed, false)
	}
	if d := c.Since(first.Version); len(d.Changes) != 0 || d.Reset || d.Version != s.version || woken != 1 {
		t.Fatalf("after heartbeats %+v, woken %d times", d, woken)
	}
	s.put("a", "y")
	s.feedTo(c, fed, false)
	if d := c.Since(first.Version); len(d.Changes) != 1 || woken != 2 {
		t.Fatalf("after a change %+v, woken %d times", d, woken)
	}
}

// A cache that cannot ask the store says so once, and once when it can again.
func TestLostStoreIsTold(t *testing.T) {
	woken := 0
	c := watchcache.New(watchcache.Config{OnChange: func() { woken++ }})
	c.Apply(feed.Update{At: time.Now(), Version: 3, Reset: true})
	for range 3 {
		c.Apply(feed.Update{Err: errors.New("away")})
	}
	if !c.State().Unavailable || woken != 2 {
		t.Fatalf("%+v, woken %d times", c.State(), woken)
	}
	c.Apply(feed.Update{At: time.Now(), Version: 4})
	if c.State().Unavailable || woken != 3 {
		t.Fatalf("%+v, woken %d times", c.State(), woken)
	}
}

// Of many deletions the older ones are forgotten, and who knows nothing of them is told
// the whole table.
func TestDeletionsAreForgotten(t *testing.T) {
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
		t.Fatalf("whole table %v, %d rows", d.Reset, len(d.Changes))
	}
	if d := c.Since(s.version - 2); d.Reset || len(d.Changes) != 1 {
		t.Fatalf("whole table %v, %d changes of one", d.Reset, len(d.Changes))
	}
}

// Rows that are replaced as a whole are told as far as they differ.
func TestReplace(t *testing.T) {
	c := watchcache.New(watchcache.Config{})
	row := func(key, what string) platform.Row { return platform.Row{Key: key, Value: value(what, 0)} }
	c.Replace([]platform.Row{row("a", "x"), row("b", "x"), row("c", "x")}, time.Now())
	first := c.Since(0)
	c.Replace([]platform.Row{row("a", "x"), row("b", "y")}, time.Now())
	d := c.Since(first.Version)
	if d.Reset || len(d.Changes) != 2 || c.Len() != 2 {
		t.Fatalf("%+v of %d rows", d, c.Len())
	}
	c.Replace([]platform.Row{row("a", "x"), row("b", "y")}, time.Now())
	if again := c.Since(d.Version); len(again.Changes) != 0 {
		t.Fatalf("%+v after nothing has changed", again)
	}
}
