package catalogue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// ErrInUse is returned by Remove for a pool that entries use, and for a customer with
// keys that owns entries, which would then be open to callers without a key. Nothing
// was written.
var ErrInUse = errors.New("catalogue: still in use")

// maxRemoveAttempts is how often Remove is attempted while the catalogue changes.
const maxRemoveAttempts = 16

// Remove removes the item with the given key from the catalogue and writes an audit
// record. The row stays, marked as removed, so that instances, which apply only newer
// rows, learn of the removal and none reverts it. Remove returns ErrInUse for a pool
// that entries use, also if such an entry is added meanwhile, and likewise for a
// customer with keys.
func Remove(ctx context.Context, c *platform.Client, key, author string, now time.Time) error {
	remove := func() ([]platform.Op, error) { return removeOps(ctx, c, key, author, now) }
	for range maxRemoveAttempts {
		_, err := commitOnce(ctx, c, key, remove)
		var ce *platform.ConflictError
		if !errors.As(err, &ce) {
			return err
		}
	}
	return fmt.Errorf("%w: the catalogue changed during each attempt to remove %s", ErrConflict, key)
}

// removeOps returns the operations that remove the item as it is now.
func removeOps(ctx context.Context, c *platform.Client, key, author string, now time.Time) ([]platform.Op, error) {
	snap, err := Read(ctx, c)
	if err != nil {
		return nil, err
	}
	if users := snap.entriesUsing(key); len(users) > 0 {
		return nil, fmt.Errorf("%w: %s by entries %s", ErrInUse, key, strings.Join(users, ", "))
	}
	row, err := c.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %s: %w", key, err)
	}
	var item map[string]any
	if err := json.Unmarshal(row.Value, &item); err != nil {
		return nil, fmt.Errorf("catalogue: decode row %s: %w", key, err)
	}
	if item["removed"] == true {
		return nil, fmt.Errorf("catalogue: %s is already removed", key)
	}
	gen, _ := item["generation"].(float64)
	item["removed"], item["generation"] = true, uint64(gen)+1
	put, err := platform.Put(key, row.Version, item)
	if err != nil {
		return nil, err
	}
	audit, err := AuditOp(Change{Key: key, Generation: uint64(gen) + 1, Author: author, At: now, Before: string(row.Value), After: string(put.Value)})
	return []platform.Op{put, audit}, err
}

// entriesUsing returns the names of the entries that use the pool with the given key,
// or that belong to the customer with that key if it has API keys, sorted.
func (s Snapshot) entriesUsing(key string) []string {
	uses := func(Entry) bool { return false }
	if pool, ok := strings.CutPrefix(key, PoolPrefix); ok {
		uses = func(e Entry) bool { return e.Pool == pool }
	}
	if name, ok := strings.CutPrefix(key, CustomerPrefix); ok && len(s.Customers[name].KeyDigests) > 0 {
		uses = func(e Entry) bool { return e.Owner == name }
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.Entries)) {
		if e := s.Entries[name]; uses(e) && !e.Removed {
			out = append(out, name)
		}
	}
	return out
}
