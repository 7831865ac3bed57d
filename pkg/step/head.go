package step

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// ReadHead returns the head of the step with the given key, and the version of its row.
// It returns platform.ErrNotFound if there is no such step.
func ReadHead(ctx context.Context, c *platform.Client, key string) (Head, uint64, error) {
	row, err := c.Get(ctx, HeadKey(key))
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(row)
	return h, row.Version, err
}

// maxCloseAttempts bounds the attempts of Close when other instances race with it or
// replies are lost.
const maxCloseAttempts = 5

// Close closes the step with the given key at now, for the given reason. It reports
// whether this call closed it: false if it was closed before.
func Close(ctx context.Context, c *platform.Client, key string, reason Reason, now time.Time) (closed bool, err error) {
	for range maxCloseAttempts {
		var h Head
		var version uint64
		if h, version, err = ReadHead(ctx, c, key); err != nil {
			return false, err
		}
		if h.Closed != "" {
			return false, nil
		}
		h.Closed, h.ClosedAt = reason, now
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

// CountDelivered returns the number of groups of the step with the given key that its
// trainer holds.
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

// decodeProgress decodes the progress stored in a shard's lease row.
func decodeProgress(row platform.Row) (Progress, error) {
	l, err := lease.Decode(row)
	if err != nil || len(l.Data) == 0 {
		return Progress{}, err
	}
	var p Progress
	if err := json.Unmarshal(l.Data, &p); err != nil {
		return Progress{}, fmt.Errorf("step: decode progress of shard %s: %w", row.Key, err)
	}
	return p, nil
}
