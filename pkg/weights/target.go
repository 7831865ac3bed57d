// Package weights brings the engines of a pool to the weight version that
// its trainer named. The named version is kept in the platform's table; a
// Rollout decides which engine is ordered to load it and when, under a
// lease whose fencing number every order carries.
package weights

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// TargetPrefix is the key prefix of targets in the platform's table. They
// stand among the catalogue's rows, so that readers learn of a new version
// from the same revision row.
const TargetPrefix = "catalogue/weights/"

// Target is the newest weight version named for a pool.
type Target struct {
	Pool    string    `json:"pool"`
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	NamedAt time.Time `json:"named_at"`
}

// ErrOlder is returned by Name for a version older than the one in force.
var ErrOlder = errors.New("weights: a newer version is named already")

// Decode reads a Target from its row.
func Decode(row platform.Row) (Target, error) {
	var t Target
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return Target{}, fmt.Errorf("weights: row %s: %w", row.Key, err)
	}
	return t, nil
}

// nameTries bounds how often Name retries under racing writers and lost
// replies.
const nameTries = 5

// Name makes t the target of its pool, with its audit record, whose
// generation is the version. Naming the version in force again changes
// nothing, so a caller may repeat Name after a lost reply; an older version is
// ErrOlder.
func Name(ctx context.Context, c *platform.Client, t Target) error {
	var last error
	unknown := false // whether an earlier try may have written t
	for range nameTries {
		row, err := c.Get(ctx, TargetPrefix+t.Pool)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		if err == nil {
			cur, err := Decode(row)
			if err != nil {
				return err
			}
			if cur.Version == t.Version {
				return nil
			}
			if cur.Version > t.Version {
				return older(ctx, c, cur, t, unknown)
			}
		}
		if last = replace(ctx, c, row, t); last == nil {
			return nil
		}
		unknown = unknown || errors.Is(last, platform.ErrUnavailable)
	}
	return last
}

// older returns the outcome of naming t when cur, which is newer, is in force:
// nil if t may have been written and its audit record tells that it was, and
// else ErrOlder.
func older(ctx context.Context, c *platform.Client, cur, t Target, mayBeWritten bool) error {
	refused := fmt.Errorf("%w: pool %s is at %d, not %d", ErrOlder, t.Pool, cur.Version, t.Version)
	if !mayBeWritten {
		return refused
	}
	trail, err := catalogue.Audit(ctx, c, fmt.Sprintf("%s%s/%08d", TargetPrefix, t.Pool, t.Version))
	switch {
	case err != nil:
		return err
	case len(trail) == 0 || trail[0].Author != t.Author || !trail[0].At.Equal(t.NamedAt):
		return refused
	}
	return nil
}

// replace writes t over row, the target of its pool as last read, together
// with the audit record.
func replace(ctx context.Context, c *platform.Client, row platform.Row, t Target) error {
	key := TargetPrefix + t.Pool
	put, err := platform.Put(key, row.Version, t)
	if err != nil {
		return err
	}
	audit, err := catalogue.AuditOp(catalogue.Change{Key: key, Generation: t.Version, Author: t.Author, At: t.NamedAt,
		Before: string(row.Value), After: string(put.Value)})
	if err != nil {
		return err
	}
	_, err = catalogue.CommitRevised(ctx, c, key, put, audit)
	return err
}
