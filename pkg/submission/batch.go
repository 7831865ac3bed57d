package submission

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Batch holds results at consecutive positions that are written in one transaction. Until
// its outcome is known it must be written again, with the same results at the same
// positions, since the first call may still be carried out. Results may be added after
// them: of several writes, the store applies the first only, because each requires that
// none of its rows exists.
type Batch struct {
	Position int
	Results  []Result
	ops      []platform.Op
	objects  int // results that are stored as objects
}

// PrepareBatch returns a Batch of the first of results, as many as fit into one
// transaction. Results larger than repo.MaxRowBytes bytes are stored as objects first; the
// error is the store's or that of the encoding.
func (repo Repository) PrepareBatch(ctx context.Context, head HeadRow, position int, results []Result) (Batch, error) {
	return repo.ExtendBatch(ctx, head, Batch{Position: position, ops: []platform.Op{platform.Check(headKey(head.ID), head.Fencing)}}, results)
}

// ExtendBatch returns b with as many of the results that follow its own as fit into one
// transaction, so that an outage of the store costs few transactions after it. results
// begin with those of b. If b holds results, it is returned with those that could be added
// before a failure.
func (repo Repository) ExtendBatch(ctx context.Context, head HeadRow, b Batch, results []Result) (Batch, error) {
	// An earlier call of Append may still use the slices of b.
	b.ops, b.Results = slices.Clip(b.ops), slices.Clip(b.Results)
	size := 0
	for _, op := range b.ops {
		size += len(op.Value)
	}
	for len(b.Results) < min(len(results), maxBatchResults) {
		r := results[len(b.Results)]
		op, isObject, err := repo.resultOp(ctx, head.ID, b.Position+len(b.Results), r)
		if err != nil && len(b.Results) == 0 {
			return Batch{}, err
		}
		if size += len(op.Value); err != nil || size > maxBatchBytes && len(b.Results) > 0 {
			break
		}
		b.ops, b.Results = append(b.ops, op), append(b.Results, r)
		if isObject {
			b.objects++
		}
	}
	return b, nil
}

// resultOp returns the write of a result's row, and whether the result is stored as an
// object.
func (repo Repository) resultOp(ctx context.Context, id string, position int, r Result) (op platform.Op, isObject bool, err error) {
	op, err = platform.Put(resultKey(id, position), 0, storedResult{Result: r})
	if err != nil || len(op.Value) <= repo.MaxRowBytes {
		return op, false, err
	}
	data, err := json.Marshal(r)
	if err != nil {
		return platform.Op{}, false, err
	}
	name := resultObjectName(id, data)
	if err := repo.Store.PutObject(ctx, name, data); err != nil {
		return platform.Op{}, false, err
	}
	op, err = platform.Put(resultKey(id, position), 0, storedResult{Result: Result{Item: r.Item, State: r.State}, Object: name})
	return op, true, err
}

// resultObjectPrefix returns the prefix of the names of the objects with results of a
// submission. It holds a digest of the ID, since another ID might begin with this one.
func resultObjectPrefix(id string) string {
	sum := sha256.Sum256([]byte(id))
	return "large-result-" + hex.EncodeToString(sum[:8]) + "-"
}

// resultObjectName returns the name of the object that holds data. Objects are written
// without a condition, so the name identifies the content: a write by a former owner, or one
// that is carried out late, cannot change what a row refers to, and rows that refer to
// different results differ.
func resultObjectName(id string, data []byte) string {
	sum := sha256.Sum256(data)
	return resultObjectPrefix(id) + hex.EncodeToString(sum[:16])
}

// ErrNotOwner is returned by calls that write for a submission which has ended or has
// another owner by now.
var ErrNotOwner = errors.New("submission: this instance is not the owner")

// Append writes b. It returns ErrNotOwner if head is no longer the submission's head, or
// an error of the store, after which b must be written again. If the store holds the first
// results of b, from an earlier write whose response was lost, it writes the others.
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
	n, err := repo.countStored(ctx, b)
	if err != nil || n == len(b.Results) {
		return err
	}
	rest := Batch{Position: b.Position + n, Results: b.Results[n:], ops: slices.Concat(b.ops[:1], b.ops[1+n:])}
	return repo.Append(ctx, head, rest)
}

// countStored returns how many of b's results the store holds, at least one. It returns
// ErrNotOwner if it holds different results at their positions.
func (repo Repository) countStored(ctx context.Context, b Batch) (int, error) {
	rows := b.ops[1:]
	prefix := rows[0].Key[:strings.LastIndexByte(rows[0].Key, '/')+1]
	page, err := repo.Store.ScanFrom(ctx, prefix, rows[0].Key, len(rows))
	if err != nil {
		return 0, err
	}
	n := 0
	for _, row := range page.Rows {
		if n == len(rows) || row.Key != rows[n].Key {
			break
		}
		if !bytes.Equal(row.Value, rows[n].Value) {
			return 0, fmt.Errorf("%w: row %s holds a different result", ErrNotOwner, row.Key)
		}
		n++
	}
	if n == 0 {
		return 0, fmt.Errorf("%w: result %s disappeared", platform.ErrUnavailable, rows[0].Key)
	}
	return n, nil
}
