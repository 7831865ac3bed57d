package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// watchdog monitors one attempt's stream. When the engine has been silent for IdleTimeout,
// the watchdog reads the engine's load report on another connection. It ends the attempt
// with errIdleTimeout if the engine does not respond, or if two reports in a row do not
// explain the silence. A silent stream is expected while the engine loads weights or has
// this request queued. A single unexplained report is tolerated because the engine may be
// processing a long prompt.
type watchdog struct {
	in     *Instance
	ctx    context.Context
	cancel context.CancelCauseFunc
	addr   string
	id     string // the request's ID at the engine

	mu          sync.Mutex
	timer       *time.Timer
	started     bool // a chunk has been received
	idleReports int  // consecutive reports that did not explain the silence
}

// maxIdleReports is the number of consecutive reports that do not explain the silence after
// which the attempt ends.
const maxIdleReports = 2

// startWatchdog starts monitoring the attempt of request id at the engine at addr. cancel
// must cancel ctx, which is the attempt's context.
func (in *Instance) startWatchdog(ctx context.Context, cancel context.CancelCauseFunc, addr, id string) *watchdog {
	w := &watchdog{in: in, ctx: ctx, cancel: cancel, addr: addr, id: id}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(in.cfg.IdleTimeout, w.expire)
	return w
}

// received records that a chunk was received.
func (w *watchdog) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started, w.idleReports = true, 0
	w.timer.Reset(w.in.cfg.IdleTimeout)
}

// stop stops the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

// expire runs when no chunk has been received for IdleTimeout.
func (w *watchdog) expire() {
	explained, err := w.checkEngine()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	if explained {
		w.idleReports = 0
	} else {
		w.idleReports++
	}
	if err != nil || w.idleReports >= maxIdleReports {
		w.cancel(errIdleTimeout)
		return
	}
	w.timer.Reset(w.in.cfg.IdleTimeout)
}

// hasStarted reports whether a chunk has been received.
func (w *watchdog) hasStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// checkEngine reads the engine's load report and reports whether it explains the silence.
// It returns an error if the engine does not respond. Queued requests explain the silence
// only if this request is one of them: it may have been lost, or have run and its response
// been lost.
func (w *watchdog) checkEngine() (explained bool, err error) {
	ctx, cancel := context.WithTimeout(w.ctx, w.in.cfg.IdleTimeout)
	defer cancel()
	client := engine.NewClient(w.addr, w.in.reportHTTP)
	rep, err := client.LoadReport(ctx)
	if err != nil || rep.Loading {
		return rep.Loading, err
	}
	if w.hasStarted() || rep.Queued == 0 {
		return false, nil
	}
	st, err := client.RequestStatus(ctx, w.id)
	if errors.Is(err, engine.ErrNoStatus) {
		return true, nil
	}
	return st.State == engine.RequestQueued, err
}
