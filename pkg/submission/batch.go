package submission

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Batch is a run of results at consecutive positions, ready to be written in
// one transaction. It must be written again as it is until its outcome is known.
type Batch struct {
	Position int
	Results  []Result
	ops      []platform.Op
}

// PrepareBatch makes a Batch of the first of results, as many as fit into one
// transaction.
func (l Repository) PrepareBatch(ctx context.Context, o HeadRow, position int, results []Result) (Batch, error) {
	b := Batch{Position: position, ops: []platform.Op{platform.Check(headKey(o.ID), o.Fencing)}}
	bytes := 0
	for _, r := range results {
		op, err := l.resultOp(ctx, o.ID, position+len(b.Results), r)
		if err != nil {
			return Batch{}, err
		}
		if bytes += len(op.Value); len(b.Results) == maxBatch || bytes > maxBatchBytes && len(b.Results) > 0 {
			break
		}
		b.ops, b.Results = append(b.ops, op), append(b.Results, r)
	}
	return b, nil
}

func (l Repository) resultOp(ctx context.Context, id string, position int, r Result) (platform.Op, error) {
	op, err := platform.Put(resultKey(id, position), 0, storedResult{Result: r})
	if err != nil || len(op.Value) <= l.MaxRow {
		return op, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return platform.Op{}, err
	}
	name := objectPrefix + id + "-result-" + r.Item
	if err := l.Store.PutObject(ctx, name, data); err != nil {
		return platform.Op{}, err
	}
	return platform.Put(resultKey(id, position), 0, storedResult{Result: Result{Item: r.Item, State: r.State}, Object: name})
}

// ErrNotOwner is returned by Append when the submission has ended or another
// instance owns it.
var ErrNotOwner = errors.New("submission: no longer owned")

// Append writes b. It returns ErrLost if o is no longer the submission's head,
// or an error of the platform, after which b is to be written again.
func (l Repository) Append(ctx context.Context, o HeadRow, b Batch) error {
	_, err := l.Store.Commit(ctx, b.ops...)
	var ce *platform.ConflictError
	if !errors.As(err, &ce) {
		return err
	}
	if ce.Key == headKey(o.ID) {
		return ErrNotOwner
	}
	for _, op := range b.ops {
		if op.Key == ce.Key && !bytes.Equal(op.Value, ce.Current.Value) {
			return fmt.Errorf("%w: %s holds another result", ErrNotOwner, ce.Key)
		}
	}
	return nil // written by an earlier call of this batch, whose answer was lost
}
