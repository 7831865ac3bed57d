package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// silence watches one attempt's stream. When the engine has sent nothing for
// IdleTimeout it asks for the engine's load on another connection. The attempt
// ends with errIdle if the engine does not answer, or has twice in a row said
// nothing that explains the silence: while it loads weights, or has this
// request waiting, the stream may well stand still; once may be a long prompt
// being read.
type silence struct {
	in   *Instance
	ctx  context.Context
	end  context.CancelCauseFunc
	addr string
	id   string // of the request, as the engine knows it

	mu    sync.Mutex
	timer *time.Timer
	begun bool // a chunk has come
	idle  int  // answers in a row that did not explain the silence
}

// maxIdleAnswers is how many answers of a live engine that do not explain its
// silence end an attempt.
const maxIdleAnswers = 2

// watchSilence starts to watch the attempt of request id at the engine at
// addr, whose context end ends.
func (in *Instance) watchSilence(ctx context.Context, end context.CancelCauseFunc, addr, id string) *silence {
	s := &silence{in: in, ctx: ctx, end: end, addr: addr, id: id}
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
	explained, err := s.ask()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	if explained {
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

// hasBegun reports whether a chunk has come.
func (s *silence) hasBegun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

// ask asks the engine, on another connection, and reports whether its answer
// explains the silence, or why there is none. That requests wait there
// explains it only if this one does: it may never have come, or run and its
// answer be lost.
func (s *silence) ask() (explained bool, err error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.in.cfg.IdleTimeout)
	defer cancel()
	client := engine.NewClient(s.addr, s.in.reportHTTP)
	rep, err := client.LoadReport(ctx)
	if err != nil || rep.Loading {
		return rep.Loading, err
	}
	if s.hasBegun() || rep.Queued == 0 {
		return false, nil
	}
	st, err := client.RequestStatus(ctx, s.id)
	if errors.Is(err, engine.ErrNoStatus) {
		return true, nil
	}
	return st.State == engine.RequestQueued, err
}
