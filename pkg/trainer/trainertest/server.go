// Package trainertest is a stand-in for a trainer. It records every
// delivery of every sample so that tests can see duplicates and labels.
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

// ReceivedSample is what the stand-in holds of one sample ID.
type ReceivedSample struct {
	Sample     trainer.Sample `json:"sample"`
	Deliveries int            `json:"deliveries"`
	At         time.Time      `json:"at"` // of the first delivery
	// Altered is set if a later delivery of the ID brought another sample.
	Altered bool `json:"altered"`
}

// Server is the stand-in. Its zero value is ready to use.
type Server struct {
	mu       sync.Mutex
	received map[string]*ReceivedSample
	dropAcks int
	newest   uint64
	delay    time.Duration
}

// Handler returns the trainer protocol, with GET /v1/received for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/samples", s.deliver)
	mux.HandleFunc("GET /v1/received", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Received())
	})
	return mux
}

// DropAcks makes the stand-in learn the next n deliveries but lose the
// replies, as a lost acknowledgement looks.
func (s *Server) DropAcks(n int) {
	s.mu.Lock()
	s.dropAcks = n
	s.mu.Unlock()
}

// SetTargetVersion tells the stand-in that it has named version v.
func (s *Server) SetTargetVersion(v uint64) {
	s.mu.Lock()
	s.newest = max(s.newest, v)
	s.mu.Unlock()
}

// Delay makes the stand-in wait for d between learning a delivery and its
// acknowledgement.
func (s *Server) Delay(d time.Duration) {
	s.mu.Lock()
	s.delay = d
	s.mu.Unlock()
}

// Received returns every sample held, by ID.
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
	ack, lose := s.learn(g)
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if lose {
		http.Error(w, "ack lost", http.StatusGatewayTimeout)
		return
	}
	httpjson.Write(w, http.StatusOK, ack)
}

func (s *Server) learn(g trainer.Group) (trainer.Ack, bool) {
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
