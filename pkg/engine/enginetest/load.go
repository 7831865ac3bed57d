package enginetest

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// WeightStore is a rate-limited weight store that engines share: a fetch
// takes FetchTime while at most Free fetches are under way, and in
// proportion longer with more.
type WeightStore struct {
	FetchTime       time.Duration
	FullRateFetches int

	mu      sync.Mutex
	fetches int
}

// fetch waits as long as a fetch begun now takes.
func (ws *WeightStore) fetch(ctx context.Context) error {
	ws.mu.Lock()
	ws.fetches++
	load := max(1, float64(ws.fetches)/float64(max(1, ws.FullRateFetches)))
	ws.mu.Unlock()
	defer func() {
		ws.mu.Lock()
		ws.fetches--
		ws.mu.Unlock()
	}()
	select {
	case <-time.After(time.Duration(float64(ws.FetchTime) * load)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Loads returns how many load orders the stand-in has carried out.
func (s *Server) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Loading reports whether a load order is being carried out.
func (s *Server) Loading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded != nil
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	var o engine.LoadOrder
	if !httpjson.Read(w, r, &o) {
		return
	}
	if status, err := s.beginLoad(o); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if err := s.finishLoad(r.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	httpjson.Write(w, http.StatusOK, engine.LoadReport{WeightVersion: o.Version})
}

// beginLoad accepts o, or returns the status and reason it is refused with.
func (s *Server) beginLoad(o engine.LoadOrder) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Fencing < s.fencing {
		return http.StatusConflict, fmt.Errorf("fencing %d is older than %d", o.Fencing, s.fencing)
	}
	if s.loaded != nil {
		return http.StatusServiceUnavailable, fmt.Errorf("another load is under way")
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.loaded = make(chan struct{})
	return 0, nil
}

// finishLoad fetches the version of an accepted order and switches to it.
// An order once accepted is carried out even if its sender goes away.
func (s *Server) finishLoad(ctx context.Context, o engine.LoadOrder) error {
	var err error
	if s.cfg.WeightStore != nil {
		err = s.cfg.WeightStore.fetch(context.WithoutCancel(ctx))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.loaded)
	s.loaded = nil
	if s.faults.RefuseLoad {
		return fmt.Errorf("weight swap failed partway")
	}
	if err != nil {
		return err
	}
	s.version = o.Version
	s.loads++
	return nil
}
