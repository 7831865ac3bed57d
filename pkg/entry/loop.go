package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/control"
	"github.com/zinnialadder/zinnialadder/pkg/delivery"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/shard"
	"github.com/zinnialadder/zinnialadder/pkg/step"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
)

// control runs the control loop. It owns the state, applies every event to it with
// control.Reduce and carries out the effects. Effects that need I/O run on other
// goroutines, which report their results as events.
func (in *Instance) control(ctx context.Context) error {
	st := control.New(in.self, in.timing)
	ticker := time.NewTicker(in.cfg.TickInterval)
	defer ticker.Stop()
	st, effs := control.Reduce(st, control.Tick{At: in.cfg.Clock.Now()})
	in.applyEffects(ctx, effs)
	for {
		var ev control.Event
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ev = control.Tick{At: in.cfg.Clock.Now()}
		case ev = <-in.events:
		}
		st, effs = control.Reduce(st, ev)
		in.applyEffects(ctx, effs)
		if wantsTick(ev) {
			st, effs = control.Reduce(st, control.Tick{At: in.cfg.Clock.Now()})
			in.applyEffects(ctx, effs)
		}
	}
}

// wantsTick reports whether ev must be followed by a tick immediately.
func wantsTick(ev control.Event) bool {
	switch ev.(type) {
	case control.PeerNotified, control.StepAccepted:
		return true
	}
	return false
}

// runShard runs a step's shard in the background until the shard ends or the instance
// drains.
func (in *Instance) runShard(ctx context.Context, e control.RunShard) {
	in.steps.Go(func() error {
		err := shard.Run(in.stepsCtx, in.shardConfig(), e.ID, e.TTL)
		in.cfg.Logger.Debug("step shard ended", "shard", e.ID, "err", err)
		in.post(ctx, control.ShardEnded{ID: e.ID})
		return nil
	})
}

func (in *Instance) applyEffects(ctx context.Context, effs []control.Effect) {
	for _, eff := range effs {
		switch e := eff.(type) {
		case control.StoreReport:
			in.View().Loads.PutReport(e.Address, e.Report, in.load.Get(e.Address))
		case control.PublishView:
			in.view.Store(e.View)
		case control.LogChange:
			in.cfg.Logger.Info(e.Message, e.Fields...)
		case control.NotifyPeers:
			in.peers.Broadcast(in.hintMessage(e))
		case control.RunShard:
			in.runShard(ctx, e)
		default:
			in.startIO(ctx, eff)
		}
	}
}

// startIO carries out an effect that needs I/O on a goroutine of in.group.
func (in *Instance) startIO(ctx context.Context, eff control.Effect) {
	in.group.Go(func() error {
		ioCtx, cancel := context.WithTimeout(ctx, in.timeoutOf(eff))
		defer cancel()
		in.post(ctx, in.doIO(ioCtx, eff))
		return nil
	})
}

// timeoutOf returns the timeout of eff.
func (in *Instance) timeoutOf(eff control.Effect) time.Duration {
	switch eff.(type) {
	case control.SendOrder:
		return in.cfg.OrderTimeout
	case control.Sweep:
		return delivery.SendTimeout
	}
	return in.cfg.PlatformTimeout
}

func (in *Instance) doIO(ctx context.Context, eff control.Effect) control.Event {
	switch e := eff.(type) {
	case control.ReadCatalogue:
		return in.readCatalogue(ctx, e)
	case control.ReadMembers:
		rows, err := in.cfg.Platform.Scan(ctx, memberPrefix)
		if err == nil {
			rows = in.splitQuarantineRows(rows)
		}
		return control.MembersRead{Rows: rows, At: in.cfg.Clock.Now(), Err: err}
	case control.Heartbeat:
		self := in.self
		self.Draining = e.Draining
		data, _ := json.Marshal(self)
		l, err := lease.Renew(ctx, in.cfg.Platform, e.Held, e.At, e.ExpiresAt, data)
		if errors.Is(err, lease.ErrHeld) {
			l, err = lease.Acquire(ctx, in.cfg.Platform, memberPrefix+self.ID, self.ID, e.At, e.ExpiresAt, data)
		}
		return control.HeartbeatDone{Lease: l, Err: err}
	case control.ReadReport:
		rep, err := engine.NewClient(e.Address, in.reportHTTP).LoadReport(ctx)
		return control.ReportRead{Address: e.Address, Report: rep, At: in.cfg.Clock.Now(), Err: err}
	case control.TakeRolloutLease:
		held, err := in.rolloutLease(e.Pool).Acquire(ctx, nil)
		return control.RolloutLeaseDone{Pool: e.Pool, Held: held, Err: err}
	case control.ReleaseRolloutLease:
		if err := in.rolloutLease(e.Pool).Release(ctx); err != nil {
			in.cfg.Logger.Debug("could not release rollout lease; it expires on its own", "pool", e.Pool, "err", err)
		}
	case control.SendOrder:
		return in.sendOrder(ctx, e)
	case control.ReadInstances:
		ch, err := in.cfg.Platform.Instances(ctx, e.Since)
		return control.InstancesRead{Changes: ch, Err: err}
	case control.ReadSteps:
		heads, err := step.List(ctx, in.cfg.Platform)
		return control.StepsRead{Heads: heads, Err: err}
	case control.Sweep:
		sent, err := in.sweep(ctx, e)
		return control.SweepDone{Sent: sent, Err: err}
	}
	return nil
}

// readCatalogue reads the revision row. If its version differs from the known one,
// readCatalogue reads the rows that changed since, or the full catalogue if the revision no
// longer lists all of them or if e.Full is set. A missing revision row counts as version 0,
// so a catalogue without one is only read if e.Full is set.
func (in *Instance) readCatalogue(ctx context.Context, e control.ReadCatalogue) control.Event {
	rev, version, err := catalogue.ReadRevision(ctx, in.cfg.Platform)
	if err != nil {
		return control.CatalogueRead{Err: err}
	}
	if !e.Full && version == e.Known {
		return control.CatalogueRead{Revision: version, Number: rev.Number, Unchanged: true}
	}
	keys, known := rev.ChangedSince(e.Number)
	var rows []platform.Row
	if e.Full || !known {
		rows, err = in.cfg.Platform.Scan(ctx, "catalogue/")
	} else {
		rows, err = in.readRows(ctx, keys)
	}
	return control.CatalogueRead{Revision: version, Number: rev.Number, Rows: rows, At: in.cfg.Clock.Now(), Err: err}
}

func (in *Instance) readRows(ctx context.Context, keys []string) ([]platform.Row, error) {
	rows := make([]platform.Row, 0, len(keys))
	for _, k := range keys {
		row, err := in.cfg.Platform.Get(ctx, k)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// post sends ev to the control loop unless ctx is done.
func (in *Instance) post(ctx context.Context, ev control.Event) {
	if ev == nil {
		return
	}
	select {
	case in.events <- ev:
	case <-ctx.Done():
	}
}
