// Package snapshot copies the system's tables and objects from the platform's store,
// for operators and support cases, and decodes them into a State.
package snapshot

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
)

// Store is the part of the platform's store that Take reads.
type Store interface {
	platform.Follower
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Table is a table to copy.
type Table struct {
	Name     string
	Prefixes []string // of all its keys, one for each partition
	// Redact returns a row without its secrets; nil if the table has none.
	Redact func(platform.Row) platform.Row
}

// redacted returns r as the snapshot holds it.
func (t Table) redacted(r platform.Row) platform.Row {
	if t.Redact == nil {
		return r
	}
	return t.Redact(r)
}

// Row is a row of the store. Its value need not be well-formed.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Object is an object of the store.
type Object struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Snapshot is a copy of tables as of one version of the store, with the objects
// that their rows refer to.
type Snapshot struct {
	TakenAt time.Time
	Version uint64
	Rows    []Row // sorted by key
	Objects []Object
	// ChangedSince has the keys of rows that changed after Version during the copy. Such
	// a row may be missing from Rows, or be of an older version.
	ChangedSince []string
}

// scanRows is the row limit of one scan call, the largest that the store accepts.
const scanRows = 500

// Take copies tables, and the objects of submissions if objects is set. It reads each
// table in full and then its changes, so that all rows are as of the newest version
// that a full read returned. The snapshot's time is now. Errors are those of s, with
// the table's or object's name.
func Take(ctx context.Context, s Store, tables []Table, objects bool, now time.Time) (Snapshot, error) {
	snap := Snapshot{TakenAt: now}
	rows := map[string]platform.Row{}
	from := make([]uint64, len(tables))
	for i, t := range tables {
		first, last, err := scan(ctx, s, t, rows)
		if err != nil {
			return Snapshot{}, fmt.Errorf("snapshot: table %s: %w", t.Name, err)
		}
		from[i], snap.Version = first, max(snap.Version, last)
	}
	for i, t := range tables {
		later, err := catchUp(ctx, s, t, from[i], snap.Version, rows)
		if err != nil {
			return Snapshot{}, fmt.Errorf("snapshot: changes of table %s: %w", t.Name, err)
		}
		snap.ChangedSince = append(snap.ChangedSince, later...)
	}
	for _, r := range rows {
		snap.Rows = append(snap.Rows, Row{Key: r.Key, Version: r.Version, Value: r.Value})
	}
	slices.SortFunc(snap.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if !objects {
		return snap, nil
	}
	return snap, snap.readObjects(ctx, s)
}

// scan reads a table into rows, and returns the oldest and the newest version of its
// pages.
func scan(ctx context.Context, s Store, t Table, rows map[string]platform.Row) (first, last uint64, err error) {
	for _, prefix := range t.Prefixes {
		from := ""
		for {
			page, err := s.ScanFrom(ctx, prefix, from, scanRows)
			if err != nil {
				return 0, 0, err
			}
			if first == 0 || page.Version < first {
				first = page.Version
			}
			last = max(last, page.Version)
			for _, r := range page.Rows {
				rows[r.Key] = t.redacted(r)
				from = r.Key + "\x00"
			}
			if !page.More || len(page.Rows) == 0 {
				break
			}
		}
	}
	return first, last, nil
}

// catchUp applies a table's changes after version from, up to version to, to rows. It
// returns the keys of the changes after to that the store returned with them.
func catchUp(ctx context.Context, s Store, t Table, from, to uint64, rows map[string]platform.Row) (later []string, err error) {
	for from < to {
		ch, err := s.Changes(ctx, t.Name, from, 0)
		if err != nil {
			return nil, err
		}
		for _, c := range ch.Rows {
			switch {
			case c.Version > to:
				later = append(later, c.Key)
			case c.Deleted:
				delete(rows, c.Key)
			default:
				rows[c.Key] = t.redacted(c.Row)
			}
		}
		if len(ch.Rows) == 0 || ch.Version <= from {
			break
		}
		from = ch.Version
	}
	return later, nil
}

// readObjects reads the objects that the snapshot's rows refer to, each once: the heads
// of a model's submissions share one. It skips those not found: they were deleted after
// the rows were read.
func (s *Snapshot) readObjects(ctx context.Context, store Store) error {
	seen := map[string]bool{}
	for _, r := range s.Rows {
		if !mayHaveObjects(r.Key) {
			continue
		}
		for _, name := range submission.ObjectNames(r.row()) {
			if seen[name] {
				continue
			}
			seen[name] = true
			data, err := store.GetObject(ctx, name)
			if errors.Is(err, platform.ErrNotFound) {
				continue
			}
			if err != nil {
				return fmt.Errorf("snapshot: object %s: %w", name, err)
			}
			s.Objects = append(s.Objects, Object{Name: name, Data: data})
		}
	}
	return nil
}

// row returns r as a row of the store, which the packages that own it decode.
func (r Row) row() platform.Row {
	return platform.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
