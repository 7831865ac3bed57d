package entry

import (
	"context"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// silence watches one attempt's stream, and ends the attempt with errIdle once
// the engine has sent nothing for IdleTimeout and cannot be told to be busy.
// An engine that is alive answers for its load on another connection: while
// it loads weights, or has requests waiting and this one has not begun, the
// stream may well stand still.
type silence struct {
	in   *Instance
	ctx  context.Context
	end  context.CancelCauseFunc
	addr string

	mu    sync.Mutex
	timer *time.Timer
	begun bool // a chunk has come
}

// watchSilence starts to watch the attempt at the engine at addr, whose
// context end ends.
func (in *Instance) watchSilence(ctx context.Context, end context.CancelCauseFunc, addr string) *silence {
	s := &silence{in: in, ctx: ctx, end: end, addr: addr}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(in.cfg.IdleTimeout, s.expire)
	return s
}

// heard tells that a chunk has come.
func (s *silence) heard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
	s.timer.Reset(s.in.cfg.IdleTimeout)
}

// stop ends the watch.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

func (s *silence) expire() {
	s.mu.Lock()
	begun := s.begun
	s.mu.Unlock()
	if !s.in.busy(s.ctx, s.addr, begun) {
		s.end(errIdle)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() == nil {
		s.timer.Reset(s.in.cfg.IdleTimeout)
	}
}

// busy reports whether the engine at addr says that it loads weights or, for
// a request that has not begun, that requests wait for a slot.
func (in *Instance) busy(ctx context.Context, addr string, begun bool) bool {
	ctx, cancel := context.WithTimeout(ctx, in.cfg.IdleTimeout)
	defer cancel()
	rep, err := engine.NewClient(addr, in.reportHTTP).Report(ctx)
	return err == nil && (rep.Loading || !begun && rep.Queued > 0)
}
