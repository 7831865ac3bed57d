package submission

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Left is what the owners before have left of a submission.
type Left struct {
	Results []Result  // written
	Texts   []Partial // begun
	// KeptUnder is the fencing token under which the texts were kept; 0 if
	// nobody kept any.
	KeptUnder uint64
}

// Left reads what the owners before have left, given the head as they left it,
// which has been claimed since so that none of them can write any more.
func (l Log) Left(ctx context.Context, left Owned) (Left, error) {
	var out Left
	if !left.Claimed && left.Head.Progress == 0 {
		return out, nil // nobody has run it
	}
	out.KeptUnder = left.Fencing
	if left.Owner == "" {
		out.KeptUnder = left.Head.Progress // given up
	}
	var g errgroup.Group
	g.Go(func() (err error) {
		out.Results, err = l.AllResults(ctx, left.ID)
		return err
	})
	g.Go(func() (err error) {
		out.Texts, err = l.progress(ctx, left.ID, out.KeptUnder)
		return err
	})
	return out, g.Wait()
}

// Partial is the text of an item that is not whole yet.
type Partial struct {
	Item     string   `json:"item"`
	Text     []string `json:"text"`
	After    int      `json:"after"`
	Versions []uint64 `json:"versions"`
}

func progressName(id string, fencing uint64) string {
	return objectPrefix + id + "-progress-" + strconv.FormatUint(fencing, 10)
}

// PutProgress keeps the texts that the owner o has so far, for its successor.
func (l Log) PutProgress(ctx context.Context, o Owned, ps []Partial) error {
	data, err := json.Marshal(ps)
	if err != nil {
		return err
	}
	return l.Store.PutObject(ctx, progressName(o.ID, o.Fencing), data)
}

// progress returns the texts that were kept under a fencing token. There are none
// if none were.
func (l Log) progress(ctx context.Context, id string, fencing uint64) ([]Partial, error) {
	data, err := l.Store.GetObject(ctx, progressName(id, fencing))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var ps []Partial
	return ps, json.Unmarshal(data, &ps)
}
