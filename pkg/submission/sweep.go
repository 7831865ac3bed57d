package submission

import (
	"context"
	"errors"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// sweepRows is how many results one transaction of a sweep deletes: the store
// takes 100 entries in all, of which each deletion is two and the head's check
// one.
const sweepRows = 48

// DeleteSubmission deletes a submission that nobody reads any more: its results and their
// objects, what was handed over, and last its head, so that a sweep that is
// interrupted is taken up again. It returns ErrLost if the head has changed.
func (l Repository) DeleteSubmission(ctx context.Context, o HeadRow) error {
	for {
		page, err := l.Store.ScanFrom(ctx, resultsPrefix(o.ID), "", sweepRows)
		if err != nil {
			return err
		}
		if len(page.Rows) == 0 {
			break
		}
		ops := []platform.Op{platform.Check(headKey(o.ID), o.Fencing)}
		for _, row := range page.Rows {
			if err := l.deleteObjectOf(ctx, row); err != nil {
				return err
			}
			ops = append(ops, platform.Delete(row.Key, row.Version))
		}
		if err := l.commitSweep(ctx, ops); err != nil {
			return err
		}
	}
	for _, name := range []string{specName(o.ID, o.Customer), progressName(o.ID, o.Head.ProgressToken)} {
		if err := l.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	return l.commitSweep(ctx, []platform.Op{platform.Delete(headKey(o.ID), o.Fencing)})
}

func (l Repository) commitSweep(ctx context.Context, ops []platform.Op) error {
	_, err := l.Store.Commit(ctx, ops...)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return ErrNotOwner
	}
	return err
}

// deleteObjectOf deletes the object that holds a long result.
func (l Repository) deleteObjectOf(ctx context.Context, row platform.Row) error {
	s, err := decodeStored(row)
	if err != nil || s.Object == "" {
		return nil // a row that cannot be read names no object, and goes
	}
	return l.Store.DeleteObject(ctx, s.Object)
}

// DeleteProgress deletes the texts of a submission that were kept under a fencing
// token and that nobody needs any more.
func (l Repository) DeleteProgress(ctx context.Context, id string, fencing uint64) error {
	return l.Store.DeleteObject(ctx, progressName(id, fencing))
}
