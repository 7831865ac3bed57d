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
}

// Left reads what the owners before have left, given the head as they left it,
// which has been claimed since so that none of them can write any more.
func (l Log) Left(ctx context.Context, left Owned) (Left, error) {
	var out Left
	if !left.Claimed && left.Head.Progress == 0 {
		return out, nil // nobody has run it
	}
	var g errgroup.Group
	g.Go(func() (err error) {
		out.Results, err = l.AllResults(ctx, left.ID)
		return err
	})
	g.Go(func() (err error) {
		out.Texts, err = l.progress(ctx, left)
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

// progress returns the texts that the owner before kept, given the head as that
// owner left it. There are none if it kept none.
func (l Log) progress(ctx context.Context, left Owned) ([]Partial, error) {
	fencing := left.Fencing
	if left.Owner == "" {
		fencing = left.Head.Progress
	}
	data, err := l.Store.GetObject(ctx, progressName(left.ID, fencing))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var ps []Partial
	return ps, json.Unmarshal(data, &ps)
}
