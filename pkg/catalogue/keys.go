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

// minDigestPrefix is the least length of a digest's prefix that identifies a key, in
// hexadecimal digits.
const minDigestPrefix = 8

// KeyDigest returns the digest that is stored for a key, in hexadecimal.
func KeyDigest(key string) string {
	d := customer.DigestOf(key)
	return hex.EncodeToString(d[:])
}

// AcceptsKey reports whether a caller with key may act for c. A customer without keys
// accepts any caller.
func (c Customer) AcceptsKey(key string) bool {
	return len(c.KeyDigests) == 0 || slices.Contains(c.KeyDigests, KeyDigest(key))
}

// checkKeys returns an error if one of c's key digests is malformed.
func (c Customer) checkKeys() error {
	for _, d := range c.KeyDigests {
		if raw, err := hex.DecodeString(d); err != nil || len(raw) != len(customer.Digest{}) {
			return fmt.Errorf("customer %s: key_digests: want SHA-256 digests in hexadecimal", c.Name)
		}
	}
	return nil
}

// AddKey adds a key to a customer.
func AddKey(ctx context.Context, c *platform.Client, name, key, author string, now time.Time) error {
	return editKeys(ctx, c, name, author, now, func(cu *Customer) error {
		if d := KeyDigest(key); !slices.Contains(cu.KeyDigests, d) {
			cu.KeyDigests = append(cu.KeyDigests, d)
		}
		return nil
	})
}

// RemoveKey removes the keys of a customer whose digests begin with digest. The last
// key cannot be removed, because callers of a customer without keys need none.
func RemoveKey(ctx context.Context, c *platform.Client, name, digest, author string, now time.Time) error {
	return editKeys(ctx, c, name, author, now, func(cu *Customer) error {
		hasPrefix := func(d string) bool { return strings.HasPrefix(d, digest) }
		switch {
		case len(digest) < minDigestPrefix:
			return fmt.Errorf("customer %s: digest %q: want at least %d digits", name, digest, minDigestPrefix)
		case !slices.ContainsFunc(cu.KeyDigests, hasPrefix):
			return fmt.Errorf("customer %s has no key with digest %s", name, digest)
		case len(cu.KeyDigests) == 1:
			return fmt.Errorf("customer %s: the last key cannot be removed, as callers would need none: add another key first", name)
		}
		cu.KeyDigests = slices.DeleteFunc(cu.KeyDigests, hasPrefix)
		return nil
	})
}

func editKeys(ctx context.Context, c *platform.Client, name, author string, now time.Time, change func(*Customer) error) error {
	_, err := editItem(ctx, c, CustomerPrefix+name, author, now, change)
	if errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("no customer %s in the catalogue", name)
	}
	return err
}

// maxEditAttempts is how often an edit is attempted while others change the item.
const maxEditAttempts = 5

// editItem changes the item at key by a compare-and-set on its row, and retries when
// another edit came first. It returns the changed item.
func editItem[T any](ctx context.Context, c *platform.Client, key, author string, now time.Time, change func(*T) error) (T, error) {
	var none T
	for range maxEditAttempts {
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
	return none, fmt.Errorf("%s: %w in each of %d attempts", key, ErrConflict, maxEditAttempts)
}
