// Package servicetest is a fake of a plain service. It counts the executions of each
// Idempotency-Key, so that tests detect a call that ran twice.
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

// Result is the response to a call.
type Result struct {
	Method    string          `json:"method"`
	Key       string          `json:"key"`
	Execution int             `json:"execution"` // 1 for the first execution of Key
	Echo      json.RawMessage `json:"echo"`
}

// Server is the fake. Its zero value is ready to use.
type Server struct {
	mu            sync.Mutex
	executions    map[string]int
	repliesToLose int
	callsToRefuse int
	delay         time.Duration
}

// Handler returns the HTTP handler of the service protocol, with GET /v1/executions for
// tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{method}", s.call)
	mux.HandleFunc("GET /v1/executions", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Executions())
	})
	return mux
}

// Executions returns how often the call with each key was executed.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		out[k] = n
	}
	return out
}

// LoseReplies makes the service execute the next n calls and drop their responses.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	s.repliesToLose = n
	s.mu.Unlock()
}

// Refuse makes the service refuse the next n calls without executing them.
func (s *Server) Refuse(n int) {
	s.mu.Lock()
	s.callsToRefuse = n
	s.mu.Unlock()
}

// Delay makes the service wait for d before each response.
func (s *Server) Delay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// takeRefusal reports whether this call is to be refused, and counts the refusal.
func (s *Server) takeRefusal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callsToRefuse == 0 {
		return false
	}
	s.callsToRefuse--
	return true
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if !httpjson.Read(w, r, &body) {
		return
	}
	if s.takeRefusal() {
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
	lose := s.repliesToLose > 0
	if lose {
		s.repliesToLose--
	}
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, res)
}
