package platform

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Changes holds the changes of a table after a version, in order, and the version after
// which to ask for the next ones.
type Changes struct {
	Rows    []Change
	Version uint64
}

// ErrNotApplied is returned for a call that the platform refused or that did not reach
// it, so that nothing was written. It is an ErrUnavailable.
var ErrNotApplied = fmt.Errorf("%w: nothing was done", ErrUnavailable)

// ErrHistoryGone is returned by Changes for a version whose history the platform no
// longer has. The table must be read again from the start.
var ErrHistoryGone = errors.New("platform: history no longer available")

// Table reads and writes rows. Keys have the form table/partition/name; the rows of one
// partition can be written in one transaction.
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Commit(ctx context.Context, ops ...Op) ([]Row, error)
}

// Page is a part of the rows requested, as of one moment.
type Page struct {
	Rows    []Row
	More    bool   // there are rows after the last one
	Version uint64 // newest version of any row in the platform
}

// Scanner reads rows by prefix.
type Scanner interface {
	// ScanFrom returns up to limit rows whose keys start with prefix and are not less
	// than from (empty for all), in key order.
	ScanFrom(ctx context.Context, prefix, from string, limit int) (Page, error)
}

// Follower reads a table and its changes.
type Follower interface {
	Scanner
	// Changes returns the changes of table after a version. If there are none, it waits
	// up to wait for one.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects stores, reads and deletes objects.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	DeleteObject(ctx context.Context, name string) error
}

// ObjectLister lists objects.
type ObjectLister interface {
	// ListObjects returns names of objects with a prefix, in ascending order: the first of
	// those after a name, or of all if after is empty, and whether there are more.
	ListObjects(ctx context.Context, prefix, after string) (names []string, more bool, err error)
}

// Store is the platform's whole store.
type Store interface {
	Table
	Follower
	Objects
}
