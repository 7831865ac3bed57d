package quarantine

import "time"

// Apply takes rows read at now. full means that rows are all the rows of the store.
func (g *Guard) Apply(rows []Row, full bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(rows) == 0 && g.tracker.Len() == 0 {
		return
	}
	for _, f := range g.tracker.Apply(rows, full, now) {
		if f.Kind == Crash {
			g.learnCrash(f.Subject, now)
		}
	}
	g.onTrackerChanged()
}

// onTrackerChanged must be called, with g.mu held, after the tracker has changed. It
// sends events for contents that entered or left quarantine, and calls Config.OnChange.
func (g *Guard) onTrackerChanged() {
	g.contentCount.Store(int64(g.tracker.Len()))
	for f := range g.quarantined {
		if !g.tracker.inQuarantine(f) {
			delete(g.quarantined, f)
			g.cfg.OnEvent(Event{What: "quarantine lifted", Content: f, Crashes: g.tracker.Crashes(f)})
		}
	}
	for f := range g.tracker.contents {
		if !g.quarantined[f] && g.tracker.inQuarantine(f) {
			g.quarantined[f] = true
			g.cfg.OnEvent(Event{What: "request quarantined", Content: f, Crashes: g.tracker.Crashes(f), UnexplainedCrashes: g.tracker.unexplainedCrashes(f), Trials: g.tracker.Trials(f)})
		}
	}
	g.cfg.OnChange()
}

// Pending holds the rows to write to the store.
type Pending struct {
	Put    []Row
	Delete []Row
	NextAt time.Time // when more rows are due; zero if only the next Config.OnChange tells
}

// Pending returns the rows to write at now. It includes the rows of contents whose
// retention has passed only if sweep is set.
func (g *Guard) Pending(now time.Time, sweep bool) Pending {
	if g.contentCount.Load() == 0 {
		return Pending{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := Pending{Put: g.tracker.DueRows(now), Delete: g.tracker.InvalidRows(), NextAt: g.tracker.nextShare(now)}
	if sweep {
		p.Delete = append(p.Delete, g.tracker.ExpiredRows(now)...)
	}
	return p
}

// MarkShared records that a fact has a row with the given version.
func (g *Guard) MarkShared(fact Fact, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.MarkShared(fact, version, time.Now())
}

// MarkDeleted records that the row of a fact is deleted.
func (g *Guard) MarkDeleted(fact Fact) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracker.Apply([]Row{{Fact: fact, Deleted: true}}, false, time.Time{})
	g.onTrackerChanged()
}

// Counts returns the number of contents kept and how many of them are in quarantine.
func (g *Guard) Counts() (contents, quarantined int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Len(), len(g.quarantined)
}
