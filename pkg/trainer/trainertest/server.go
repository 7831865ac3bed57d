// Package trainertest implements a fake trainer. It records every delivery of every sample,
// so that tests can check for duplicates and weight versions.
package trainertest

import (
	"net/http"
	"reflect"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// ReceivedSample is a sample that the fake trainer accepted.
type ReceivedSample struct {
	Sample     trainer.Sample `json:"sample"`
	Deliveries int            `json:"deliveries"`
	At         time.Time      `json:"at"` // time of the first delivery
	// Altered is set if a later delivery with the same ID had different contents.
	Altered bool `json:"altered"`
}

// Server is a fake trainer. The zero value is ready for use.
type Server struct {
	mu       sync.Mutex
	received map[string]*ReceivedSample
	dropAcks int
	newest   uint64
	delay    time.Duration
}

// Handler returns a handler of the trainer protocol, and of GET /v1/received for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/samples", s.deliver)
	mux.HandleFunc("GET /v1/received", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Received())
	})
	return mux
}

// DropAcks makes the trainer accept the next n deliveries and respond with an error, as if
// the acknowledgement had been lost.
func (s *Server) DropAcks(n int) {
	s.mu.Lock()
	s.dropAcks = n
	s.mu.Unlock()
}

// SetTargetVersion raises the trainer's target version to v. Lower values of v have no
// effect.
func (s *Server) SetTargetVersion(v uint64) {
	s.mu.Lock()
	s.newest = max(s.newest, v)
	s.mu.Unlock()
}

// Delay makes the trainer wait for d between accepting a delivery and acknowledging it.
func (s *Server) Delay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// Received returns the accepted samples, sorted by ID.
func (s *Server) Received() []ReceivedSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ReceivedSample, 0, len(s.received))
	for _, r := range s.received {
		out = append(out, *r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Sample.ID < out[j].Sample.ID })
	return out
}

func (s *Server) deliver(w http.ResponseWriter, r *http.Request) {
	var g trainer.Group
	if !httpjson.Read(w, r, &g) {
		return
	}
	ack, dropAck := s.accept(g)
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if dropAck {
		http.Error(w, "acknowledgement dropped", http.StatusGatewayTimeout)
		return
	}
	httpjson.Write(w, http.StatusOK, ack)
}

func (s *Server) accept(g trainer.Group) (trainer.Ack, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.received == nil {
		s.received = map[string]*ReceivedSample{}
	}
	ack := trainer.Ack{New: []string{}, Duplicate: []string{}}
	stale := slices.ContainsFunc(g.Samples, func(smp trainer.Sample) bool {
		return s.received[smp.ID] == nil && smp.OldestVersion()+g.MaxVersionLag < s.newest
	})
	for _, smp := range g.Samples {
		rec := s.received[smp.ID]
		switch {
		case rec != nil:
			rec.Deliveries++
			rec.Altered = rec.Altered || !reflect.DeepEqual(rec.Sample, smp)
			ack.Duplicate = append(ack.Duplicate, smp.ID)
		case stale:
			ack.Stale = append(ack.Stale, smp.ID)
		default:
			s.received[smp.ID] = &ReceivedSample{Sample: smp, Deliveries: 1, At: time.Now()}
			ack.New = append(ack.New, smp.ID)
		}
	}
	if s.dropAcks > 0 {
		s.dropAcks--
		return ack, true
	}
	return ack, false
}
