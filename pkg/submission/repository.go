package submission

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Store is the part of the platform's store that submissions need.
type Store interface {
	platform.Table
	platform.Scanner
	platform.Objects
}

const (
	// storeRetryDelay is the delay before a failed call to the store is repeated.
	storeRetryDelay = 60 * time.Millisecond
	// scanRows is how many results one call reads. With results of the usual size this
	// stays below 1 MB, the most that the store returns.
	scanRows = 100
)

// Repository reads and writes submissions and their results in the store.
type Repository struct {
	Store Store
	// MaxRowBytes is the largest value of a row, in bytes. Larger results are stored as
	// objects.
	MaxRowBytes int
	// Lister lists the objects that a deletion must find because no row refers to them; nil
	// leaves them stored.
	Lister platform.ObjectLister
}

// HeadRow is a submission's head with the version of its row.
type HeadRow struct {
	Head
	Fencing uint64 // version of the head's row, which is the owner's fencing token
}

// DecodeHead decodes a head from its row.
func DecodeHead(row platform.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, fmt.Errorf("submission: decode head %s: %w", row.Key, err)
	}
	return h, nil
}

// Accept stores s with its owner and retries until ctx ends; claimed says that the
// owner runs it already. If s is stored already, it returns the stored head and no
// error. An error that is platform.ErrNotApplied means that s is not and will not be
// stored; after any other error it may have been.
func (repo Repository) Accept(ctx context.Context, s Spec, owner string, claimed bool, now time.Time) (HeadRow, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return HeadRow{}, fmt.Errorf("submission %s: %w", s.ID, err)
	}
	for {
		err = repo.Store.PutObject(ctx, specName(s.ID, s.Customer), data)
		if err == nil {
			break
		}
		if !clock.Sleep(ctx, storeRetryDelay) {
			return HeadRow{}, fmt.Errorf("%w: store the spec object: %v", platform.ErrNotApplied, err) // without its head the submission does not exist
		}
	}
	h := Head{ID: s.ID, Host: s.Host, Path: s.Path, Model: s.Model, Customer: s.Customer, MinVersion: s.MinVersion, Step: s.Step,
		Total: len(s.Items), EstimatedLength: s.EstimatedLength(), AcceptedAt: now.UTC().Round(0), Owner: owner, Claimed: claimed} // UTC without a monotonic reading, so that it equals what is read back
	return repo.putHead(ctx, h, 0)
}

// putHead writes h if its row is at version expect, and retries until the outcome is
// known or ctx ends. If the row has another version it returns that row instead, or
// ErrNotFound if there is no row.
func (repo Repository) putHead(ctx context.Context, h Head, expect uint64) (HeadRow, error) {
	op, err := platform.Put(headKey(h.ID), expect, h)
	if err != nil {
		return HeadRow{}, err
	}
	unknown := false // an earlier call may have been applied, or still be
	for {
		rows, err := repo.Store.Commit(ctx, op)
		var ce *platform.ConflictError
		switch {
		case err == nil:
			return HeadRow{Head: h, Fencing: rows[0].Version}, nil
		case errors.As(err, &ce):
			if ce.Current.Version == 0 {
				return HeadRow{}, ErrNotFound
			}
			cur, err := DecodeHead(ce.Current)
			return HeadRow{Head: cur, Fencing: ce.Current.Version}, err
		case !errors.Is(err, platform.ErrUnavailable):
			return HeadRow{}, err
		}
		unknown = unknown || !errors.Is(err, platform.ErrNotApplied)
		if !clock.Sleep(ctx, storeRetryDelay) {
			if unknown {
				return HeadRow{}, fmt.Errorf("submission %s: outcome unknown: %w", h.ID, platform.ErrUnavailable)
			}
			return HeadRow{}, fmt.Errorf("submission %s: %w", h.ID, err)
		}
	}
}

// Head reads the head of a submission. It returns ErrNotFound if there is none, and
// ErrStoreUnavailable if the store does not answer.
func (repo Repository) Head(ctx context.Context, id string) (HeadRow, error) {
	row, err := repo.Store.Get(ctx, headKey(id))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return HeadRow{}, ErrNotFound
	case err != nil:
		return HeadRow{}, fmt.Errorf("%w: %v", ErrStoreUnavailable, err)
	}
	h, err := DecodeHead(row)
	return HeadRow{Head: h, Fencing: row.Version}, err
}

