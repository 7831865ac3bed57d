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
// objects, those of results that were never listed, its spec and partial texts, and last its head, so that an interrupted
// deletion is found and completed. It returns ErrNotOwner if the head has changed.
func (repo Repository) DeleteSubmission(ctx context.Context, head HeadRow) error {
	for {
		page, err := repo.Store.ScanFrom(ctx, resultsPrefix(head.ID), "", deleteRows)
		if err != nil {
			return err
		}
		if len(page.Rows) == 0 {
			break
		}
		ops := []platform.Op{platform.Check(headKey(head.ID), head.Fencing)}
		for _, row := range page.Rows {
			if err := repo.deleteResultObject(ctx, row); err != nil {
				return err
			}
			ops = append(ops, platform.Delete(row.Key, row.Version))
		}
		if err := repo.commitDelete(ctx, ops); err != nil {
			return err
		}
	}
	if err := repo.deleteUnlistedObjects(ctx, head.ID); err != nil {
		return err
	}
	for _, name := range []string{specName(head.ID, head.Customer), progressName(head.ID, head.Head.ProgressToken)} {
		if err := repo.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	return repo.commitDelete(ctx, []platform.Op{platform.Delete(headKey(head.ID), head.Fencing)})
}

func (repo Repository) commitDelete(ctx context.Context, ops []platform.Op) error {
	_, err := repo.Store.Commit(ctx, ops...)
	var ce *platform.ConflictError
	if errors.As(err, &ce) {
		return ErrNotOwner
	}
	return err
}

// deleteResultObject deletes the object of a result that did not fit into its row.
func (repo Repository) deleteResultObject(ctx context.Context, row platform.Row) error {
	s, err := decodeStoredResult(row)
	if err != nil || s.Object == "" {
		return nil // a malformed row refers to no object and is deleted itself
	}
	return repo.Store.DeleteObject(ctx, s.Object)
}

// deleteUnlistedObjects deletes the objects of a submission's results that no row refers to,
// of owners that were replaced before they wrote the row.
func (repo Repository) deleteUnlistedObjects(ctx context.Context, id string) error {
	if repo.Lister == nil {
		return nil
	}
	for after := ""; ; {
		names, more, err := repo.Lister.ListObjects(ctx, resultObjectPrefix(id), after)
		if err != nil {
			return err
		}
		for _, name := range names {
			if err := repo.Store.DeleteObject(ctx, name); err != nil {
				return err
			}
			after = name
		}
		if !more || len(names) == 0 {
			return nil
		}
	}
}

// DeleteProgress deletes the partial texts of a submission that are stored under a
// fencing token.
func (repo Repository) DeleteProgress(ctx context.Context, id string, fencing uint64) error {
	return repo.Store.DeleteObject(ctx, progressName(id, fencing))
}
