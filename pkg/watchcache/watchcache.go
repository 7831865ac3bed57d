// Package watchcache caches a table of the platform's store on behalf of other instances.
// An instance that follows the table keeps the cache up to date, and answers from it what
// has changed since the version that a follower knows. Changes without new content, such
// as heartbeats, are left out.
package watchcache

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// maxDeletions is how many deletions are remembered. A follower whose version is older
// than the oldest of them is sent the whole table.
const maxDeletions = 4096

// Config configures a Cache.
type Config struct {
	// Digest returns the same number for rows of one key with the same content, or 0 for
	// a row that always counts as new content. Nil stands for a function that returns 0.
	Digest func(platform.Row) uint64
	// OnChange is called when there is something new to send; it may be nil.
	OnChange func()
}

// Cache is the cache of one table. It is safe for concurrent use.
type Cache struct {
	digest   func(platform.Row) uint64
	onChange func()

	mu          sync.Mutex
	rows        map[string]*change // by key: the last change of each row, remembered deletions included
	latest      *change            // newest change, the end of a list in order of version
	oldest      *change
	deleted     int    // number of deletions in the list
	loaded      bool   // whether the table has been read once
	version     uint64 // version up to which the table is known
	floor       uint64 // deletions up to this version may be missing
	gaps        []gap  // gaps after floor, oldest first
	readAt      time.Time
	unavailable bool // whether the last read of the store failed
	snapshot    snapshot
}

// change is the last change of a row. It is immutable once it is in the list.
type change struct {
	platform.Change
	digest       uint64
	older, newer *change
}

// snapshot is the whole table at a version. It is shared by all followers that are sent
// the whole table.
type snapshot struct {
	changes   []platform.Change
	version   uint64
	createdAt time.Time // zero if it was never made
}

// snapshotPeriod is how long a snapshot is reused. A follower that was sent an older
// version gets the changes since that version next.
const snapshotPeriod = time.Second

// gap is a range of versions whose changes are unknown: rows may have been created and
// deleted in it.
type gap struct {
	after, upTo uint64 // versions; both exclusive
}

// maxGaps is how many gaps are remembered. Older ones are covered by floor.
const maxGaps = 16

// New returns an empty Cache.
func New(cfg Config) *Cache {
	c := &Cache{digest: cfg.Digest, onChange: cfg.OnChange, rows: map[string]*change{}}
	if c.digest == nil {
		c.digest = func(platform.Row) uint64 { return 0 }
	}
	if c.onChange == nil {
		c.onChange = func() {}
	}
	return c
}

// Delta is what has changed in a table since a version.
type Delta struct {
	// Reset means that Changes is the whole table.
	Reset bool
	// Changes must not be modified.
	Changes []platform.Change
	// More means that there are further changes from Version on.
	More bool
	// Loaded means that the table has been read once.
	Loaded bool
	// Version is the version up to which the table is known with Changes, to be passed to
	// Since next.
	Version uint64
	// ReadAt is when the store was last read successfully.
	ReadAt time.Time
	// Unavailable means that reading the store has failed since ReadAt.
	Unavailable bool
}

// Apply applies an update of the table, as a feed.Follower delivers it.
func (c *Cache) Apply(u feed.Update) {
	if c.apply(u) {
		c.onChange()
	}
}

// apply applies u and reports whether there is something new to send.
func (c *Cache) apply(u feed.Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Err != nil {
		changed := !c.unavailable
		c.unavailable = true
		return changed
	}
	changed := c.unavailable || !c.loaded
	c.unavailable, c.readAt = false, u.At
	changes := versioned(u)
	if u.Reset {
		c.recordGap(u.Version)
		kept := make(map[string]bool, len(u.Changes))
		for _, ch := range u.Changes {
			kept[ch.Key] = true
		}
		changed = c.removeOthers(kept, u.Version) || changed
		changes = slices.SortedFunc(slices.Values(changes), byVersion)
	}
	for _, ch := range changes {
		changed = c.put(ch) || changed
	}
	c.loaded, c.version = true, max(c.version, u.Version)
	return changed
}

