package submission

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
)

// appendResults starts a write of the results that have no position yet, unless one is
// in flight. It returns ErrNotOwner once this instance does not own the submission any
// more.
func (r *Runner) appendResults(ctx context.Context) error {
	if r.appending {
		return nil
	}
	if r.ownershipLost() {
		return ErrNotOwner
	}
	position, results := r.run.Unwritten()
	if len(results) == 0 {
		return nil
	}
	r.appending = true
	batch, next := r.batch, time.Now().Add(r.appendBackoff)
	r.group.Go(func() error {
		b, err := r.write(ctx, batch, position, results)
		if err != nil && !errors.Is(err, ErrNotOwner) {
			clock.Sleep(ctx, time.Until(next)) // a write that waited long for its answer is repeated at once
		}
		r.post(ctx, func(time.Time) { r.appendEnded(b, err) })
		return nil
	})
	return nil
}

func (r *Runner) ownershipLost() bool { return r.head.Fencing == 0 }

// write writes the first of results, which start at position: those of batch, if a write
// of it failed, and as many more as fit. It returns the batch, which must be written again
// if the write failed.
func (r *Runner) write(ctx context.Context, batch *Batch, position int, results []Result) (*Batch, error) {
	var b Batch
	var err error
	if batch == nil {
		b, err = r.cfg.Repository.PrepareBatch(ctx, r.head, position, results)
	} else {
		b, err = r.cfg.Repository.ExtendBatch(ctx, r.head, *batch, results)
	}
	if err != nil {
		return batch, err
	}
	return &b, r.cfg.Repository.Append(ctx, r.head, b)
}

// appendEnded applies the outcome of a write.
func (r *Runner) appendEnded(b *Batch, err error) {
	r.appending = false
	switch {
	case errors.Is(err, ErrNotOwner):
		r.head.Fencing = 0
		return
	case err != nil:
		r.batch = b
		r.appendBackoff = min(2*r.appendBackoff, maxAppendBackoff)
		r.cfg.OnEvent(RunEvent{What: "results not written", Submission: r.spec.ID, Err: err})
		return
	}
	r.batch, r.appendBackoff = nil, minAppendBackoff
	r.run.Written(len(b.Results))
	r.writtenAt = append(r.writtenAt, slices.Repeat([]time.Time{time.Now()}, len(b.Results))...)
	r.mu.Lock()
	r.results = append(r.results, b.Results...)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.cfg.OnEvent(RunEvent{What: ResultsListed, Submission: r.spec.ID, Position: b.Position, Events: len(b.Results), Fencing: r.fencing, Results: b.Results, Objects: b.objects, Largest: b.largest})
}

// complete marks the submission as complete: every result is written and nothing runs.
func (r *Runner) complete(ctx context.Context) error {
	head, err := r.cfg.Repository.UpdateHead(ctx, r.head, func(h Head) (Head, bool) {
		if h.Owner != r.head.Owner || !h.Open() {
			return h, false
		}
		h.Complete = true
		return h, true
	})
	if err == nil {
		r.head = head
	}
	return err
}

// Head returns the head as last written or read by the run, with a zero fencing token
// if the submission was lost. It must not be called before Run has returned.
func (r *Runner) Head() HeadRow { return r.head }
