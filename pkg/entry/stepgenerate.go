package entry

import (
	"context"
	"fmt"

	"github.com/zinnialadder/zinnialadder/pkg/shard"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// shardConfig returns the configuration of the shards that this instance runs.
func (in *Instance) shardConfig() shard.Config {
	return shard.Config{Platform: in.cfg.Platform, Clock: in.cfg.Clock, Logger: in.cfg.Logger, Holder: in.cfg.ID + "/" + in.processID,
		View: in.View, Samples: in.samples, Generate: in.generateSample, Policy: in.cfg.StepPolicy, TickInterval: in.cfg.StepTickInterval,
		DrainTimeout: drainSendTimeout, Stale: in.stats.delivery.Stale}
}

// generateSample generates one sample of a step. The sample's ID is derived from its group
// and index, not the step, so that trainers recognise a group that is submitted again in
// another step.
func (in *Instance) generateSample(ctx context.Context, a shard.Attempt) (trainer.Sample, error) {
	release, err := in.admitEntry(a.Entry)
	if err != nil {
		return trainer.Sample{}, err
	}
	defer release()
	g := a.Spec.Groups[a.Group]
	gen := &generation{in: in, entry: a.Entry, emit: func(Event) error { return nil }, tried: a.UsedEngines, onEngine: a.OnEngine, exempt: true,
		req: GenerateRequest{Customer: a.Spec.Customer, Entry: a.Spec.Entry, Prompt: g.Prompt, MaxTokens: g.MaxTokens, Group: g.ID,
			RequestID: fmt.Sprintf("%s.%s.%d.%s.%d", a.Spec.ID, g.ID, a.Index, in.processID, a.Number)}}
	res, err := gen.run(ctx)
	if err != nil {
		return trainer.Sample{}, err
	}
	smp := gen.sample(res)
	smp.ID = fmt.Sprintf("%s.%s.%s.%d", a.Spec.Customer, a.Spec.Entry, g.ID, a.Index)
	return smp, nil
}
