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

// AuditPrefix is the key prefix of audit records. It is followed by the key of the item
// changed and the generation of the change.
const AuditPrefix = "audit/"

// Change is the audit record of one accepted edit.
type Change struct {
	Key        string    `json:"key"`
	Generation uint64    `json:"generation"` // generation of the value written; grows with each edit of the item
	Author     string    `json:"author"`
	At         time.Time `json:"at"`
	Before     string    `json:"before"` // JSON of the value replaced; empty for a new item
	After      string    `json:"after"`
}

// AuditOp returns the operation that writes the audit record of ch. It is to be
// committed together with the change, and fails if a record of that generation exists.
func AuditOp(ch Change) (platform.Op, error) {
	return platform.Put(fmt.Sprintf("%s%s/%08d", AuditPrefix, ch.Key, ch.Generation), 0, ch)
}

// AuditRecorded reports whether the audit record written by op, which AuditOp returned,
// is stored, and so whether the change committed with it was accepted.
func AuditRecorded(ctx context.Context, c *platform.Client, op platform.Op) (bool, error) {
	stored, err := c.Get(ctx, op.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil && bytes.Equal(stored.Value, op.Value), err
}

// Audit returns the accepted changes of the items whose keys begin with prefix, or of
// all items if it is empty, oldest first for each item.
func Audit(ctx context.Context, c *platform.Client, prefix string) ([]Change, error) {
	rows, err := c.Scan(ctx, AuditPrefix+prefix)
	if err != nil {
		return nil, err
	}
	out := make([]Change, 0, len(rows))
	for _, r := range rows {
		var ch Change
		if err := json.Unmarshal(r.Value, &ch); err != nil {
			return nil, fmt.Errorf("catalogue: decode audit record %s: %w", r.Key, err)
		}
		out = append(out, ch)
	}
	return out, nil
}
