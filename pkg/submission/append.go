package submission

import (
	"context"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
)

// append writes the results that are ready, one batch at a time.
func (r *Runner) append(ctx context.Context) error {
	if r.appending {
		return nil
	}
	if r.lost() {
		return ErrNotOwner
	}
	position, results := r.run.Unwritten()
	if len(results) == 0 {
		return nil
	}
	r.appending = true
	batch, wait := r.batch, r.pause
	r.group.Go(func() error {
		b, err := r.write(ctx, batch, position, results)
		if err != nil && !errors.Is(err, ErrNotOwner) {
			clock.Sleep(ctx, wait)
		}
		r.tell(ctx, func(time.Time) { r.appended(b, err) })
		return nil
	})
	return nil
}

func (r *Runner) lost() bool { return r.owned.Fencing == 0 }

// write writes batch, or a new one of results if it is nil.
func (r *Runner) write(ctx context.Context, batch *Batch, position int, results []Result) (*Batch, error) {
	if batch == nil {
		b, err := r.cfg.Repository.PrepareBatch(ctx, r.owned, position, results)
		if err != nil {
			return nil, err
		}
		batch = &b
	}
	return batch, r.cfg.Repository.Append(ctx, r.owned, *batch)
}

// appended takes the outcome of a write.
func (r *Runner) appended(b *Batch, err error) {
	r.appending = false
	switch {
	case errors.Is(err, ErrNotOwner):
		r.owned.Fencing = 0
		return
	case err != nil:
		r.batch = b
		r.pause = min(2*r.pause, maxAppendPause)
		r.cfg.OnEvent(RunEvent{What: "results not written", Submission: r.spec.ID, Err: err})
		return
	}
	r.batch, r.pause = nil, appendPause
	r.run.Written(len(b.Results))
	r.mu.Lock()
	r.results = append(r.results, b.Results...)
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.cfg.OnEvent(RunEvent{What: "listed", Submission: r.spec.ID, Position: b.Position, Events: len(b.Results)})
}

// complete marks the submission as one of which nothing runs any more.
func (r *Runner) complete(ctx context.Context) error {
	o, err := r.cfg.Repository.UpdateHead(ctx, r.owned, func(h Head) (Head, bool) {
		if h.Owner != r.owned.Owner || !h.Open() {
			return h, false
		}
		h.Complete = true
		return h, true
	})
	if err == nil {
		r.owned = o
	}
	return err
}

// Head returns the head as the run left it, without a fencing token if the
// submission was lost. It is called after Run has returned.
func (r *Runner) Head() HeadRow { return r.owned }
