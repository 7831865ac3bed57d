package step

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// ReadHead returns the head of the step key and the version of its row, or
// platform.ErrNotFound.
func ReadHead(ctx context.Context, c *platform.Client, key string) (Head, uint64, error) {
	row, err := c.Get(ctx, HeadKey(key))
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(row)
	return h, row.Version, err
}

// closeTries bounds Close under racing instances and lost replies.
const closeTries = 5

// Close closes the step key at now for the given reason, and reports whether it
// did: false if it was closed before.
func Close(ctx context.Context, c *platform.Client, key string, why Reason, now time.Time) (closed bool, err error) {
	for range closeTries {
		var h Head
		var version uint64
		if h, version, err = ReadHead(ctx, c, key); err != nil {
			return false, err
		}
		if h.Closed != "" {
			return false, nil
		}
		h.Closed, h.ClosedAt = why, now
		op, perr := platform.Put(HeadKey(key), version, h)
		if perr != nil {
			return false, perr
		}
		if _, err = c.Commit(ctx, op); err == nil {
			return true, nil
		}
	}
	return false, err
}

// CountDelivered counts the groups of the step key that its trainer holds.
func CountDelivered(ctx context.Context, c *platform.Client, key string) (int, error) {
	rows, err := c.Scan(ctx, ShardsPrefix(key))
	if err != nil {
		return 0, err
	}
	n := 0
	for _, r := range rows {
		p, err := decodeProgress(r)
		if err != nil {
			return 0, err
		}
		n += len(p.Acked)
	}
	return n, nil
}

// decodeProgress returns the progress that a shard's lease row holds.
func decodeProgress(row platform.Row) (Progress, error) {
	l, err := lease.Decode(row)
	if err != nil || len(l.Data) == 0 {
		return Progress{}, err
	}
	var p Progress
	if err := json.Unmarshal(l.Data, &p); err != nil {
		return Progress{}, fmt.Errorf("step shard %s: %w", row.Key, err)
	}
	return p, nil
}
