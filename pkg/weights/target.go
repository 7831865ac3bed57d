// Package weights brings the engines of a pool to the pool's target version, which the
// trainer sets. The target version is kept in the platform's table. A Rollout decides
// which engine is ordered to load it and when, under a lease whose fencing token every
// order carries.
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

// TargetPrefix is the key prefix of targets in the platform's table. It lies below the
// catalogue's prefix, so that readers learn of a new target version from the same
// revision row as of a catalogue change.
const TargetPrefix = "catalogue/weights/"

// Target is the target version of a pool, with its author and the time it was set.
type Target struct {
	Pool    string    `json:"pool"`
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	SetAt   time.Time `json:"named_at"`
}

// ErrOlderVersion is returned by SetTarget for a version older than the pool's target
// version.
var ErrOlderVersion = errors.New("weights: pool already has a newer target version")

// DecodeTarget decodes a Target from its row.
func DecodeTarget(row platform.Row) (Target, error) {
	var t Target
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return Target{}, fmt.Errorf("weights: decode row %s: %w", row.Key, err)
	}
	return t, nil
}

// maxSetAttempts bounds the attempts of SetTarget when other writers race with it or
// replies are lost.
const maxSetAttempts = 5

// SetTarget makes t the target of its pool and writes an audit record whose generation
// is the version. If the pool has that target version already, SetTarget changes
// nothing, so it may be called again after a lost reply. It returns an error that wraps
// ErrOlderVersion if the pool's target version is newer than t.
func SetTarget(ctx context.Context, c *platform.Client, t Target) error {
	var last error
	var unconfirmed []platform.Op // audit records of attempts that may have written t
	for range maxSetAttempts {
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
				return resolveOlder(ctx, c, cur, t, unconfirmed)
			}
		}
		var audit platform.Op
		if audit, last = replaceTarget(ctx, c, row, t); last == nil {
			return nil
		}
		if errors.Is(last, platform.ErrUnavailable) {
			unconfirmed = append(unconfirmed, audit)
		}
	}
	return last
}

// resolveOlder returns the result of SetTarget for t when cur, the pool's target, is
// newer. It is nil if one of the unconfirmed audit records exists, since t was the
// target before cur, and otherwise an error that wraps ErrOlderVersion.
func resolveOlder(ctx context.Context, c *platform.Client, cur, t Target, unconfirmed []platform.Op) error {
	for _, audit := range unconfirmed {
		if ok, err := catalogue.AuditRecorded(ctx, c, audit); ok || err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: pool %s: current version %d, requested version %d", ErrOlderVersion, t.Pool, cur.Version, t.Version)
}

// replaceTarget writes t and its audit record in one transaction, on condition that the
// pool's row is still row. It returns the audit record also after an error of the
// transaction, which may have been carried out.
func replaceTarget(ctx context.Context, c *platform.Client, row platform.Row, t Target) (audit platform.Op, err error) {
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
