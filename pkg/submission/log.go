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
	// retryPause is the pause before a call of the store is made again.
	retryPause = 60 * time.Millisecond
	// scanRows is how many results are read in one call, fewer than the 1 MB
	// that the store answers at most if each is of the usual size.
	scanRows = 100
)

// Repository keeps submissions and their results in the store.
type Repository struct {
	Store Store
	// MaxRow is the largest value of a row, in bytes; results that are longer
	// are kept as objects.
	MaxRow int
}

// HeadRow is a submission's head as it was written by its owner.
type HeadRow struct {
	Head
	Fencing uint64 // version of the head's row
}

// DecodeHead reads a head from its row.
func DecodeHead(row platform.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, fmt.Errorf("submission: head %s: %w", row.Key, err)
	}
	return h, nil
}

// Accept keeps s, owned by owner, who runs it already if claimed says so, and
// tries that until ctx ends. Its errors tell whether s
// may have been kept: platform.ErrNotDone means that it is not and will not
// be. Another copy of s that is kept already is no error; its head is returned.
func (l Repository) Accept(ctx context.Context, s Spec, owner string, claimed bool, now time.Time) (HeadRow, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return HeadRow{}, fmt.Errorf("submission %s: %w", s.ID, err)
	}
	for {
		err = l.Store.PutObject(ctx, specName(s.ID, s.Customer), data)
		if err == nil {
			break
		}
		if !clock.Sleep(ctx, retryPause) {
			return HeadRow{}, fmt.Errorf("%w: its object: %v", platform.ErrNotApplied, err) // without a head, nothing is kept
		}
	}
	h := Head{ID: s.ID, Host: s.Host, Path: s.Path, Model: s.Model, Customer: s.Customer, MinVersion: s.MinVersion, Step: s.Step,
		Total: len(s.Items), EstimatedLength: s.EstimatedLength(), AcceptedAt: now.UTC().Round(0), Owner: owner, Claimed: claimed} // as it is read back
	return l.put(ctx, h, 0)
}

// put writes h if its row is at expect, until ctx ends or the outcome is known.
// A row that stands there already is returned instead.
func (l Repository) put(ctx context.Context, h Head, expect uint64) (HeadRow, error) {
	op, err := platform.Put(headKey(h.ID), expect, h)
	if err != nil {
		return HeadRow{}, err
	}
	unknown := false // an earlier call may still be carried out
	for {
		rows, err := l.Store.Commit(ctx, op)
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
		if !clock.Sleep(ctx, retryPause) {
			if unknown {
				return HeadRow{}, fmt.Errorf("submission %s: outcome unknown: %w", h.ID, platform.ErrUnavailable)
			}
			return HeadRow{}, fmt.Errorf("submission %s: %w", h.ID, err)
		}
	}
}

// Head reads the head of a submission, or ErrUnknown, or ErrNotSure.
func (l Repository) Head(ctx context.Context, id string) (HeadRow, error) {
	row, err := l.Store.Get(ctx, headKey(id))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return HeadRow{}, ErrNotFound
	case err != nil:
		return HeadRow{}, fmt.Errorf("%w: %v", ErrStoreUnavailable, err)
	}
	h, err := DecodeHead(row)
	return HeadRow{Head: h, Fencing: row.Version}, err
}

// UpdateHead rewrites a head until ctx ends: change returns the new head, or false
// if nothing is to be written. It returns the head as it stands then.
func (l Repository) UpdateHead(ctx context.Context, cur HeadRow, change func(Head) (Head, bool)) (HeadRow, error) {
	for {
		next, ok := change(cur.Head)
		if !ok {
			return cur, nil
		}
		got, err := l.put(ctx, next, cur.Fencing)
		if err != nil {
			return HeadRow{}, err
		}
		if got.Head == next {
			return got, nil
		}
		cur = got
	}
}

// Claim makes owner the one that runs a submission, given the head as it was
// left, and returns the head that fences it. It returns ErrLost if the head has
// changed: what was left is then another's, or more than the caller knows of.
func (l Repository) Claim(ctx context.Context, left HeadRow, owner string) (HeadRow, error) {
	if !left.Open() {
		return HeadRow{}, ErrNotOwner
	}
	claimed := left.Head
	claimed.Owner, claimed.Claimed, claimed.ProgressToken = owner, true, 0
	if claimed == left.Head {
		return left, nil // claimed before
	}
	got, err := l.put(ctx, claimed, left.Fencing)
	if err == nil && got.Head != claimed {
		return HeadRow{}, ErrNotOwner
	}
	return got, err
}

// Spec reads what the sender of a submission handed over.
func (l Repository) Spec(ctx context.Context, o HeadRow) (Spec, error) {
	data, err := l.Store.GetObject(ctx, specName(o.ID, o.Customer))
	if err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrStoreUnavailable, err)
	}
	var s Spec
	if err := json.Unmarshal(data, &s); err != nil {
		return Spec{}, fmt.Errorf("submission %s: %w", o.ID, err)
	}
	return s, nil
}

// DeleteSpec deletes what Accept wrote of a submission that is not kept, as another
// customer's has its ID.
func (l Repository) DeleteSpec(ctx context.Context, s Spec) error {
	return l.Store.DeleteObject(ctx, specName(s.ID, s.Customer))
}

// Results reads up to limit results from position on.
func (l Repository) Results(ctx context.Context, id string, position, limit int) ([]Result, error) {
	page, err := l.Store.ScanFrom(ctx, resultsPrefix(id), resultKey(id, position), limit)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrStoreUnavailable, err)
	}
	out := make([]Result, 0, len(page.Rows))
	for _, row := range page.Rows {
		r, err := l.decodeResult(ctx, row)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

// AllResults reads every result.
func (l Repository) AllResults(ctx context.Context, id string) ([]Result, error) {
	var out []Result
	for {
		rs, err := l.Results(ctx, id, len(out), scanRows)
		if err != nil {
			return nil, err
		}
		out = append(out, rs...)
		if len(rs) == 0 {
			return out, nil
		}
	}
}

// storedResult is a row of a result: the result, or the name of its object.
type storedResult struct {
	Result
	Object string `json:"object,omitempty"`
}

func decodeStored(row platform.Row) (storedResult, error) {
	var s storedResult
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, fmt.Errorf("submission: result %s: %w", row.Key, err)
	}
	return s, nil
}

func (l Repository) decodeResult(ctx context.Context, row platform.Row) (Result, error) {
	s, err := decodeStored(row)
	if err != nil {
		return Result{}, err
	}
	if s.Object == "" {
		return s.Result, nil
	}
	data, err := l.Store.GetObject(ctx, s.Object)
	if err != nil {
		return Result{}, fmt.Errorf("%w: %v", ErrStoreUnavailable, err)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return Result{}, fmt.Errorf("submission: result object %s: %w", s.Object, err)
	}
	return r, nil
}

const (
	// maxBatch is how many results one transaction holds; the store takes 100
	// entries in all, of which each result is two.
	maxBatch = 48
	// maxBatchBytes bounds the values of one transaction: the store takes 1 MB,
	// of which base64 adds a third.
	maxBatchBytes = 600 << 10
)
