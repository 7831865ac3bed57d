// Package watchcache keeps a table of the platform's store in memory for other
// instances: an instance that follows the table fills it, and those that follow the
// instance are answered from it what has changed since the version that they know.
// Rows that tell nothing new, such as heartbeats, are left out.
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

// keptDeletions is how many deletions are remembered. Who knows a version before the
// oldest of them is given the whole table.
const keptDeletions = 4096

// Config configures a Cache.
type Config struct {
	// Digest returns the same number for rows of one key that tell the same, or 0 for
	// a row that tells something new; nil for always 0.
	Digest func(platform.Row) uint64
	// OnChange is told when there is more to tell; nil for nobody.
	OnChange func()
}

// Cache is one table. It is safe for concurrent use.
type Cache struct {
	digest func(platform.Row) uint64
	news   func()

	mu      sync.Mutex
	rows    map[string]*change // those that there are, and the deletions that are kept
	latest  *change            // the newest of a list in order of version
	oldest  *change
	deleted int    // how many of them are deletions
	read    bool   // the table has been read once
	version uint64 // up to which
	floor   uint64 // deletions up to this version may be unknown
	gaps    []gap  // those after it, oldest first
	readAt  time.Time
	lost    bool // the store could not be asked when it was last
	whole   whole
}

// change is the last change of a row. It is not changed once it is in the list.
type change struct {
	platform.Change
	digest       uint64
	older, newer *change
}

// whole is the whole table at a version, shared by those who are told all of it.
type whole struct {
	changes []platform.Change
	version uint64
	madeAt  time.Time // zero for never
}

// wholeTime is how long a whole table is told before it is made anew: who is told it is
// told what has changed since next.
const wholeTime = time.Second

// gap is a stretch of the store's history that was lost: rows that came and went in it
// are unknown.
type gap struct {
	after, upTo uint64 // versions
}

// keptGaps is how many gaps are remembered apart.
const keptGaps = 16

// New returns an empty Cache.
func New(cfg Config) *Cache {
	c := &Cache{digest: cfg.Digest, news: cfg.OnChange, rows: map[string]*change{}}
	if c.digest == nil {
		c.digest = func(platform.Row) uint64 { return 0 }
	}
	if c.news == nil {
		c.news = func() {}
	}
	return c
}

// Delta is what has become of a table since a version.
type Delta struct {
	// Reset means that Changes hold the whole table.
	Reset bool
	// Changes are not to be changed.
	Changes []platform.Change
	// More means that there is more to tell from Version on.
	More bool
	// Loaded means that the table has been read.
	Loaded bool
	// Version is the one to ask from next.
	Version uint64
	// ReadAt is when the store was last asked with success.
	ReadAt time.Time
	// Unavailable means that the store could not be asked since.
	Unavailable bool
}

// Apply takes what a feed has learned of the table.
func (c *Cache) Apply(u feed.Update) {
	if c.apply(u) {
		c.news()
	}
}

// apply reports whether u tells anything new.
func (c *Cache) apply(u feed.Update) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Err != nil {
		news := !c.lost
		c.lost = true
		return news
	}
	news := c.lost || !c.read
	c.lost, c.readAt = false, u.At
	changes := versioned(u)
	if u.Reset {
		c.skip(u.Version)
		kept := make(map[string]bool, len(u.Changes))
		for _, ch := range u.Changes {
			kept[ch.Key] = true
		}
		news = c.removeOthers(kept, u.Version) || news
		changes = slices.SortedFunc(slices.Values(changes), byVersion)
	}
	for _, ch := range changes {
		news = c.put(ch) || news
	}
	c.read, c.version = true, max(c.version, u.Version)
	return news
}

