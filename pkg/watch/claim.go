package watch

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// claim takes a free slot if there is one that this instance may take by now, and
// reports whether it is a relay from now on.
func (f *Follower) claim(ctx context.Context) bool {
	v, ok := f.mayClaim(time.Now())
	if !ok {
		return false
	}
	op, err := platform.Put(v.key, v.version, Relay{Start: f.cfg.Start, Address: f.cfg.Address, DataCentre: f.cfg.DataCentre})
	if err != nil {
		f.cfg.Observe(Event{Source: f.Source(), Err: err})
		return false
	}
	cctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	rows, err := f.cfg.Store.Commit(cctx, op)
	if err != nil {
		f.readDirectory(ctx) // another has taken it, or this instance may have
		if !f.holds(v.key) {
			f.cfg.Observe(Event{Source: f.Source(), Err: fmt.Errorf("watch: slot %s not taken: %w", v.key, err)})
			return false
		}
	}
	r := newRelay(f.cfg)
	r.key = v.key
	if len(rows) == 1 {
		r.version = rows[0].Version
	}
	f.mu.Lock()
	f.relay, f.claimAt = r, time.Time{}
	f.mu.Unlock()
	return true
}

// holds reports whether this instance has the slot with a key.
func (f *Follower) holds(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.dir.of(key)
	return ok && r.Start == f.cfg.Start
}

// mayClaim returns the slot that this instance may take at now.
func (f *Follower) mayClaim(now time.Time) (vacancy, bool) {
	found := f.conditions(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg.Address == "" || f.leaving {
		return vacancy{}, false
	}
	v, ok := f.dir.vacant(f.cfg.DataCentre, func(r Relay) condition { return found[r.Address] })
	if !ok {
		f.claimAt = time.Time{}
		return vacancy{}, false
	}
	if f.claimAt.IsZero() {
		f.claimAt = claimAt(now, f.cfg.Cores, f.cfg.Draw())
	}
	return v, !now.Before(f.claimAt)
}

// conditions returns how the relays were found, by address.
func (f *Follower) conditions(now time.Time) map[string]condition {
	f.mu.Lock()
	relays := slices.Collect(maps.Values(f.dir.relays))
	avoided := maps.Clone(f.avoided)
	relaying := f.relay != nil
	f.mu.Unlock()
	out := make(map[string]condition, len(relays))
	for _, r := range relays {
		a := avoided[r.Address]
		live, known := f.cfg.Live(r.Start)
		switch {
		case r.Start == f.cfg.Start:
			if !relaying {
				out[r.Address] = gone // the answer to its claim was lost
			}
		case now.Before(a.until):
			out[r.Address] = a.found
		case known && !live:
			out[r.Address] = gone
		}
	}
	return out
}
