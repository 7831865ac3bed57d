package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/platform"

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
		if _, ok := ev.(hinted); ok {
			st, effs = reduce(st, tick{at: in.cfg.Clock.Now()})
			in.run(ctx, effs)
		}
	}
}

func (in *Instance) run(ctx context.Context, effs []effect) {
	for _, eff := range effs {
		switch e := eff.(type) {
		case publish:
			in.view.Store(e.view)
		case logChange:
			in.cfg.Logger.Info(e.msg, e.kv...)
		case hintPeers:
			in.peers.hint(e.revision, e.draining)
		default:
			in.io(ctx, eff)
		}
	}
}

// io carries out an effect that needs the network, on a group goroutine.
func (in *Instance) io(ctx context.Context, eff effect) {
	in.group.Go(func() error {
		ctx, cancel := context.WithTimeout(ctx, in.cfg.PlatformTimeout)
		defer cancel()
		in.post(ctx, in.do(ctx, eff))
		return nil
	})
}

func (in *Instance) do(ctx context.Context, eff effect) event {
	switch e := eff.(type) {
	case readCatalogue:
		return in.readCatalogue(ctx, e.known, e.full)
	case readMembers:
		rows, err := in.cfg.Platform.Scan(ctx, memberPrefix)
		return membersRead{rows: rows, at: in.cfg.Clock.Now(), err: err}
	case heartbeat:
		self := in.self
		self.Draining = e.draining
		data, _ := json.Marshal(self)
		l, err := lease.Acquire(ctx, in.cfg.Platform, memberPrefix+self.ID, self.ID, in.cfg.Clock.Now(), e.expiresAt, data)
		return heartbeatDone{l: l, err: err}
	case readReport:
		rep, err := engine.NewClient(e.addr, in.http).Report(ctx)
		return reportRead{addr: e.addr, rep: rep, err: err}
	case sweep:
		sent, err := in.sweep(ctx, e.olderThan)
		return sweepDone{sent: sent, err: err}
	}
	return nil
}

// readCatalogue reads the revision row and, if it moved from known or full
// is set, the whole catalogue. An absent revision row (a catalogue written
// before there was one) reads as revision 0, so it too is scanned only when
// full is set.
func (in *Instance) readCatalogue(ctx context.Context, known uint64, full bool) event {
	var revision uint64
	row, err := in.cfg.Platform.Get(ctx, catalogue.RevisionKey)
	switch {
	case err == nil:
		revision = row.Version
	case !errors.Is(err, platform.ErrNotFound):
		return catalogueRead{err: err}
	}
	if !full && revision == known {
		return catalogueRead{revision: revision, unchanged: true}
	}
	rows, err := in.cfg.Platform.Scan(ctx, "catalogue/")
	return catalogueRead{revision: revision, rows: rows, at: in.cfg.Clock.Now(), err: err}
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
