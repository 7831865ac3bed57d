package catalogue

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/customer"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// minDigest is how much of a key's digest names it, in hexadecimal digits.
const minDigest = 8

// KeyDigest returns the digest by which a customer's key is kept.
func KeyDigest(key string) string {
	d := customer.DigestOf(key)
	return hex.EncodeToString(d[:])
}

// AcceptsKey reports whether a caller with key may act for c: a customer that has no
// keys needs none.
func (c Customer) AcceptsKey(key string) bool {
	return len(c.KeyDigests) == 0 || slices.Contains(c.KeyDigests, KeyDigest(key))
}

// checkKeys reports the first problem with the digests of c's keys.
func (c Customer) checkKeys() error {
	for _, d := range c.KeyDigests {
		if raw, err := hex.DecodeString(d); err != nil || len(raw) != len(customer.Digest{}) {
			return fmt.Errorf("customer %s: key_digests: want SHA-256 digests in hexadecimal", c.Name)
		}
	}
	return nil
}

// AddKey gives a customer one more key.
func AddKey(ctx context.Context, c *platform.Client, name, key, author string, now time.Time) error {
	return editKeys(ctx, c, name, author, now, func(cu *Customer) error {
		if d := KeyDigest(key); !slices.Contains(cu.KeyDigests, d) {
			cu.KeyDigests = append(cu.KeyDigests, d)
		}
		return nil
	})
}

// RemoveKey takes the key whose digest begins so from a customer. The last one stays,
// as a customer without keys needs none.
func RemoveKey(ctx context.Context, c *platform.Client, name, digest, author string, now time.Time) error {
	return editKeys(ctx, c, name, author, now, func(cu *Customer) error {
		begins := func(d string) bool { return strings.HasPrefix(d, digest) }
		switch {
		case len(digest) < minDigest:
			return fmt.Errorf("customer %s: digest %q: want %d digits at the least", name, digest, minDigest)
		case !slices.ContainsFunc(cu.KeyDigests, begins):
			return fmt.Errorf("customer %s has no key with digest %s", name, digest)
		case len(cu.KeyDigests) == 1:
			return fmt.Errorf("customer %s: its last key stays, as callers would need none then: add another first", name)
		}
		cu.KeyDigests = slices.DeleteFunc(cu.KeyDigests, begins)
		return nil
	})
}

func editKeys(ctx context.Context, c *platform.Client, name, author string, now time.Time, change func(*Customer) error) error {
	_, err := edit(ctx, c, CustomerPrefix+name, author, now, change)
	if errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("no customer %s in the catalogue", name)
	}
	return err
}

// editTries is how often a change is tried again when another edit won.
const editTries = 5

// edit changes the item at key by a compare-and-set on its row, again when another
// edit won. It returns the item as changed.
func edit[T any](ctx context.Context, c *platform.Client, key, author string, now time.Time, change func(*T) error) (T, error) {
	var none T
	for range editTries {
		row, err := c.Get(ctx, key)
		if err != nil {
			return none, fmt.Errorf("%s: %w", key, err)
		}
		var item T
		if err := json.Unmarshal(row.Value, &item); err != nil {
			return none, fmt.Errorf("%s: %w", key, err)
		}
		if err := change(&item); err != nil {
			return none, err
		}
		_, err = Apply(ctx, c, Edit{Key: key, ExpectVersion: row.Version, Value: item, Author: author, At: now})
		if errors.Is(err, ErrConflict) {
			continue
		}
		return item, err
	}
	return none, fmt.Errorf("%s: %w after %d tries", key, ErrConflict, editTries)
}
