// Package snapshot copies what the product keeps in the platform's store, for
// operators and support cases, and tells what it says.
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

// Store is the part of the platform's store that is read.
type Store interface {
	platform.Follower
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Table is a table that is copied.
type Table struct {
	Name     string
	Prefixes []string // cover its keys, one for each partition
	// Redact returns what may be copied of a row; nil for all of it.
	Redact func(platform.Row) platform.Row
}

// copied returns what the snapshot holds of a row of t.
func (t Table) copied(r platform.Row) platform.Row {
	if t.Redact == nil {
		return r
	}
	return t.Redact(r)
}

// Row is a row of the store. Its value may be anything that somebody wrote.
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

// Snapshot is a copy of tables as of one version of the store, and of the objects
// that belong to them.
type Snapshot struct {
	TakenAt time.Time
	Version uint64
	Rows    []Row // in order of key
	Objects []Object
	// ChangedSince are the keys of rows that changed again after Version while they were
	// copied, and may be missing or older than Version.
	ChangedSince []string
}

// scanRows is how many rows one call reads, the most that the store answers.
const scanRows = 500

// Take copies tables, and with objects set also the objects of submissions. It
// reads each table once and then what has changed in it since, so that all are
// as of the same version.
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

// scan reads a table into rows and returns the oldest and the newest version that
// its pages are of.
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
				rows[r.Key] = t.copied(r)
				from = r.Key + "\x00"
			}
			if !page.More || len(page.Rows) == 0 {
				break
			}
		}
	}
	return first, last, nil
}

// catchUp applies to rows what has changed in a table from one version to
// another, and returns the keys that changed later.
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
				rows[c.Key] = t.copied(c.Row)
			}
		}
		if len(ch.Rows) == 0 || ch.Version <= from {
			break
		}
		from = ch.Version
	}
	return later, nil
}

// readObjects reads the objects that belong to the snapshot's rows. One that is
// gone has been deleted since.
func (s *Snapshot) readObjects(ctx context.Context, store Store) error {
	for _, r := range s.Rows {
		if !belongs(r.Key) {
			continue
		}
		for _, name := range submission.ObjectNames(r.row()) {
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

func (r Row) row() platform.Row {
	return platform.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
