package submission

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// PriorWork is what the owners before have left of a submission.
type PriorWork struct {
	Results  []Result      // written
	Partials []PartialText // begun
	// ProgressToken is the fencing token under which the texts were kept; 0 if
	// nobody kept any.
	ProgressToken uint64
}

// PriorWork reads what the owners before have left, given the head as they left it,
// which has been claimed since so that none of them can write any more.
func (l Repository) PriorWork(ctx context.Context, left HeadRow) (PriorWork, error) {
	var out PriorWork
	if !left.Claimed && left.Head.ProgressToken == 0 {
		return out, nil // nobody has run it
	}
	out.ProgressToken = left.Fencing
	if left.Owner == "" {
		out.ProgressToken = left.Head.ProgressToken // given up
	}
	var g errgroup.Group
	g.Go(func() (err error) {
		out.Results, err = l.AllResults(ctx, left.ID)
		return err
	})
	g.Go(func() (err error) {
		out.Partials, err = l.progress(ctx, left.ID, out.ProgressToken)
		return err
	})
	return out, g.Wait()
}

// PartialText is the text of an item that is not whole yet.
type PartialText struct {
	Item     string   `json:"item"`
	Text     []string `json:"text"`
	After    int      `json:"after"`
	Versions []uint64 `json:"versions"`
}

func progressName(id string, fencing uint64) string {
	return objectPrefix + id + "-progress-" + strconv.FormatUint(fencing, 10)
}

// PutProgress keeps the texts that the owner o has so far, for its successor.
func (l Repository) PutProgress(ctx context.Context, o HeadRow, ps []PartialText) error {
	data, err := json.Marshal(ps)
	if err != nil {
		return err
	}
	return l.Store.PutObject(ctx, progressName(o.ID, o.Fencing), data)
}

// progress returns the texts that were kept under a fencing token. There are none
// if none were.
func (l Repository) progress(ctx context.Context, id string, fencing uint64) ([]PartialText, error) {
	data, err := l.Store.GetObject(ctx, progressName(id, fencing))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var ps []PartialText
	return ps, json.Unmarshal(data, &ps)
}
