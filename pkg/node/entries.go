package node

import (
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// onEntries takes what upstreams registered. Entries that lapse while the
// store is away come back soon after its return if their upstreams live, so
// those that are missing then are kept for that time.
func (s *state) onEntries(u feed.Update, away bool) []effect {
	if away {
		s.graceTill = u.At.Add(returnTime)
	}
	var effs []effect
	changed := false
	present := map[string]bool{}
	prefix := s.decoder.EntriesTable + "//"
	for _, ch := range u.Changes {
		id := strings.TrimPrefix(ch.Key, prefix)
		if u.Reset {
			present[id] = true
		}
		if ch.Deleted {
			changed = s.entryGone(id, u.At) || changed
			continue
		}
		news, notes := s.onEntry(id, ch.Row, u.At)
		changed = changed || news
		effs = append(effs, notes...)
	}
	if u.Reset {
		for id := range s.entries {
			if !present[id] {
				changed = s.entryGone(id, u.At) || changed
			}
		}
	}
	if !changed {
		return effs // as after heartbeats alone, of which a large site has thousands a second
	}
	return append(effs, s.publishEntries())
}

// onEntry takes an upstream's row and reports whether it tells anything new.
func (s *state) onEntry(id string, row platform.Row, at time.Time) (changed bool, notes []effect) {
	old, known := s.entries[id]
	if known && s.decoder.SameEntry != nil && s.decoder.SameEntry(s.entryRows[id], row) {
		delete(s.missing, id)
		return false, nil
	}
	e, err := s.decoder.Entry(row)
	if err != nil {
		return s.entryGone(id, at), []effect{upstreamNote{"entry not usable", []any{"upstream", id, "err", err}}}
	}
	delete(s.missing, id)
	if !known || !old.SameStart(e) || old.Draining != e.Draining {
		notes = []effect{upstreamNote{"upstream", []any{"upstream", id, "pool", e.Pool, "address", e.Address, "draining", e.Draining, "born", e.Born}}}
	}
	s.entries[id], s.entryRows[id] = e, row
	return !known || !old.Equal(e), notes
}

// entryGone drops an entry, or keeps it as missing, and reports whether it is
// dropped.
func (s *state) entryGone(id string, at time.Time) bool {
	if _, ok := s.entries[id]; !ok {
		return false
	}
	if at.Before(s.graceTill) {
		s.missing[id] = s.graceTill
		return false
	}
	s.dropEntry(id)
	return true
}

func (s *state) dropEntry(id string) {
	delete(s.entries, id)
	delete(s.entryRows, id)
	delete(s.missing, id)
}

// dropMissing drops the entries that have not come back in time.
func (s *state) dropMissing(now time.Time) []effect {
	var effs []effect
	for id, till := range s.missing {
		if now.Before(till) {
			continue
		}
		s.dropEntry(id)
		effs = append(effs, upstreamNote{"upstream gone", []any{"upstream", id}})
	}
	if len(effs) == 0 {
		return nil
	}
	return append(effs, s.publishEntries())
}

func (s *state) publishEntries() effect {
	s.undealt, s.askedAnew = true, true
	out := make([]upstream.Entry, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e)
	}
	return setUpstreams{out}
}
