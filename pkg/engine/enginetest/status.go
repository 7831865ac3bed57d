package enginetest

import (
	"net/http"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// attempt is one generate request under way.
type attempt struct {
	state engine.RequestState
}

func (s *Server) opened(id string) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &attempt{state: engine.RequestQueued}
	s.open[id] = a
	return a
}

func (s *Server) running(a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.state = engine.RequestRunning
}

func (s *Server) closed(id string, a *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] == a {
		delete(s.open, id)
	}
}

// status answers what has become of a request.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	st := engine.RequestStatus{State: engine.RequestUnknown}
	if a, ok := s.open[r.PathValue("id")]; ok {
		st.State = a.state
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, st)
}
