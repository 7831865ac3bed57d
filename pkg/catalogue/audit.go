package catalogue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// AuditPrefix is the key prefix of audit records: it goes before the key of
// the item changed, and the change's generation after it.
const AuditPrefix = "audit/"

// Change is the audit record of one accepted edit.
type Change struct {
	Key        string    `json:"key"`
	Generation uint64    `json:"generation"` // of the value written; grows with each edit of the item
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Before     string    `json:"before"` // JSON of the value replaced; empty if new
	After      string    `json:"after"`
}

// AuditOp returns the operation that writes the audit record of ch, to be
// committed together with the change. No record of that generation may exist.
func AuditOp(ch Change) (platform.Op, error) {
	return platform.Put(fmt.Sprintf("%s%s/%08d", AuditPrefix, ch.Key, ch.Generation), 0, ch)
}

// AuditRecorded reports whether the audit record that op, of AuditOp, writes stands,
// and so whether the change committed with it was accepted.
func AuditRecorded(ctx context.Context, c *platform.Client, op platform.Op) (bool, error) {
	kept, err := c.Get(ctx, op.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil && bytes.Equal(kept.Value, op.Value), err
}

// Audit returns the accepted changes of the items whose keys begin with
// prefix, or of all if it is empty, oldest first per item.
func Audit(ctx context.Context, c *platform.Client, prefix string) ([]Change, error) {
	rows, err := c.Scan(ctx, AuditPrefix+prefix)
	if err != nil {
		return nil, err
	}
	out := make([]Change, 0, len(rows))
	for _, r := range rows {
		var ch Change
		if err := json.Unmarshal(r.Value, &ch); err != nil {
			return nil, fmt.Errorf("catalogue: audit row %s: %w", r.Key, err)
		}
		out = append(out, ch)
	}
	return out, nil
}
