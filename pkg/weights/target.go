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
	SetAt   time.Time `json:"named_at"`
}

// ErrOlderVersion is returned by Name for a version older than the one in force.
var ErrOlderVersion = errors.New("weights: a newer version is named already")

// DecodeTarget reads a Target from its row.
func DecodeTarget(row platform.Row) (Target, error) {
	var t Target
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return Target{}, fmt.Errorf("weights: row %s: %w", row.Key, err)
	}
	return t, nil
}

// nameTries bounds how often Name retries under racing writers and lost
// replies.
const nameTries = 5

// SetTarget makes t the target of its pool, with its audit record, whose
// generation is the version. Naming the version in force again changes
// nothing, so a caller may repeat SetTarget after a lost reply; an older version is
// ErrOlder.
func SetTarget(ctx context.Context, c *platform.Client, t Target) error {
	var last error
	var unsure []platform.Op // audit records of tries that may have written t
	for range nameTries {
		row, err := c.Get(ctx, TargetPrefix+t.Pool)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		if err == nil {
			cur, err := DecodeTarget(row)
			if err != nil {
				return err
			}
			if cur.Version == t.Version {
				return nil
			}
			if cur.Version > t.Version {
				return older(ctx, c, cur, t, unsure)
			}
		}
		var audit platform.Op
		if audit, last = replace(ctx, c, row, t); last == nil {
			return nil
		}
		if errors.Is(last, platform.ErrUnavailable) {
			unsure = append(unsure, audit)
		}
	}
	return last
}

// older returns the outcome of naming t when cur, which is newer, is in force:
// nil if one of the unsure audit records stands, so that t was in force
// before, and else ErrOlder.
func older(ctx context.Context, c *platform.Client, cur, t Target, unsure []platform.Op) error {
	for _, audit := range unsure {
		if ok, err := catalogue.AuditRecorded(ctx, c, audit); ok || err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: pool %s is at %d, not %d", ErrOlderVersion, t.Pool, cur.Version, t.Version)
}

// replace writes t over row, the target of its pool as last read, together
// with the audit record, which it returns.
func replace(ctx context.Context, c *platform.Client, row platform.Row, t Target) (audit platform.Op, err error) {
	key := TargetPrefix + t.Pool
	put, err := platform.Put(key, row.Version, t)
	if err != nil {
		return platform.Op{}, err
	}
	audit, err = catalogue.AuditOp(catalogue.Change{Key: key, Generation: t.Version, Author: t.Author, At: t.SetAt,
		Before: string(row.Value), After: string(put.Value)})
	if err != nil {
		return platform.Op{}, err
	}
	_, err = catalogue.CommitWithRevision(ctx, c, key, put, audit)
	return audit, err
}
