package submission

import (
	"context"
	"errors"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// deleteRows is how many results one transaction deletes. The store accepts 100 entries
// in a transaction; a deletion counts as two and the check of the head as one.
const deleteRows = 48

// DeleteSubmission deletes a submission past its retention: its results and their
// objects, its spec and partial texts, and last its head, so that an interrupted
// deletion is found and completed. It returns ErrNotOwner if the head has changed.
func (l Repository) DeleteSubmission(ctx context.Context, o HeadRow) error {
	for {
		page, err := l.Store.ScanFrom(ctx, resultsPrefix(o.ID), "", deleteRows)
		if err != nil {
			return err
		}
		if len(page.Rows) == 0 {
			break
		}
		ops := []platform.Op{platform.Check(headKey(o.ID), o.Fencing)}
		for _, row := range page.Rows {
			if err := l.deleteResultObject(ctx, row); err != nil {
				return err
			}
			ops = append(ops, platform.Delete(row.Key, row.Version))
		}
		if err := l.commitDelete(ctx, ops); err != nil {
			return err
		}
	}
	for _, name := range []string{specName(o.ID, o.Customer), progressName(o.ID, o.Head.ProgressToken)} {
		if err := l.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	return l.commitDelete(ctx, []platform.Op{platform.Delete(headKey(o.ID), o.Fencing)})
}

func (l Repository) commitDelete(ctx context.Context, ops []platform.Op) error {
	_, err := l.Store.Commit(ctx, ops...)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return ErrNotOwner
	}
	return err
}

// deleteResultObject deletes the object of a result that did not fit into its row.
func (l Repository) deleteResultObject(ctx context.Context, row platform.Row) error {
	s, err := decodeStoredResult(row)
	if err != nil || s.Object == "" {
		return nil // a malformed row refers to no object and is deleted itself
	}
	return l.Store.DeleteObject(ctx, s.Object)
}

// DeleteProgress deletes the partial texts of a submission that are stored under a
// fencing token.
func (l Repository) DeleteProgress(ctx context.Context, id string, fencing uint64) error {
	return l.Store.DeleteObject(ctx, progressName(id, fencing))
}
