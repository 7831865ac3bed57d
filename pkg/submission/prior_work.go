package submission

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// PriorWork is what previous owners have stored of a submission.
type PriorWork struct {
	Results  []Result      // the results that have a position
	Partials []PartialText // texts of items without a result
	// ProgressToken is the fencing token under which Partials are stored; 0 if none
	// are.
	ProgressToken uint64
}

// PriorWork reads what previous owners have stored. prev is the head as they left it.
// The caller must have claimed the submission since, so that none of them can write any
// more.
func (repo Repository) PriorWork(ctx context.Context, prev HeadRow) (PriorWork, error) {
	var out PriorWork
	if !prev.Claimed && prev.Head.ProgressToken == 0 {
		return out, nil // no instance has run it
	}
	var g errgroup.Group
	g.Go(func() (err error) {
		out.Results, err = repo.AllResults(ctx, prev.ID)
		return err
	})
	g.Go(func() (err error) {
		out.Partials, out.ProgressToken, err = repo.partialTexts(ctx, prev)
		return err
	})
	return out, g.Wait()
}

// partialTexts returns the newest partial texts that were stored for a successor of prev's
// owner, and the fencing token under which they are stored.
func (repo Repository) partialTexts(ctx context.Context, prev HeadRow) (texts []PartialText, token uint64, err error) {
	if prev.Claimed {
		texts, err = repo.progress(ctx, prev.ID, prev.Fencing)
		if texts != nil || err != nil || prev.Head.ProgressToken == 0 {
			return texts, prev.Fencing, err
		}
	}
	texts, err = repo.progress(ctx, prev.ID, prev.Head.ProgressToken)
	return texts, prev.Head.ProgressToken, err
}

// PartialText is the text of an item that has no stored result.
type PartialText struct {
	Item     string   `json:"item"`
	Text     []string `json:"text"`
	After    int      `json:"after"`
	Versions []uint64 `json:"versions"`
	Complete bool     `json:"complete,omitempty"` // all events are present; only the score is missing
}

// progressPrefix returns the prefix of the names of the objects with partial texts of a
// submission.
func progressPrefix(id string) string { return "partial-texts-" + idDigest(id) + "-" }

func progressName(id string, fencing uint64) string {
	return progressPrefix(id) + strconv.FormatUint(fencing, 10)
}

// PutProgress stores the partial texts of the owner in head for its successor.
func (repo Repository) PutProgress(ctx context.Context, head HeadRow, ps []PartialText) error {
	data, err := json.Marshal(ps)
	if err != nil {
		return err
	}
	return repo.Store.PutObject(ctx, progressName(head.ID, head.Fencing), data)
}

// progress returns the partial texts stored under a fencing token, nil if there are
// none.
func (repo Repository) progress(ctx context.Context, id string, fencing uint64) ([]PartialText, error) {
	data, err := repo.Store.GetObject(ctx, progressName(id, fencing))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var ps []PartialText
	return ps, json.Unmarshal(data, &ps)
}
