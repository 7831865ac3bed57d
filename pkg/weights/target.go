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

// Name makes t the target of its pool. Naming the version in force again
// changes nothing, so a caller may repeat Name after a lost reply; an older
// version is ErrOlder.
func Name(ctx context.Context, c *platform.Client, t Target) error {
	key := TargetPrefix + t.Pool
	var last error
	for try := 0; try < nameTries; try++ {
		row, err := c.Get(ctx, key)
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
				return fmt.Errorf("%w: pool %s is at %d, not %d", ErrOlder, t.Pool, cur.Version, t.Version)
			}
		}
		op, err := platform.Put(key, row.Version, t)
		if err != nil {
			return err
		}
		if _, last = catalogue.CommitRevised(ctx, c, key, op); last == nil {
			return nil
		}
	}
	return last
}
