package catalogue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// RevisionKey is a row that every accepted change rewrites, so that a
// reader learns from one small row whether anything changed and what.
const RevisionKey = "catalogue/revision"

// recentKeys is how many changes a Revision remembers; a reader further
// behind scans the whole catalogue.
const recentKeys = 16

// revisionTries bounds how often CommitRevised retries when only the
// revision row moved under it, because another item was changed meanwhile.
const revisionTries = 16

// Revision is the value of the revision row.
type Revision struct {
	Number uint64   `json:"number"` // changes accepted so far
	Recent []string `json:"recent"` // keys of the last changes, newest last
}

// ChangedSince returns the keys changed after revision number known, without
// repeats, and whether r still remembers all of them.
func (r Revision) ChangedSince(known uint64) (keys []string, ok bool) {
	if known >= r.Number {
		return nil, true
	}
	n := r.Number - known
	if known == 0 || n > uint64(len(r.Recent)) {
		return nil, false
	}
	seen := map[string]bool{}
	for _, k := range r.Recent[uint64(len(r.Recent))-n:] {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	return keys, true
}

func (r Revision) next(key string) Revision {
	recent := append(append([]string(nil), r.Recent...), key)
	if len(recent) > recentKeys {
		recent = recent[len(recent)-recentKeys:]
	}
	return Revision{Number: r.Number + 1, Recent: recent}
}

// ReadRevision returns the revision row's value and version, both zero if
// the row does not exist.
func ReadRevision(ctx context.Context, c *platform.Client) (Revision, uint64, error) {
	row, err := c.Get(ctx, RevisionKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Revision{}, 0, nil
	}
	if err != nil {
		return Revision{}, 0, err
	}
	var r Revision
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Revision{}, 0, fmt.Errorf("catalogue: revision row: %w", err)
	}
	return r, row.Version, nil
}

// CommitWithRevision commits ops together with a new revision that names key as
// changed, and returns the rows of ops. It retries when only the revision
// row moved. A failed condition of ops is a *platform.ConflictError; a
// platform.ErrUnavailable means the outcome is unknown.
func CommitWithRevision(ctx context.Context, c *platform.Client, key string, ops ...platform.Op) ([]platform.Row, error) {
	same := func() ([]platform.Op, error) { return ops, nil }
	for range revisionTries {
		rows, err := commitOnce(ctx, c, key, same)
		var ce *platform.ConflictError
		if errors.As(err, &ce) && ce.Key == RevisionKey {
			continue
		}
		return rows, err
	}
	return nil, fmt.Errorf("%w: the catalogue kept changing under %s", ErrConflict, key)
}

// commitOnce reads the revision, then asks for the operations, so that what
// they rest on is no older than the revision, and commits both.
func commitOnce(ctx context.Context, c *platform.Client, key string, build func() ([]platform.Op, error)) ([]platform.Row, error) {
	rev, version, err := ReadRevision(ctx, c)
	if err != nil {
		return nil, err
	}
	ops, err := build()
	if err != nil {
		return nil, err
	}
	next, err := platform.Put(RevisionKey, version, rev.next(key))
	if err != nil {
		return nil, err
	}
	rows, err := c.Commit(ctx, append(slices.Clone(ops), next)...)
	if err != nil {
		return nil, err
	}
	return rows[:len(ops)], nil
}
