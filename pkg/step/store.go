package step

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Prefixes of keys and names: heads and shards are rows of the platform's table, and
// each Spec is an object in the object store.
const (
	headPrefix   = "step/"
	shardPrefix  = "step_shard/"
	objectPrefix = "step/"
)

// HeadKey returns the row key of a step's Head.
func HeadKey(key string) string { return headPrefix + key }

// ShardKey returns the row key of shard k of a step. The row is the shard's lease,
// whose data is its Progress.
func ShardKey(key string, k int) string { return fmt.Sprintf("%s%s/%d", shardPrefix, key, k) }

// ShardsPrefix returns the prefix of the row keys of a step's shards.
func ShardsPrefix(key string) string { return shardPrefix + key + "/" }

// ObjectName returns the name of the object that holds the Spec with the given digest.
func ObjectName(key, digest string) string { return objectPrefix + key + "/" + digest }

// List returns the heads of all stored steps by key.
func List(ctx context.Context, c *platform.Client) (map[string]Head, error) {
	rows, err := c.Scan(ctx, headPrefix)
	if err != nil {
		return nil, err
	}
	heads := make(map[string]Head, len(rows))
	for _, r := range rows {
		h, err := DecodeHead(r)
		if err != nil {
			return nil, err
		}
		heads[strings.TrimPrefix(r.Key, headPrefix)] = h
	}
	return heads, nil
}

// DecodeHead decodes a Head from its row.
func DecodeHead(r platform.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(r.Value, &h); err != nil {
		return Head{}, fmt.Errorf("step: decode row %s: %w", r.Key, err)
	}
	return h, nil
}
