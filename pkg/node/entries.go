package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// entryRecord is an upstream's entry, as decoded from its row.
type entryRecord struct {
	*upstream.Entry        // never modified
	digest          uint64 // digest of the row; 0 if it must always be decoded
}

// entryChanges collects the changes of entries while one update is applied.
type entryChanges struct {
	put     []*upstream.Entry
	removed []string
	logs    []effect
}

// onEntries applies changes of the entries table. Entries that expire while the store
// is unavailable are registered again soon after it returns if their upstreams live, so
// entries that are missing then are kept for reregistrationTime.
func (s *state) onEntries(u feed.Update, longOutage bool) []effect {
	if longOutage {
		s.graceUntil = u.At.Add(reregistrationTime)
	}
	var c entryChanges
	present := map[string]bool{}
	prefix := s.decoder.EntriesTable + "//"
	for _, ch := range u.Changes {
		id := strings.TrimPrefix(ch.Key, prefix)
		if u.Reset {
			present[id] = true
		}
		if ch.Deleted {
			delete(s.unusable, id)
			s.entryRemoved(&c, id, u.At)
			continue
		}
		s.onEntry(&c, id, ch.Row, u.At)
	}
	if u.Reset {
		maps.DeleteFunc(s.unusable, func(id string, _ bool) bool { return !present[id] })
		for id := range s.entries {
			if !present[id] {
				s.entryRemoved(&c, id, u.At)
			}
		}
	}
	return s.publish(c)
}

// onEntry applies an upstream's row. Nearly all rows are heartbeats that change nothing
// else. A large site has thousands of them a second.
func (s *state) onEntry(c *entryChanges, id string, row platform.Row, at time.Time) {
	old, known := s.entries[id]
	digest := uint64(0)
	if s.decoder.EntryDigest != nil {
		digest = s.decoder.EntryDigest(row)
	}
	if known && digest != 0 && digest == old.digest {
		delete(s.missing, id)
		return
	}
	e, err := s.decoder.Entry(row)
	if err != nil {
		s.entryRemoved(c, id, at)
		if !s.unusable[id] {
			s.unusable[id] = true
			c.logs = append(c.logs, logUpstream{"entry not usable", []any{"upstream", id, "err", err}})
		}
		return
	}
	delete(s.missing, id)
	delete(s.unusable, id)
	if !known || !old.SameProcess(e) || old.Draining != e.Draining {
		c.logs = append(c.logs, logUpstream{"upstream", []any{"upstream", id, "pool", e.Pool, "address", e.Address, "draining", e.Draining, "born", e.Born}})
	}
	if known && old.Equal(e) {
		s.entries[id] = entryRecord{Entry: old.Entry, digest: digest}
		return
	}
	s.entries[id] = entryRecord{Entry: &e, digest: digest}
	c.put = append(c.put, &e)
}

// entryRemoved removes an entry, or keeps it as missing.
func (s *state) entryRemoved(c *entryChanges, id string, at time.Time) {
	if _, ok := s.entries[id]; !ok {
		return
	}
	if at.Before(s.graceUntil) {
		s.missing[id] = s.graceUntil
		return
	}
	s.removeEntry(c, id)
}

func (s *state) removeEntry(c *entryChanges, id string) {
	delete(s.entries, id)
	delete(s.missing, id)
	c.removed = append(c.removed, id)
}

// removeMissing removes the missing entries that were not registered again in time.
func (s *state) removeMissing(now time.Time) []effect {
	var c entryChanges
	for id, till := range s.missing {
		if now.Before(till) {
			continue
		}
		s.removeEntry(&c, id)
		c.logs = append(c.logs, logUpstream{"upstream gone", []any{"upstream", id}})
	}
	return s.publish(c)
}

// publish returns the effects of c. An entry that is both in put and in removed is
// published as whichever it is now.
func (s *state) publish(c entryChanges) []effect {
	if len(c.put) == 0 && len(c.removed) == 0 {
		return c.logs
	}
	s.assignmentsStale, s.demandsStale = true, true
	registered := func(id string) bool {
		_, ok := s.entries[id]
		return ok
	}
	put := slices.DeleteFunc(c.put, func(e *upstream.Entry) bool { return !registered(e.ID) })
	removed := slices.DeleteFunc(c.removed, registered)
	return append(c.logs, setUpstreams{changes: upstream.Changes{Updated: put, Removed: removed}, total: len(s.entries)})
}
