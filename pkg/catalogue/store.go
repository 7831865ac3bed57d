package catalogue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Key prefixes of the catalogue's rows in the platform's table.
const (
	EntryPrefix    = "catalogue/entry/"
	PoolPrefix     = "catalogue/pool/"
	CustomerPrefix = "catalogue/customer/"
)

// Snapshot is the catalogue as read at one time, with the row version of each item, so
// that a reader can apply only newer ones.
type Snapshot struct {
	Entries   map[string]Entry
	Pools     map[string]Pool
	Customers map[string]Customer
	Versions  map[string]uint64 // row key → row version
}

// Read reads the whole catalogue from the table.
func Read(ctx context.Context, c *platform.Client) (Snapshot, error) {
	rows, err := c.Scan(ctx, "catalogue/")
	if err != nil {
		return Snapshot{}, err
	}
	return Decode(rows)
}

// Decode decodes catalogue rows into a Snapshot. Other rows are ignored, apart from
// their versions.
func Decode(rows []platform.Row) (Snapshot, error) {
	s := Snapshot{Entries: map[string]Entry{}, Pools: map[string]Pool{}, Customers: map[string]Customer{}, Versions: map[string]uint64{}}
	for _, r := range rows {
		s.Versions[r.Key] = r.Version
		switch {
		case strings.HasPrefix(r.Key, EntryPrefix):
			var e Entry
			if err := json.Unmarshal(r.Value, &e); err != nil {
				return Snapshot{}, fmt.Errorf("catalogue: decode row %s: %w", r.Key, err)
			}
			s.Entries[e.Name] = e
		case strings.HasPrefix(r.Key, PoolPrefix):
			var p Pool
			if err := json.Unmarshal(r.Value, &p); err != nil {
				return Snapshot{}, fmt.Errorf("catalogue: decode row %s: %w", r.Key, err)
			}
			s.Pools[p.Name] = p
		case strings.HasPrefix(r.Key, CustomerPrefix):
			var c Customer
			if err := json.Unmarshal(r.Value, &c); err != nil {
				return Snapshot{}, fmt.Errorf("catalogue: decode row %s: %w", r.Key, err)
			}
			s.Customers[c.Name] = c
		}
	}
	return s, nil
}

// Edit is an operator's change of one catalogue item.
type Edit struct {
	Key           string // one of the prefixes above and the item's name
	ExpectVersion uint64 // row version that the author read; 0 for a new item
	Value         any    // Entry, Pool or Customer
	Author        string
	At            time.Time
}

// ErrConflict is returned for a write of an item that has changed since it was read.
// Nothing was written.
var ErrConflict = errors.New("catalogue: changed since read")

// Apply validates e and writes it together with its audit record in one transaction.
// The generation of the value becomes that of the value replaced plus one. If the
// response to the write is lost, the audit record tells whether it was applied.
func Apply(ctx context.Context, c *platform.Client, e Edit) (platform.Row, error) {
	before, gen, err := current(ctx, c, e)
	if err != nil {
		return platform.Row{}, err
	}
	value, err := withGeneration(e.Value, gen+1)
	if err != nil {
		return platform.Row{}, err
	}
	after, _ := json.Marshal(value)
	item, err := platform.Put(e.Key, e.ExpectVersion, value)
	if err != nil {
		return platform.Row{}, err
	}
	change := Change{Key: e.Key, Generation: gen + 1, Author: e.Author, At: e.At, Before: before, After: string(after)}
	audit, err := AuditOp(change)
	if err != nil {
		return platform.Row{}, err
	}
	rows, err := CommitWithRevision(ctx, c, e.Key, item, audit)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return platform.Row{}, fmt.Errorf("%w: %s is at version %d, not %d", ErrConflict, e.Key, ce.Current.Version, e.ExpectVersion)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		return confirmApplied(ctx, c, e.Key, audit, err)
	}
	if err != nil {
		return platform.Row{}, err
	}
	return rows[0], nil
}

// confirmApplied returns the item's row if the audit record of a change is stored, that
// is, if the change was accepted although its response was lost, and cause otherwise.
func confirmApplied(ctx context.Context, c *platform.Client, key string, audit platform.Op, cause error) (platform.Row, error) {
	if ok, err := AuditRecorded(ctx, c, audit); err != nil || !ok {
		return platform.Row{}, cause
	}
	return c.Get(ctx, key)
}

// current returns the JSON and the generation of the row that e replaces. It returns
// ErrConflict if the row's version is not e.ExpectVersion.
func current(ctx context.Context, c *platform.Client, e Edit) (string, uint64, error) {
	row, err := c.Get(ctx, e.Key)
	if errors.Is(err, platform.ErrNotFound) {
		if e.ExpectVersion != 0 {
			return "", 0, fmt.Errorf("%w: %s no longer exists", ErrConflict, e.Key)
		}
		return "", 0, nil
	}
	if err != nil {
		return "", 0, err
	}
	if row.Version != e.ExpectVersion {
		return "", 0, fmt.Errorf("%w: %s is at version %d, not %d", ErrConflict, e.Key, row.Version, e.ExpectVersion)
	}
	var g struct {
		Generation uint64 `json:"generation"`
	}
	if err := json.Unmarshal(row.Value, &g); err != nil {
		return "", 0, fmt.Errorf("catalogue: decode row %s: %w", e.Key, err)
	}
	return string(row.Value), g.Generation, nil
}

func withGeneration(v any, gen uint64) (any, error) {
	switch x := v.(type) {
	case Entry:
		if err := x.Check(); err != nil {
			return nil, err
		}
		x.Generation = gen
		return x, nil
	case Pool:
		if err := x.Check(); err != nil {
			return nil, err
		}
		x.Generation = gen
		return x, nil
	case Customer:
		if err := x.Check(); err != nil {
			return nil, err
		}
		x.Generation = gen
		return x, nil
	default:
		return nil, fmt.Errorf("catalogue: cannot store %T", v)
	}
}
