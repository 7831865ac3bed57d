package quarantine

import "time"

// Apply takes rows read at now. Reset means that they are all that there are.
func (g *Guard) Apply(rows []Row, reset bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(rows) == 0 && g.ledger.Len() == 0 {
		return
	}
	g.ledger.Apply(rows, reset, now)
	g.settle()
}

// settle is called after the ledger has changed.
func (g *Guard) settle() {
	g.known.Store(int64(g.ledger.Len()))
	for f := range g.held {
		if !g.ledger.inQuarantine(f) {
			delete(g.held, f)
			g.cfg.OnEvent(Event{What: "quarantine lifted", Content: f, Crashes: g.ledger.Crashes(f)})
		}
	}
	for f := range g.ledger.contents {
		if !g.held[f] && g.ledger.inQuarantine(f) {
			g.held[f] = true
			g.cfg.OnEvent(Event{What: "request quarantined", Content: f, Crashes: g.ledger.Crashes(f), Unexplained: g.ledger.unexplained(f), Trials: g.ledger.Trials(f)})
		}
	}
	g.cfg.OnChange()
}

// Pending is what is to be written to the store, and when there may be more.
type Pending struct {
	Put    []Row
	Delete []Row
	NextAt time.Time // zero for when the Guard tells that it has changed
}

// Pending returns what is to be written at now. Rows of contents that are not
// remembered any longer are left out unless sweep is set.
func (g *Guard) Pending(now time.Time, sweep bool) Pending {
	if g.known.Load() == 0 {
		return Pending{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := Pending{Put: g.ledger.DueRows(now), Delete: g.ledger.InvalidRows(), NextAt: g.ledger.nextShare(now)}
	if sweep {
		p.Delete = append(p.Delete, g.ledger.ExpiredRows(now)...)
	}
	return p
}

// MarkShared tells that a fact has a row of the version given.
func (g *Guard) MarkShared(fact Fact, version uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.MarkShared(fact, version, time.Now())
}

// MarkDeleted tells that the row of a fact is gone.
func (g *Guard) MarkDeleted(fact Fact) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Apply([]Row{{Fact: fact, Deleted: true}}, false, time.Time{})
	g.settle()
}

// Counts returns how many contents are known, and how many of them are in quarantine.
func (g *Guard) Counts() (contents, quarantined int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Len(), len(g.held)
}