// recordGap records a gap from the current version to the version of a full read: rows may
// have been created and deleted in between.
func (c *Cache) recordGap(to uint64) {
	if !c.loaded {
		c.floor = to
		return
	}
	if to <= c.version {
		return
	}
	c.gaps = append(c.gaps, gap{after: c.version, upTo: to})
	if len(c.gaps) > maxGaps {
		c.floor = max(c.floor, c.gaps[0].upTo)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
}

// isKnown reports whether all changes since a version are known.
func (c *Cache) isKnown(version uint64) bool {
	inGap := func(g gap) bool { return g.after < version && version < g.upTo }
	return version != 0 && version >= c.floor && !slices.ContainsFunc(c.gaps, inGap)
}

// Touch records whether the table could be read, but not its changes.
func (c *Cache) Touch(u feed.Update) {
	c.mu.Lock()
	changed := c.unavailable != (u.Err != nil)
	c.unavailable = u.Err != nil
	if u.Err == nil {
		c.readAt = u.At
	}
	c.mu.Unlock()
	if changed {
		c.onChange()
	}
}

// Replace makes rows, as read at at, the whole table. The cache numbers versions itself:
// a call that brings something new creates the next version.
func (c *Cache) Replace(rows []platform.Row, at time.Time) {
	if c.replace(rows, at) {
		c.onChange()
	}
}

func (c *Cache) replace(rows []platform.Row, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := !c.loaded
	c.loaded, c.readAt = true, at
	next := c.version + 1
	kept := make(map[string]bool, len(rows))
	for _, r := range rows {
		kept[r.Key] = true
		old := c.rows[r.Key]
		if old != nil && !old.Deleted && bytes.Equal(old.Value, r.Value) {
			continue
		}
		r.Version = next
		c.insert(&change{Change: platform.Change{Row: r}})
		changed = true
	}
	changed = c.removeOthers(kept, next) || changed
	if changed {
		c.version = next
	}
	return changed
}

// removeOthers deletes the rows that are not in kept, at a version, and reports whether
// there were any.
func (c *Cache) removeOthers(kept map[string]bool, version uint64) bool {
	changed := false
	for key, old := range c.rows {
		if !kept[key] && !old.Deleted {
			c.insert(&change{Change: platform.Change{Row: platform.Row{Key: key, Version: version}, Deleted: true}})
			changed = true
		}
	}
	return changed
}

// versioned returns the changes of u. A deletion without a version gets the latest
// version that it can have: the one before the next change that has a version, or
// u.Version.
func versioned(u feed.Update) []platform.Change {
	changes, latest := u.Changes, u.Version
	for i := len(changes) - 1; i >= 0; i-- {
		switch {
		case changes[i].Version != 0:
			latest = changes[i].Version - 1
		case changes[i].Deleted:
			if &changes[0] == &u.Changes[0] {
				changes = slices.Clone(changes)
			}
			changes[i].Version = latest
		}
	}
	return changes
}

// put applies one change and reports whether it has new content.
func (c *Cache) put(ch platform.Change) bool {
	old := c.rows[ch.Key]
	if old != nil && old.Version >= ch.Version {
		return false
	}
	if ch.Deleted {
		c.insert(&change{Change: platform.Change{Row: platform.Row{Key: ch.Key, Version: ch.Version}, Deleted: true}})
		return true
	}
	digest := c.digest(ch.Row)
	if old != nil && !old.Deleted && digest != 0 && digest == old.digest {
		return false
	}
	c.insert(&change{Change: ch, digest: digest})
	return true
}

// insert adds n to the list in place of the last change of its row.
func (c *Cache) insert(n *change) {
	if old := c.rows[n.Key]; old != nil {
		c.unlink(old)
	}
	c.rows[n.Key] = n
	after := c.latest // nearly always the right place
	for after != nil && after.Version > n.Version {
		after = after.older
	}
	n.older = after
	if after == nil {
		n.newer, c.oldest = c.oldest, n
	} else {
		n.newer, after.newer = after.newer, n
	}
	if n.newer == nil {
		c.latest = n
	} else {
		n.newer.older = n
	}
	if n.Deleted {
		c.deleted++
		c.forgetDeletions()
	}
}

func (c *Cache) unlink(n *change) {
	if n.older == nil {
		c.oldest = n.newer
	} else {
		n.older.newer = n.newer
	}
	if n.newer == nil {
		c.latest = n.older
	} else {
		n.newer.older = n.older
	}
	if n.Deleted {
		c.deleted--
	}
}

// forgetDeletions drops the oldest deletions, down to half of maxDeletions, once there
// are more than maxDeletions.
func (c *Cache) forgetDeletions() {
	if c.deleted <= maxDeletions {
		return
	}
	for n := c.oldest; n != nil && c.deleted > maxDeletions/2; {
		next := n.newer
		if n.Deleted {
			c.floor = max(c.floor, n.Version)
			c.unlink(n)
			delete(c.rows, n.Key)
		}
		n = next
	}
}

// Since returns what has changed after a version; 0 stands for a follower that knows
// nothing.
func (c *Cache) Since(version uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.state()
	if !c.loaded {
		return d
	}
	if !c.isKnown(version) {
		s := c.fullTable(version, time.Now())
		d.Reset, d.Changes, d.Version, d.More = true, s.changes, s.version, s.version < c.version
		return d
	}
	for n := c.latest; n != nil && n.Version > version; n = n.older {
		d.Changes = append(d.Changes, n.Change)
	}
	slices.Reverse(d.Changes)
	return d
}

// fullTable returns a snapshot of the table at the given version or a later one. It makes
// a new one if the last is outdated.
func (c *Cache) fullTable(version uint64, now time.Time) snapshot {
	s := &c.snapshot
	if s.version == c.version && !s.createdAt.IsZero() || s.version >= version && now.Sub(s.createdAt) < snapshotPeriod {
		return *s
	}
	*s = snapshot{version: c.version, createdAt: now, changes: make([]platform.Change, 0, len(c.rows)-c.deleted)}
	for n := c.oldest; n != nil; n = n.newer {
		if !n.Deleted {
			s.changes = append(s.changes, n.Change)
		}
	}
	return *s
}

func (c *Cache) state() Delta {
	return Delta{Loaded: c.loaded, Version: c.version, ReadAt: c.readAt, Unavailable: c.unavailable}
}

// State is Since without the changes.
func (c *Cache) State() Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

// Len returns the number of rows.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows) - c.deleted
}

// byVersion compares changes by version, the order of the list.
func byVersion(a, b platform.Change) int { return cmp.Compare(a.Version, b.Version) }
