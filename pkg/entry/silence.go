package entry

import (
	"context"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// silence watches one attempt's stream. When the engine has sent nothing for
// IdleTimeout it asks for the engine's load on another connection. The attempt
// ends with errIdle if the engine does not answer, or has twice in a row said
// nothing that explains the silence: while it loads weights, or has requests
// waiting and this one has not begun, the stream may well stand still; once
// may be a long prompt being read.
type silence struct {
	in   *Instance
	ctx  context.Context
	end  context.CancelCauseFunc
	addr string

	mu    sync.Mutex
	timer *time.Timer
	begun bool // a chunk has come
	idle  int  // answers in a row that did not explain the silence
}

// maxIdleAnswers is how many answers of a live engine that do not explain its
// silence end an attempt.
const maxIdleAnswers = 2

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
	s.begun, s.idle = true, 0
	s.timer.Reset(s.in.cfg.IdleTimeout)
}

// stop ends the watch.
func (s *silence) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}

func (s *silence) expire() {
	rep, err := s.report()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	if rep.Loading || !s.begun && rep.Queued > 0 {
		s.idle = 0
	} else {
		s.idle++
	}
	if err != nil || s.idle >= maxIdleAnswers {
		s.end(errIdle)
		return
	}
	s.timer.Reset(s.in.cfg.IdleTimeout)
}

// report asks for the engine's load.
func (s *silence) report() (engine.LoadReport, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.in.cfg.IdleTimeout)
	defer cancel()
	return engine.NewClient(s.addr, s.in.reportHTTP).Report(ctx)
}
