package catalogue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// RevisionKey is the key of a row that every accepted change rewrites, so that a reader
// learns from one small row whether the catalogue has changed and which items.
const RevisionKey = "catalogue/revision"

// maxRecentKeys is how many changes a Revision lists. A reader further behind reads the
// whole catalogue.
const maxRecentKeys = 16

// maxRevisionAttempts is how often CommitWithRevision is attempted while other items
// change and only the revision row conflicts.
const maxRevisionAttempts = 16

// Revision is the value of the revision row.
type Revision struct {
	Number uint64   `json:"number"` // number of accepted changes
	Recent []string `json:"recent"` // keys of the last changes, newest last
}

// ChangedSince returns the keys changed after revision number known, without
// duplicates. ok is false if r does not list all of them.
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
	if len(recent) > maxRecentKeys {
		recent = recent[len(recent)-maxRecentKeys:]
	}
	return Revision{Number: r.Number + 1, Recent: recent}
}

// ReadRevision returns the revision row's value and version, both zero if there is
// none.
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
		return Revision{}, 0, fmt.Errorf("catalogue: decode revision row: %w", err)
	}
	return r, row.Version, nil
}

// CommitWithRevision commits ops together with a new revision that lists key as
// changed, and returns the rows of ops. It retries when only the revision row has
// changed. The error is a *platform.ConflictError if a condition of ops failed, and a
// platform.ErrUnavailable if the outcome is unknown.
func CommitWithRevision(ctx context.Context, c *platform.Client, key string, ops ...platform.Op) ([]platform.Row, error) {
	fixedOps := func() ([]platform.Op, error) { return ops, nil }
	for range maxRevisionAttempts {
		rows, err := commitOnce(ctx, c, key, fixedOps)
		var ce *platform.ConflictError
		if errors.As(err, &ce) && ce.Key == RevisionKey {
			continue
		}
		return rows, err
	}
	return nil, fmt.Errorf("%w: the catalogue changed during each attempt to write %s", ErrConflict, key)
}

// commitOnce reads the revision, then calls build for the operations, and commits both.
// The order ensures that what the operations depend on is at least as new as the
// revision.
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
