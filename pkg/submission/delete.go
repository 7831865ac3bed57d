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
// objects, its spec and partial texts, the objects of owners that were replaced, and last
// its head, so that an interrupted deletion is found and completed. The spec does not wait
// for the list of objects, which fails while the store is reached through a peer. It returns
// ErrNotOwner if the head has changed.
func (repo Repository) DeleteSubmission(ctx context.Context, head HeadRow) error {
	// Objects are deleted without a condition, and another submission may have the ID by now.
	if cur, err := repo.Head(ctx, head.ID); errors.Is(err, ErrNotFound) || err == nil && cur.Fencing != head.Fencing {
		return ErrNotOwner
	} else if err != nil {
		return err
	}
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
	for _, name := range []string{specName(head.ID, head.Customer), progressName(head.ID, head.Head.ProgressToken)} {
		if err := repo.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	for _, prefix := range []string{resultObjectPrefix(head.ID), progressPrefix(head.ID)} {
		if err := repo.deleteObjects(ctx, prefix); err != nil {
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

// deleteObjects deletes the objects whose names have a prefix: those that no row refers to, of
// owners that were replaced before they wrote the row.
func (repo Repository) deleteObjects(ctx context.Context, prefix string) error {
	if repo.Lister == nil {
		return nil
	}
	for after := ""; ; {
		names, more, err := repo.Lister.ListObjects(ctx, prefix, after)
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