// skip tells that the whole table has been read at a version: nothing is known of what
// came and went since the version before.
func (c *Cache) skip(to uint64) {
	if !c.read {
		c.floor = to
		return
	}
	if to <= c.version {
		return
	}
	c.gaps = append(c.gaps, gap{after: c.version, upTo: to})
	if len(c.gaps) > keptGaps {
		c.floor = max(c.floor, c.gaps[0].upTo)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
}

// isKnown reports whether all that has become of the table since a version is known.
func (c *Cache) isKnown(version uint64) bool {
	inGap := func(g gap) bool { return g.after < version && version < g.upTo }
	return version != 0 && version >= c.floor && !slices.ContainsFunc(c.gaps, inGap)
}

// Touch takes that the table has been read, or could not be, but nothing of what is in
// it.
func (c *Cache) Touch(u feed.Update) {
	c.mu.Lock()
	news := c.lost != (u.Err != nil)
	c.lost = u.Err != nil
	if u.Err == nil {
		c.readAt = u.At
	}
	c.mu.Unlock()
	if news {
		c.news()
	}
}

// Replace takes rows as the whole table, at at. It counts its own versions: those that
// tell something new get the next one.
func (c *Cache) Replace(rows []platform.Row, at time.Time) {
	if c.replace(rows, at) {
		c.news()
	}
}

func (c *Cache) replace(rows []platform.Row, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	news := !c.read
	c.read, c.readAt = true, at
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
		news = true
	}
	news = c.removeOthers(kept, next) || news
	if news {
		c.version = next
	}
	return news
}

// removeOthers deletes the rows that are not among those kept, at a version, and reports
// whether there were any.
func (c *Cache) removeOthers(kept map[string]bool, version uint64) bool {
	news := false
	for key, old := range c.rows {
		if !kept[key] && !old.Deleted {
			c.insert(&change{Change: platform.Change{Row: platform.Row{Key: key, Version: version}, Deleted: true}})
			news = true
		}
	}
	return news
}

// versioned returns the changes of u. Deletions without a version of their own are given
// the latest that they can have.
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

// put takes one change and reports whether it tells anything new.
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

// insert puts n into the list in place of what is known of its row.
func (c *Cache) insert(n *change) {
	if old := c.rows[n.Key]; old != nil {
		c.unlink(old)
	}
	c.rows[n.Key] = n
	after := c.latest // nearly always the place: changes come in order
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

// forgetDeletions forgets the older half of the deletions once there are too many.
func (c *Cache) forgetDeletions() {
	if c.deleted <= keptDeletions {
		return
	}
	for n := c.oldest; n != nil && c.deleted > keptDeletions/2; {
		next := n.newer
		if n.Deleted {
			c.floor = max(c.floor, n.Version)
			c.unlink(n)
			delete(c.rows, n.Key)
		}
		n = next
	}
}

// Since returns what has changed after a version, 0 for one that knows nothing.
func (c *Cache) Since(version uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.state()
	if !c.read {
		return d
	}
	if !c.isKnown(version) {
		w := c.wholeTable(version, time.Now())
		d.Reset, d.Changes, d.Version, d.More = true, w.changes, w.version, w.version < c.version
		return d
	}
	for n := c.latest; n != nil && n.Version > version; n = n.older {
		d.Changes = append(d.Changes, n.Change)
	}
	slices.Reverse(d.Changes)
	return d
}

// wholeTable returns the whole table at a version that is not before the one given.
func (c *Cache) wholeTable(version uint64, now time.Time) whole {
	w := &c.whole
	if w.version == c.version && !w.madeAt.IsZero() || w.version >= version && now.Sub(w.madeAt) < wholeTime {
		return *w
	}
	*w = whole{version: c.version, madeAt: now, changes: make([]platform.Change, 0, len(c.rows)-c.deleted)}
	for n := c.oldest; n != nil; n = n.newer {
		if !n.Deleted {
			w.changes = append(w.changes, n.Change)
		}
	}
	return *w
}

func (c *Cache) state() Delta {
	return Delta{Loaded: c.read, Version: c.version, ReadAt: c.readAt, Unavailable: c.lost}
}

// State is Since without the changes.
func (c *Cache) State() Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state()
}

// Len returns how many rows there are.
func (c *Cache) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rows) - c.deleted
}

// byVersion orders changes as the list does.
func byVersion(a, b platform.Change) int { return cmp.Compare(a.Version, b.Version) }
