package submission

import (
	"context"
	"errors"
	"time"
)

// saveProgress stores the partial texts for a successor, once every progressSavePeriod.
func (r *Runner) saveProgress(ctx context.Context, now time.Time) {
	if r.savingProgress || now.Before(r.nextSaveAt) {
		return
	}
	r.nextSaveAt = now.Add(progressSavePeriod)
	waits, runs, results := r.run.Counts()
	r.cfg.OnEvent(RunEvent{What: "progress", Submission: r.spec.ID, Waiting: waits, Running: runs, Position: results})
	ps := r.run.Partials()
	if len(ps) == 0 {
		return
	}
	r.savingProgress = true
	head, priorToken := r.head, r.priorToken
	r.group.Go(func() error {
		err := r.cfg.Repository.PutProgress(ctx, head, ps)
		if err == nil && priorToken != 0 {
			err = r.cfg.Repository.DeleteProgress(ctx, head.ID, priorToken) // superseded by the texts just stored
		}
		if err != nil {
			r.cfg.OnEvent(RunEvent{What: "progress not kept", Submission: r.spec.ID, Err: err})
		}
		r.post(ctx, func(time.Time) {
			r.savingProgress = false
			if err == nil {
				r.priorToken = 0
			}
		})
		return nil
	})
}

// DeleteProgress deletes the partial texts stored for the submission by this owner and
// the previous one. It must not be called before Run has returned, nor if a successor
// needs the texts.
func (r *Runner) DeleteProgress(ctx context.Context) error {
	err := r.cfg.Repository.DeleteProgress(ctx, r.spec.ID, r.fencing)
	if r.priorToken != 0 {
		err = errors.Join(err, r.cfg.Repository.DeleteProgress(ctx, r.spec.ID, r.priorToken))
	}
	return err
}

// Partials returns the partial texts. It must not be called before Run has returned.
func (r *Runner) Partials() []PartialText { return r.run.Partials() }
