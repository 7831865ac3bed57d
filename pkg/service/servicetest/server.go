// Package servicetest is a stand-in for a plain service. Every call runs
// and is counted per Idempotency-Key, so tests can see a call that ran twice.
package servicetest

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/service"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Result is the answer of a call.
type Result struct {
	Method    string          `json:"method"`
	Key       string          `json:"key"`
	Execution int             `json:"execution"` // 1 for the first run of Key
	Echo      json.RawMessage `json:"echo"`
}

// Server is the stand-in. Its zero value is ready to use.
type Server struct {
	mu         sync.Mutex
	executions map[string]int
	loseReply  int
	refuse     int
	delay      time.Duration
}

// Handler returns the service protocol, with GET /v1/executions for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{method}", s.call)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executions())
	})
	return mux
}

// Executions returns how many times each key has run.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		out[k] = n
	}
	return out
}

// LoseReplies makes the next n calls run and then lose their reply.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	s.loseReply = n
	s.mu.Unlock()
}

// Refuse makes the service turn the next n calls away without running them.
func (s *Server) Refuse(n int) {
	s.mu.Lock()
	s.refuse = n
	s.mu.Unlock()
}

// Delay makes the service wait for d before it answers each call.
func (s *Server) Delay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// refused reports whether this call is to be turned away.
func (s *Server) refused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse == 0 {
		return false
	}
	s.refuse--
	return true
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if !httpjson.Read(w, r, &body) {
		return
	}
	if s.refused() {
		w.Header().Set(verdict.Header, verdict.NotRun.String())
		http.Error(w, "full", http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get(service.KeyHeader)
	s.mu.Lock()
	delay := s.delay
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[key]++
	res := Result{Method: r.PathValue("method"), Key: key, Execution: s.executions[key], Echo: body}
	lose := s.loseReply > 0
	if lose {
		s.loseReply--
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, res)
}
