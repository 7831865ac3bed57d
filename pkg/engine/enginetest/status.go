package enginetest

import (
	"net/http"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// attempt is a generate request in progress.
type attempt struct {
	state engine.RequestState
}

func (s *Server) attemptStarted(id string) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &attempt{state: engine.RequestQueued}
	s.openAttempts[id] = a
	return a
}

func (s *Server) attemptRunning(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state = engine.RequestRunning
}

func (s *Server) attemptEnded(id string, a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openAttempts[id] == a {
		delete(s.openAttempts, id)
	}
}

// status handles GET /v1/requests/{id}.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := engine.RequestStatus{State: engine.RequestUnknown}
	if a, ok := s.openAttempts[r.PathValue("id")]; ok {
		st.State = a.state
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, st)
}
