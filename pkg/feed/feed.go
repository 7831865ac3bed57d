// Package feed follows tables of the platform's store: it reads a table once,
// then what changes in it, and tells when the store is away.
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
	// scanRows is how many rows are asked for in one call, the most that the
	// store answers.
	scanRows = 500
	// minBackoff and maxBackoff bound the pause after a failed call, which
	// doubles and of which a half is drawn, so that instances that lost the
	// store together do not return together.
	minBackoff = 80 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
)

// Update is what a Follower learned at At.
type Update struct {
	Table string
	At    time.Time
	// Reset means that Changes hold the whole table.
	Reset   bool
	Changes []platform.Change
	// Version is the one up to which the table is known now.
	Version uint64
	// Relayed means that another instance told it, which follows the table.
	Relayed bool
	// Err means that the store could not be asked; Changes are empty.
	Err error
}

// errOld is told of a table that was read as it was before what is known of it.
var errOld = errors.New("the table was read as of an earlier time")

// Follower follows one table.
type Follower struct {
	Store platform.Follower
	Table string
	// Prefixes cover the keys of the table, one for each partition.
	Prefixes []string
	// Wait is how long the store holds a call until there is a change, and so
	// how often an idle table tells that the store is there.
	Wait time.Duration
	// Pause returns the least time between two calls, so that changes in quick
	// succession are read together; nil for none.
	Pause func() time.Duration
	// From is the version up to which the table is known already; 0 for nothing.
	From uint64
	// OnUpdate is given each Update, in order.
	OnUpdate func(Update)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	failed := func(err error) {
		if ctx.Err() != nil {
			return // it was given up here
		}
		f.OnUpdate(Update{Table: f.Table, At: time.Now(), Err: err})
		clock.Sleep(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
	version, known := f.From, f.From != 0
	for ctx.Err() == nil {
		if !known {
			rows, scanned, err := f.scan(ctx)
			if err == nil && scanned < version {
				err = fmt.Errorf("%w: feed: %s: %w", platform.ErrUnavailable, f.Table, errOld)
			}
			if err != nil {
				failed(err)
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
			failed(err)
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

// scan reads the whole table. The version is one after which changes are to be
// followed; some of them may be in the rows already.
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
