package submission

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Batch holds results at consecutive positions that are written in one transaction. It
// must be written again unchanged until its outcome is known: the first call may still
// be carried out.
type Batch struct {
	Position int
	Results  []Result
	ops      []platform.Op
}

// PrepareBatch returns a Batch of the first of results, as many as fit into one
// transaction. Results larger than repo.MaxRowBytes bytes are stored as objects first; the
// error is the store's or that of the encoding.
func (repo Repository) PrepareBatch(ctx context.Context, head HeadRow, position int, results []Result) (Batch, error) {
	b := Batch{Position: position, ops: []platform.Op{platform.Check(headKey(head.ID), head.Fencing)}}
	bytes := 0
	for _, r := range results {
		op, err := repo.resultOp(ctx, head.ID, position+len(b.Results), r)
		if err != nil {
			return Batch{}, err
		}
		if bytes += len(op.Value); len(b.Results) == maxBatchResults || bytes > maxBatchBytes && len(b.Results) > 0 {
			break
		}
		b.ops, b.Results = append(b.ops, op), append(b.Results, r)
	}
	return b, nil
}

func (repo Repository) resultOp(ctx context.Context, id string, position int, r Result) (platform.Op, error) {
	op, err := platform.Put(resultKey(id, position), 0, storedResult{Result: r})
	if err != nil || len(op.Value) <= repo.MaxRowBytes {
		return op, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return platform.Op{}, err
	}
	name := objectPrefix + id + "-result-" + r.Item
	if err := repo.Store.PutObject(ctx, name, data); err != nil {
		return platform.Op{}, err
	}
	return platform.Put(resultKey(id, position), 0, storedResult{Result: Result{Item: r.Item, State: r.State}, Object: name})
}

// ErrNotOwner is returned by calls that write for a submission which has ended or has
// another owner by now.
var ErrNotOwner = errors.New("submission: this instance is not the owner")

// Append writes b. It returns ErrNotOwner if head is no longer the submission's head, or
// an error of the store, after which b must be written again.
func (repo Repository) Append(ctx context.Context, head HeadRow, b Batch) error {
	_, err := repo.Store.Commit(ctx, b.ops...)
	var ce *platform.ConflictError
	if !errors.As(err, &ce) {
		return err
	}
	if ce.Key == headKey(head.ID) {
		return ErrNotOwner
	}
	for _, op := range b.ops {
		if op.Key == ce.Key && !bytes.Equal(op.Value, ce.Current.Value) {
			return fmt.Errorf("%w: row %s holds a different result", ErrNotOwner, ce.Key)
		}
	}
	return nil // an earlier write of this batch succeeded and its response was lost
}
