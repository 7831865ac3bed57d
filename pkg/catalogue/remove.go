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

// ErrInUse is returned by Remove for a pool that entries still use, or a customer with
// keys that still owns entries, which nobody would need a key for then; nothing was
// written.
var ErrInUse = errors.New("catalogue: still in use")

// removeTries bounds how often Remove starts again because the catalogue
// changed under it.
const removeTries = 16

// Remove takes the item with the given key out of the catalogue, with an
// audit record. Its row stays, marked as removed, so that an instance that
// applies only newer rows learns of the removal and none brings it back. A
// pool that entries use is ErrInUse, also when an entry that uses it is
// added meanwhile; a customer with keys likewise.
func Remove(ctx context.Context, c *platform.Client, key, author string, now time.Time) error {
	remove := func() ([]platform.Op, error) { return removal(ctx, c, key, author, now) }
	for range removeTries {
		_, err := commitOnce(ctx, c, key, remove)
		var ce *platform.ConflictError
		if !errors.As(err, &ce) {
			return err
		}
	}
	return fmt.Errorf("%w: the catalogue kept changing under %s", ErrConflict, key)
}

// removal returns the operations that remove the item, as it stands now.
func removal(ctx context.Context, c *platform.Client, key, author string, now time.Time) ([]platform.Op, error) {
	snap, err := Read(ctx, c)
	if err != nil {
		return nil, err
	}
	if users := snap.users(key); len(users) > 0 {
		return nil, fmt.Errorf("%w: %s by entries %s", ErrInUse, key, strings.Join(users, ", "))
	}
	row, err := c.Get(ctx, key)
	if err != nil {
		return nil, fmt.Errorf("catalogue: %s: %w", key, err)
	}
	var item map[string]any
	if err := json.Unmarshal(row.Value, &item); err != nil {
		return nil, fmt.Errorf("catalogue: row %s: %w", key, err)
	}
	if item["removed"] == true {
		return nil, fmt.Errorf("catalogue: %s is removed already", key)
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

// users returns the names of the entries that use the pool, or are of the customer with
// keys, that has the given key, sorted.
func (s Snapshot) users(key string) []string {
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
