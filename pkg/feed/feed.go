// Package feed follows tables of the platform's store: it reads a table in full once,
// then its changes, and reports when the store is unavailable.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

const (
	// scanRows is how many rows are requested in one call, the maximum that the store
	// returns.
	scanRows = 500
	// minBackoff and maxBackoff bound the backoff after a failed call, which doubles with
	// each failure. Half of it is jitter, so that instances that lost the store together
	// do not return together.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Update is what a Follower learned of a table at time At.
type Update struct {
	Table string
	At    time.Time
	// Reset means that Changes is the whole table.
	Reset   bool
	Changes []platform.Change
	// Version is the version up to which the table is known with Changes.
	Version uint64
	// Relayed means that the update comes from another instance that follows the table.
	Relayed bool
	// Err is the error of a failed read of the store; Changes is empty then.
	Err error
}

// errOutdated reports a full read of the table at an earlier version than is known
// already.
var errOutdated = errors.New("the store returned the table at an earlier version than is known")

// Follower follows one table.
type Follower struct {
	Store platform.Follower
	Table string
	// Prefixes cover the keys of the table, one for each partition.
	Prefixes []string
	// Wait is how long the store holds a call while there is no change, and so how often
	// an idle table gets an Update that shows that the store is available.
	Wait time.Duration
	// Pause returns the least time between two calls, so that changes in quick succession
	// are read together; nil for none.
	Pause func() time.Duration
	// After is the version up to which the table is known already; 0 for a full read.
	After uint64
	// OnUpdate is called with each Update, in order.
	OnUpdate func(Update)
}

// Run follows the table until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	onError := func(err error) {
		if ctx.Err() != nil {
			return // the call was cancelled, so its error says nothing about the store
		}
		f.OnUpdate(Update{Table: f.Table, At: time.Now(), Err: err})
		clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
	version, known := f.After, f.After != 0
	for ctx.Err() == nil {
		if !known {
			rows, scanned, err := f.scan(ctx)
			if err == nil && scanned < version {
				err = fmt.Errorf("%w: feed: %s: %w", platform.ErrUnavailable, f.Table, errOutdated)
			}
			if err != nil {
				onError(err)
				continue
			}
			backoff, version, known = minBackoff, scanned, true
			f.OnUpdate(Update{Table: f.Table, At: time.Now(), Reset: true, Changes: rows, Version: version})
		}
		ch, err := f.Store.Changes(ctx, f.Table, version, f.Wait)
		switch {
		case errors.Is(err, platform.ErrHistoryGone):
			known = false
			continue
		case err != nil:
			onError(err)
			continue
		}
		backoff, version = minBackoff, ch.Version
		f.OnUpdate(Update{Table: f.Table, At: time.Now(), Changes: ch.Rows, Version: version})
		if f.Pause != nil {
			clock.Sleep(ctx, f.Pause())
		}
	}
	return nil
}

// scan reads the whole table, page by page. It returns the lowest version of its pages:
// changes are to be followed from there, and some of them may be in the rows already.
func (f *Follower) scan(ctx context.Context) ([]platform.Change, uint64, error) {
	var out []platform.Change
	var version uint64
	for _, prefix := range f.Prefixes {
		from := ""
		for {
			page, err := f.Store.ScanFrom(ctx, prefix, from, scanRows)
			if err != nil {
				return nil, 0, err
			}
			if version == 0 || page.Version < version {
				version = page.Version
			}
			for _, row := range page.Rows {
				out = append(out, platform.Change{Row: row})
			}
			if !page.More || len(page.Rows) == 0 {
				break
			}
			from = page.Rows[len(page.Rows)-1].Key + "\x00"
		}
	}
	return out, version, nil
}
