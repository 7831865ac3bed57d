package submission

import (
	"context"
	"errors"
	"time"
)

// keep keeps the texts so far for a successor, from time to time.
func (r *Runner) keep(ctx context.Context, now time.Time) {
	if r.keeping || now.Before(r.keepAt) {
		return
	}
	r.keepAt = now.Add(progressPeriod)
	waits, runs, results := r.run.Counts()
	r.cfg.OnEvent(RunEvent{What: "progress", Submission: r.spec.ID, Waiting: waits, Running: runs, Position: results})
	ps := r.run.Partials()
	if len(ps) == 0 {
		return
	}
	r.keeping = true
	owned, before := r.owned, r.before
	r.group.Go(func() error {
		err := r.cfg.Repository.PutProgress(ctx, owned, ps)
		if err == nil && before != 0 {
			err = r.cfg.Repository.DeleteProgress(ctx, owned.ID, before) // a successor needs the newer ones
		}
		if err != nil {
			r.cfg.OnEvent(RunEvent{What: "progress not kept", Submission: r.spec.ID, Err: err})
		}
		r.tell(ctx, func(time.Time) {
			r.keeping = false
			if err == nil {
				r.before = 0
			}
		})
		return nil
	})
}

// DeleteProgress deletes the texts that were kept of the submission, here and by
// the owner before. It is called after Run has returned, if no successor needs
// them.
func (r *Runner) DeleteProgress(ctx context.Context) error {
	err := r.cfg.Repository.DeleteProgress(ctx, r.spec.ID, r.fencing)
	if r.before != 0 {
		err = errors.Join(err, r.cfg.Repository.DeleteProgress(ctx, r.spec.ID, r.before))
	}
	return err
}

// Partials returns the texts that are begun. It is called after Run has returned.
func (r *Runner) Partials() []PartialText { return r.run.Partials() }
