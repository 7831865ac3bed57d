package catalogue

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// File is a catalogue as operators write it.
type File struct {
	Pools     []Pool     `json:"pools"`
	Entries   []Entry    `json:"entries"`
	Customers []Customer `json:"customers"`
}

// Check returns an error for the first problem in f: an invalid item, a duplicate name,
// or an entry whose pool is not in f.
func (f File) Check() error {
	pools := map[string]bool{}
	for _, p := range f.Pools {
		if err := p.Check(); err != nil {
			return err
		}
		if pools[p.Name] {
			return fmt.Errorf("pool %s is listed twice", p.Name)
		}
		pools[p.Name] = true
	}
	customers := map[string]bool{}
	for _, c := range f.Customers {
		if err := c.Check(); err != nil {
			return err
		}
		if customers[c.Name] {
			return fmt.Errorf("customer %s is listed twice", c.Name)
		}
		customers[c.Name] = true
	}
	entries := map[string]bool{}
	for _, e := range f.Entries {
		if err := e.Check(); err != nil {
			return err
		}
		if entries[e.Name] {
			return fmt.Errorf("entry %s is listed twice", e.Name)
		}
		entries[e.Name] = true
		if !pools[e.Pool] {
			return fmt.Errorf("entry %s: pool %q is not in the file", e.Name, e.Pool)
		}
	}
	return nil
}

// SyncResult is the outcome of Sync for one item.
type SyncResult struct {
	Key     string
	Changed bool
	Version uint64 // version of the row after Sync
}

// Sync makes the table contain every item of f. It changes only the items that differ,
// each by a compare-and-set on the version it read. It stops at the first failure,
// which is ErrConflict if another operator changed an item between the read and the
// write, and returns the items done so far.
func Sync(ctx context.Context, c *platform.Client, f File, author string, now time.Time) ([]SyncResult, error) {
	type item struct {
		key   string
		value any
	}
	var items []item
	for _, cu := range f.Customers {
		items = append(items, item{CustomerPrefix + cu.Name, cu})
	}
	for _, p := range f.Pools {
		items = append(items, item{PoolPrefix + p.Name, p})
	}
	for _, e := range f.Entries {
		items = append(items, item{EntryPrefix + e.Name, e})
	}
	var out []SyncResult
	for _, it := range items {
		res, err := syncItem(ctx, c, it.key, it.value, author, now)
		if err != nil {
			return out, err
		}
		out = append(out, res)
	}
	return out, nil
}

func syncItem(ctx context.Context, c *platform.Client, key string, v any, author string, now time.Time) (SyncResult, error) {
	row, err := c.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return SyncResult{}, err
	}
	if err == nil {
		v = withStoredKeys(v, row.Value)
	}
	if err == nil && sameItem(row.Value, v) {
		return SyncResult{Key: key, Version: row.Version}, nil
	}
	got, err := Apply(ctx, c, Edit{Key: key, ExpectVersion: row.Version, Value: v, Author: author, At: now})
	if err != nil {
		return SyncResult{}, err
	}
	return SyncResult{Key: key, Changed: true, Version: got.Version}, nil
}

// withStoredKeys returns a customer that has no keys in the file with the keys that are
// stored for it: keys are added and removed by AddKey and RemoveKey.
func withStoredKeys(v any, storedValue json.RawMessage) any {
	c, ok := v.(Customer)
	var previous Customer
	if !ok || len(c.KeyDigests) > 0 || json.Unmarshal(storedValue, &previous) != nil {
		return v
	}
	c.KeyDigests = previous.KeyDigests
	return c
}

// sameItem reports whether the stored value equals v, except for the generation.
func sameItem(stored json.RawMessage, v any) bool {
	decoded := reflect.New(reflect.TypeOf(v))
	if json.Unmarshal(stored, decoded.Interface()) != nil {
		return false
	}
	got := decoded.Elem()
	want := reflect.New(reflect.TypeOf(v)).Elem()
	want.Set(reflect.ValueOf(v))
	got.FieldByName("Generation").SetUint(0)
	want.FieldByName("Generation").SetUint(0)
	return reflect.DeepEqual(got.Interface(), want.Interface())
}

// SetUpstreamState sets the state of the upstream at addr in a pool by a
// compare-and-set on the pool's row, and retries when another edit came first. It
// returns the changed pool.
func SetUpstreamState(ctx context.Context, c *platform.Client, pool, addr string, st UpstreamState, author string, now time.Time) (Pool, error) {
	return editItem(ctx, c, PoolPrefix+pool, author, now, func(p *Pool) error {
		found := false
		for j := range p.Upstreams {
			if p.Upstreams[j].Address == addr {
				p.Upstreams[j].State, found = st, true
			}
		}
		if !found {
			return fmt.Errorf("pool %s has no upstream %s", pool, addr)
		}
		return nil
	})
}
