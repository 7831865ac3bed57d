package delivery

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Sweep sends the samples of records created before olderThan, and returns how many records
// were sent. If a send to a trainer fails, Sweep skips the remaining records of that
// trainer, so that an unavailable trainer does not delay others.
func (s *Sender) Sweep(ctx context.Context, olderThan time.Time) (int, error) {
	rows, err := s.cfg.Platform.Scan(ctx, prefix)
	if err != nil {
		return 0, err
	}
	byTrainer := map[string][]Record{}
	for _, row := range rows {
		var r Record
		if err := json.Unmarshal(row.Value, &r); err != nil || !r.CreatedAt.Before(olderThan) {
			continue
		}
		r.Key = row.Key
		byTrainer[r.Trainer] = append(byTrainer[r.Trainer], r)
	}
	var sent atomic.Int64
	var trainers errgroup.Group
	for _, ds := range byTrainer {
		trainers.Go(func() error {
			for _, r := range ds {
				if err := s.send(ctx, r); err != nil {
					return err
				}
				s.cfg.Counters.Redelivered.Inc(int64(len(r.Samples)))
				sent.Add(1)
			}
			return nil
		})
	}
	err = trainers.Wait()
	return int(sent.Load()), err
}
