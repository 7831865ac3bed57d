package watch

import (
	"context"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/feed"
	"github.com/zinnialadder/zinnialadder/pkg/peer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// scanRows is how many relays are read at the most.
const scanRows = 500

// errNoSource is told of tables that nothing is read of for now.
var errNoSource = fmt.Errorf("%w: watch: no relay, and the store is not read", platform.ErrUnavailable)

// find looks for a relay. It reports false where the tables are to be read from the
// store: the site is small, this instance has become a relay, or no relay was found in
// time.
//
// Tables that are known up to some version are read on from there at once: that costs
// the store little. An instance that knows nothing would read whole tables, and gives
// relays time to begin.
func (f *Follower) find(ctx context.Context) (joined, bool) {
	if f.cfg.Dial == nil {
		return joined{}, false
	}
	patient := !f.knowsTables()
	giveUp := time.Now().Add(patience)
	for looks := 0; ctx.Err() == nil; looks++ {
		read := false
		if looks > 0 || patient {
			read = f.readDirectory(ctx)
		}
		if j, ok := f.race(ctx, f.candidates(true), searchTime(patient)); ok {
			if j, ok = f.watchAll(j); ok {
				return j, true
			}
		}
		if read && f.isSmall() || f.claim(ctx) {
			return joined{}, false
		}
		if looks > 0 && !patient || time.Now().After(giveUp) {
			return joined{}, false
		}
		f.tellLost(ctx)
		if patient {
			f.pause(ctx)
		}
	}
	return joined{}, false
}

// searchTime returns how long to look for a relay at once.
func searchTime(patient bool) time.Duration {
	if patient {
		return raceTime
	}
	return quickRaceTime
}

// minPause is the least time between two looks for a relay.
const minPause = 50 * time.Millisecond

// pause waits until relays are looked for again.
func (f *Follower) pause(ctx context.Context) {
	d := time.Duration((0.5 + f.cfg.Draw()) * float64(lookPause))
	f.mu.Lock()
	claimAt := f.claimAt
	f.mu.Unlock()
	if !claimAt.IsZero() {
		d = min(d, max(time.Until(claimAt), minPause))
	}
	clock.Sleep(ctx, d)
}

// knowsTables reports whether the tables are known up to some version.
func (f *Follower) knowsTables() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.cfg.Tables {
		if !t.Derived && f.from[t.Name] == 0 {
			return false
		}
	}
	return true
}

// isSmall reports whether no relays are known and none are wanted.
func (f *Follower) isSmall() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.dir.relays) == 0 && !f.cfg.Crowded()
}

// tellLost tells that the tables cannot be read for now.
func (f *Follower) tellLost(ctx context.Context) {
	for _, t := range f.cfg.Tables {
		f.cfg.Tell(ctx, feed.Update{Table: t.Name, At: time.Now(), Err: errNoSource})
	}
}

// readDirectory reads which relays there are, and reports whether it could.
func (f *Follower) readDirectory(ctx context.Context) bool {
	rctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	page, err := f.cfg.Store.ScanFrom(rctx, Prefix(), "", scanRows)
	if err != nil {
		return false
	}
	changes := make([]platform.Change, len(page.Rows))
	for i, r := range page.Rows {
		changes[i] = platform.Change{Row: r}
	}
	f.learnRelays(changes, true)
	return true
}

// learnRelays takes rows of the relays' table. One that cannot be read names no relay.
func (f *Follower) learnRelays(changes []platform.Change, reset bool) {
	f.mu.Lock()
	err := f.dir.apply(changes, reset)
	f.mu.Unlock()
	if err != nil {
		f.cfg.Observe(Event{Source: f.Source(), Err: err})
	}
}

// candidates returns the relays to try, in order: those of the own data centre, and after
// them all others if these are wanted.
func (f *Follower) candidates(others bool) []Relay {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Relay
	for _, r := range f.dir.nearest(f.cfg.DataCentre, f.cfg.Start, f.cfg.Draw) {
		if now.Before(f.avoided[r.Address].until) || !others && r.DataCentre != f.cfg.DataCentre {
			continue
		}
		out = append(out, r)
	}
	return out
}

// avoid has the relay at address not tried for a while, as it was found to be full or
// gone. One that has said itself that it is full is not gone.
func (f *Follower) avoid(address string, found condition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if a := f.avoided[address]; found == gone && a.found == full && now.Before(a.until) {
		return
	}
	f.avoided[address] = avoidance{until: now.Add(avoidTime), found: found}
}

// watched returns what to ask a relay for.
func (f *Follower) watched() []peer.WatchedTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []peer.WatchedTable{{Table: Table}}
	for _, t := range f.cfg.Tables {
		after := f.from[t.Name]
		if t.Derived {
			after = 0
		}
		out = append(out, peer.WatchedTable{Table: t.Name, After: after})
	}
	return out
}
