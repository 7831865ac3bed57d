package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Change is one row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes are what changed in a table after a version, in order, and the
// version to ask from next.
type Changes struct {
	Rows    []Change
	Version uint64
}

// ErrNotApplied is returned for a call that the platform refused or that never
// reached it, so that nothing was done. It is an ErrUnavailable.
var ErrNotApplied = fmt.Errorf("%w: nothing was done", ErrUnavailable)

// ErrHistoryGone is returned by Changes for a version whose
// history the platform no longer has: the table must be read again.
var ErrHistoryGone = errors.New("platform: history gone")

// Table reads and writes rows. Keys have the form table/partition/name; the
// rows of one partition can be written together.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Commit(ctx context.Context, ops ...Op) ([]Row, error)
}

// Page is a part of the rows asked for, as of one moment.
type Page struct {
	Rows    []Row
	More    bool   // rows follow after the last one
	Version uint64 // newest version of any row in the platform
}

// Scanner reads rows by prefix.
type Scanner interface {
	// ScanFrom returns up to limit rows whose keys start with prefix and are
	// not before from (empty for all), in key order.
	ScanFrom(ctx context.Context, prefix, from string, limit int) (Page, error)
}

// Follower tells what changes in a table.
type Follower interface {
	Scanner
	// Changes waits up to wait for changes of table after version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects stores whole objects.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	DeleteObject(ctx context.Context, name string) error
}

// Store is the whole of the platform's store.
type Store interface {
	Table
	Follower
	Objects
}