// UpdateHead changes a head by compare-and-set and retries until ctx ends. change
// returns the new head, or false if nothing is to be written. The head as it stands
// afterwards is returned.
func (repo Repository) UpdateHead(ctx context.Context, cur HeadRow, change func(Head) (Head, bool)) (HeadRow, error) {
	for {
		next, ok := change(cur.Head)
		if !ok {
			return cur, nil
		}
		got, err := repo.putHead(ctx, next, cur.Fencing)
		if err != nil {
			return HeadRow{}, err
		}
		if got.Head == next {
			return got, nil
		}
		cur = got
	}
}

// Claim makes owner the instance that runs a submission, and returns the head whose
// version is the fencing token of this run. prev is the head as the previous owner left it. If the
// head has changed since, Claim returns ErrNotOwner: another instance has claimed the
// submission, or there is more prior work than the caller knows of.
func (repo Repository) Claim(ctx context.Context, prev HeadRow, owner string) (HeadRow, error) {
	if !prev.Open() {
		return HeadRow{}, ErrNotOwner
	}
	claimed := prev.Head
	claimed.Owner, claimed.Claimed, claimed.ProgressToken = owner, true, 0
	// The head is written even if the owner has claimed the submission before: the new token
	// fences the writes of its earlier run, and a head that is no longer current is noticed.
	got, err := repo.putHead(ctx, claimed, prev.Fencing)
	if err == nil && got.Head != claimed {
		return HeadRow{}, ErrNotOwner
	}
	return got, err
}

// Spec reads the submission as its sender sent it.
func (repo Repository) Spec(ctx context.Context, head HeadRow) (Spec, error) {
	data, err := repo.Store.GetObject(ctx, specName(head.ID, head.Customer))
	if err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	var s Spec
	if err := json.Unmarshal(data, &s); err != nil {
		return Spec{}, fmt.Errorf("submission %s: decode spec: %w", head.ID, err)
	}
	return s, nil
}

// DeleteSpec deletes the spec object that Accept wrote for a submission that was not
// stored, because a submission of another customer has its ID.
func (repo Repository) DeleteSpec(ctx context.Context, s Spec) error {
	return repo.Store.DeleteObject(ctx, specName(s.ID, s.Customer))
}

// Results reads up to limit results, starting at position.
func (repo Repository) Results(ctx context.Context, id string, position, limit int) ([]Result, error) {
	page, err := repo.Store.ScanFrom(ctx, resultsPrefix(id), resultKey(id, position), limit)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStoreUnavailable, err)
	}
	out := make([]Result, 0, len(page.Rows))
	for _, row := range page.Rows {
		r, err := repo.decodeResult(ctx, row)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// AllResults reads every result, in order of position.
func (repo Repository) AllResults(ctx context.Context, id string) ([]Result, error) {
	var out []Result
	for {
		rs, err := repo.Results(ctx, id, len(out), scanRows)
		if err != nil {
			return nil, err
		}
		out = append(out, rs...)
		if len(rs) == 0 {
			return out, nil
		}
	}
}

// storedResult is the value of a result's row: the result, or the name of the object
// that holds it.
type storedResult struct {
	Result
	Object string `json:"object,omitempty"`
}

func decodeStoredResult(row platform.Row) (storedResult, error) {
	var s storedResult
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, fmt.Errorf("submission: decode result %s: %w", row.Key, err)
	}
	return s, nil
}

func (repo Repository) decodeResult(ctx context.Context, row platform.Row) (Result, error) {
	s, err := decodeStoredResult(row)
	if err != nil {
		return Result{}, err
	}
	if s.Object == "" {
		return s.Result, nil
	}
	data, err := repo.Store.GetObject(ctx, s.Object)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %v", ErrStoreUnavailable, err)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("submission: decode result object %s: %w", s.Object, err)
	}
	return r, nil
}

const (
	// maxBatchResults is how many results one transaction holds. The store accepts 100
	// entries in a transaction, and a result counts as two.
	maxBatchResults = 48
	// maxBatchBytes bounds the values of one transaction. The store accepts 1 MB, and
	// base64 adds a third to the values.
	maxBatchBytes = 600 << 10
)
