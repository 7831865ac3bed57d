package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
)

// control runs the control goroutine: it owns the state, feeds every event
// through reduce and carries out the effects. I/O effects run on the
// group's goroutines and come back as events.
func (in *Instance) control(ctx context.Context) error {
	st := newState(in.self, in.timing)
	ticker := time.NewTicker(in.cfg.Tick)
	defer ticker.Stop()
	st, effs := reduce(st, tick{at: in.cfg.Clock.Now()})
	in.run(ctx, effs)
	for {
		var ev event
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ev = tick{at: in.cfg.Clock.Now()}
		case ev = <-in.events:
		}
		st, effs = reduce(st, ev)
		in.run(ctx, effs)
		if soon(ev) {
			st, effs = reduce(st, tick{at: in.cfg.Clock.Now()})
			in.run(ctx, effs)
		}
	}
}

// soon reports whether ev asks for a tick at once rather than at its time.
func soon(ev event) bool {
	switch ev.(type) {
	case hinted, stepAccepted:
		return true
	}
	return false
}

// shard runs a step's shard on the steps group until it ends or the
// instance drains.
func (in *Instance) shard(ctx context.Context, e runShard) {
	in.steps.Go(func() error {
		err := in.runShard(in.stepsCtx, e)
		in.cfg.Logger.Debug("step shard ended", "shard", e.id, "err", err)
		in.post(ctx, shardEnded{id: e.id})
		return nil
	})
}

func (in *Instance) run(ctx context.Context, effs []effect) {
	for _, eff := range effs {
		switch e := eff.(type) {
		case storeReport:
			in.View().loads.put(e.addr, e.rep, in.load.Get(e.addr))
		case publish:
			in.view.Store(e.view)
		case logChange:
			in.cfg.Logger.Info(e.msg, e.kv...)
		case hintPeers:
			in.peers.Hint(in.hint(e))
		case runShard:
			in.shard(ctx, e)
		default:
			in.io(ctx, eff)
		}
	}
}

// io carries out an effect that needs the network, on a group goroutine.
func (in *Instance) io(ctx context.Context, eff effect) {
	in.group.Go(func() error {
		ioCtx, cancel := context.WithTimeout(ctx, in.timeoutOf(eff))
		defer cancel()
		in.post(ctx, in.do(ioCtx, eff))
		return nil
	})
}

// timeoutOf returns how long eff may take.
func (in *Instance) timeoutOf(eff effect) time.Duration {
	switch eff.(type) {
	case sendOrder:
		return in.cfg.OrderTimeout
	case sweep:
		return sendTimeout
	}
	return in.cfg.PlatformTimeout
}

func (in *Instance) do(ctx context.Context, eff effect) event {
	switch e := eff.(type) {
	case readCatalogue:
		return in.readCatalogue(ctx, e)
	case readMembers:
		rows, err := in.cfg.Platform.Scan(ctx, memberPrefix)
		return membersRead{rows: rows, at: in.cfg.Clock.Now(), err: err}
	case heartbeat:
		self := in.self
		self.Draining = e.draining
		data, _ := json.Marshal(self)
		l, err := lease.Renew(ctx, in.cfg.Platform, e.held, e.at, e.expiresAt, data)
		if errors.Is(err, lease.ErrHeld) {
			l, err = lease.Acquire(ctx, in.cfg.Platform, memberPrefix+self.ID, self.ID, e.at, e.expiresAt, data)
		}
		return heartbeatDone{l: l, err: err}
	case readReport:
		rep, err := engine.NewClient(e.addr, in.reportHTTP).Report(ctx)
		return reportRead{addr: e.addr, rep: rep, at: in.cfg.Clock.Now(), err: err}
	case takeRolloutLease:
		held, err := in.keeper(e.pool).Take(ctx, nil)
		return rolloutLease{pool: e.pool, held: held, err: err}
	case releaseRolloutLease:
		if err := in.keeper(e.pool).Release(ctx); err != nil {
			in.cfg.Logger.Debug("rollout lease left to lapse", "pool", e.pool, "err", err)
		}
	case sendOrder:
		return in.order(ctx, e)
	case readInstances:
		ch, err := in.cfg.Platform.Instances(ctx, e.since)
		return instancesRead{changes: ch, err: err}
	case readSteps:
		heads, err := step.List(ctx, in.cfg.Platform)
		return stepsRead{heads: heads, err: err}
	case sweep:
		sent, err := in.sweep(ctx, e)
		return sweepDone{sent: sent, err: err}
	}
	return nil
}

// readCatalogue reads the revision row and, if it moved from the one known,
// the rows that changed since, or the whole catalogue if the revision no
// longer names them all or a full read is asked for. An absent revision row
// reads as version 0, so a catalogue without one is scanned only when a
// full read is asked for.
func (in *Instance) readCatalogue(ctx context.Context, e readCatalogue) event {
	rev, version, err := catalogue.ReadRevision(ctx, in.cfg.Platform)
	if err != nil {
		return catalogueRead{err: err}
	}
	if !e.full && version == e.known {
		return catalogueRead{revision: version, number: rev.Number, unchanged: true}
	}
	keys, known := rev.Since(e.number)
	var rows []platform.Row
	if e.full || !known {
		rows, err = in.cfg.Platform.Scan(ctx, "catalogue/")
	} else {
		rows, err = in.readRows(ctx, keys)
	}
	return catalogueRead{revision: version, number: rev.Number, rows: rows, at: in.cfg.Clock.Now(), err: err}
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

// post hands ev to the control goroutine unless ctx has ended.
func (in *Instance) post(ctx context.Context, ev event) {
	if ev == nil {
		return
	}
	select {
	case in.events <- ev:
	case <-ctx.Done():
	}
}
