package node

import (
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// registered is an upstream's entry, as read from its row.
type registered struct {
	*upstream.Entry        // not changed
	digest          uint64 // of what the row tells; 0 if it is to be read whole each time
}

// entryChanges are what becomes of entries while one update is taken.
type entryChanges struct {
	put   []*upstream.Entry
	gone  []string
	notes []effect
}

// onEntries takes what upstreams registered. Entries that lapse while the
// store is away come back soon after its return if their upstreams live, so
// those that are missing then are kept for that time.
func (s *state) onEntries(u feed.Update, away bool) []effect {
	if away {
		s.graceTill = u.At.Add(returnTime)
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
			s.entryGone(&c, id, u.At)
			continue
		}
		s.onEntry(&c, id, ch.Row, u.At)
	}
	if u.Reset {
		for id := range s.entries {
			if !present[id] {
				s.entryGone(&c, id, u.At)
			}
		}
	}
	return s.publish(c)
}

// onEntry takes an upstream's row. Nearly all rows are heartbeats that tell nothing
// new, of which a large site has thousands a second.
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
		s.entryGone(c, id, at)
		c.notes = append(c.notes, upstreamNote{"entry not usable", []any{"upstream", id, "err", err}})
		return
	}
	delete(s.missing, id)
	if !known || !old.SameProcess(e) || old.Draining != e.Draining {
		c.notes = append(c.notes, upstreamNote{"upstream", []any{"upstream", id, "pool", e.Pool, "address", e.Address, "draining", e.Draining, "born", e.Born}})
	}
	if known && old.Equal(e) {
		s.entries[id] = registered{Entry: old.Entry, digest: digest}
		return
	}
	s.entries[id] = registered{Entry: &e, digest: digest}
	c.put = append(c.put, &e)
}

// entryGone drops an entry, or keeps it as missing.
func (s *state) entryGone(c *entryChanges, id string, at time.Time) {
	if _, ok := s.entries[id]; !ok {
		return
	}
	if at.Before(s.graceTill) {
		s.missing[id] = s.graceTill
		return
	}
	s.dropEntry(c, id)
}

func (s *state) dropEntry(c *entryChanges, id string) {
	delete(s.entries, id)
	delete(s.missing, id)
	c.gone = append(c.gone, id)
}

// dropMissing drops the entries that have not come back in time.
func (s *state) dropMissing(now time.Time) []effect {
	var c entryChanges
	for id, till := range s.missing {
		if now.Before(till) {
			continue
		}
		s.dropEntry(&c, id)
		c.notes = append(c.notes, upstreamNote{"upstream gone", []any{"upstream", id}})
	}
	return s.publish(c)
}

// publish returns the effects of c, none if it tells nothing new. An entry that is
// put and gone in one update is gone if it is not there any more.
func (s *state) publish(c entryChanges) []effect {
	if len(c.put) == 0 && len(c.gone) == 0 {
		return c.notes
	}
	s.undealt, s.askedAnew = true, true
	there := func(id string) bool {
		_, ok := s.entries[id]
		return ok
	}
	put := slices.DeleteFunc(c.put, func(e *upstream.Entry) bool { return !there(e.ID) })
	gone := slices.DeleteFunc(c.gone, there)
	return append(c.notes, setUpstreams{changes: upstream.Changes{Updated: put, Removed: gone}, total: len(s.entries)})
}
