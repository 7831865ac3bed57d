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

// WeightStore is a fake weight store with limited bandwidth that engines share. A fetch
// takes FetchTime while at most FullRateFetches are in progress, and longer in
// proportion with more.
type WeightStore struct {
	FetchTime       time.Duration
	FullRateFetches int

	mu      sync.Mutex
	fetches int
}

// fetch waits as long as a fetch that starts now takes.
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

// Loads returns the number of load orders carried out.
func (s *Server) Loads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Loading reports whether a load order is in progress.
func (s *Server) Loading() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadDone != nil
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	var o engine.LoadOrder
	if !httpjson.Read(w, r, &o) {
		return
	}
	if status, err := s.acceptLoad(o); err != nil {
		http.Error(w, err.Error(), status)
		return
	}
	if err := s.carryOutLoad(r.Context(), o); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	httpjson.Write(w, http.StatusOK, engine.LoadReport{WeightVersion: o.Version})
}

// acceptLoad accepts o, or returns the status and the error to refuse it with.
func (s *Server) acceptLoad(o engine.LoadOrder) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Fencing < s.fencing {
		return http.StatusConflict, fmt.Errorf("stale fencing token: got %d, newest is %d", o.Fencing, s.fencing)
	}
	if s.loadDone != nil {
		return http.StatusServiceUnavailable, fmt.Errorf("another load is in progress")
	}
	s.fencing = max(s.fencing, o.Fencing)
	s.loadDone = make(chan struct{})
	return 0, nil
}

// carryOutLoad fetches the version of an accepted order and switches to it. An accepted
// order is carried out even if its sender disconnects.
func (s *Server) carryOutLoad(ctx context.Context, o engine.LoadOrder) error {
	var err error
	if s.cfg.WeightStore != nil {
		err = s.cfg.WeightStore.fetch(context.WithoutCancel(ctx))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.loadDone)
	s.loadDone = nil
	if s.faults.RefuseLoad {
		return fmt.Errorf("loading the weights failed partway")
	}
	if err != nil {
		return err
	}
	s.version = o.Version
	s.loads++
	return nil
}
