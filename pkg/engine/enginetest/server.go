// Package enginetest is a fake of a model engine. It generates tokens at a set rate in
// a fixed number of batch slots, marks each chunk with the weight version loaded at
// that moment, carries out load orders (checking fencing tokens if configured), and
// records which versions served each request, so that tests can check the labels of
// samples against it.
package enginetest

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
)

// Config configures a Server.
type Config struct {
	Slots         int           // streams generated at once; others are queued
	TokenInterval time.Duration // time between tokens of one stream
	WeightVersion uint64        // version loaded at start
	ChecksFencing bool          // refuse load orders with a stale fencing token
	CacheEntries  int           // prompt prefixes that the prefix cache holds; default 64
	PrefillDelay  time.Duration // delay before the first token on a cache miss
	// WeightStore is the store that versions are fetched from; nil loads at once.
	// During a load streams stand still and new ones wait.
	WeightStore *WeightStore
}

// cachePrefixBytes is the length of the prompt prefix that the cache uses as a key, in
// bytes.
const cachePrefixBytes = 64

// Faults are the faults that the fake simulates.
type Faults struct {
	CutAfter   int  `json:"cut_after"`   // close streams after this many tokens; 0 for never
	Silent     bool `json:"silent"`      // accept generations and report reads, then neither respond nor close
	RefuseLoad bool `json:"refuse_load"` // fail load orders partway
	// DuplicateChunks sends each chunk twice. ForeignChunk sends, before the third
	// chunk of each stream, a chunk of another request.
	DuplicateChunks bool `json:"duplicate_chunks"`
	ForeignChunk    bool `json:"foreign_chunk"`
	// DropChunk omits the third chunk of each stream.
	DropChunk bool `json:"drop_chunk"`
	Leaving   bool `json:"leaving"` // report that the engine is leaving
	// SlowFactor multiplies the time between tokens; 0 for no change.
	SlowFactor int `json:"slow_factor"`
	// StaleReports makes all load reports repeat the one at the time it was set, like
	// reports that lag.
	StaleReports bool `json:"stale_reports"`
}

// Server is the fake. Its zero value is not usable; call New.
type Server struct {
	cfg   Config
	slots *slots
	cache *prefixCache

	mu                sync.Mutex
	version           uint64
	fencing           uint64
	active            int
	queued            int
	faults            Faults
	versionsByRequest map[string][]uint64 // request ID → versions that produced its tokens
	openAttempts      map[string]*attempt // request ID → its newest attempt in progress
	requests          int64
	peakRequests      int                // most streams active and queued at once
	staleReport       *engine.LoadReport // report served while StaleReports is set
	loadDone          chan struct{}      // closed when the load in progress ends; nil if there is none
	loads             int                // load orders carried out
}

// New returns a Server configured by cfg.
func New(cfg Config) *Server {
	if cfg.Slots <= 0 {
		cfg.Slots = 8
	}
	if cfg.CacheEntries <= 0 {
		cfg.CacheEntries = 64
	}
	return &Server{
		cfg:               cfg,
		slots:             newSlots(cfg.Slots),
		cache:             newPrefixCache(cfg.CacheEntries),
		version:           cfg.WeightVersion,
		versionsByRequest: map[string][]uint64{},
		openAttempts:      map[string]*attempt{},
	}
}

// Handler returns the HTTP handler of the engine protocol, with POST /v1/faults and GET
// /v1/records/{id} for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", s.generate)
	mux.HandleFunc("POST /v1/load", s.load)
	mux.HandleFunc("GET /v1/load", s.report)
	mux.HandleFunc("GET /v1/requests/{id}", s.status)
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	mux.HandleFunc("GET /v1/records/{id}", s.record)
	return mux
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.staleReport = nil
	if f.StaleReports {
		rep := s.reportLocked()
		s.staleReport = &rep
	}
}

// Versions returns the weight versions that produced tokens for requestID, in order and
// without duplicates.
func (s *Server) Versions(requestID string) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.versionsByRequest[requestID]...)
}

// Requests returns the number of generate requests received.
func (s *Server) Requests() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// PeakRequests returns the most requests held at once.
func (s *Server) PeakRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakRequests
}

// CacheCounts returns how many generations found the prefix of their prompt in the
// cache, and how many did not.
func (s *Server) CacheCounts() (hits, misses int64) { return s.cache.counts() }

// Version returns the weight version loaded now.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	s.mu.Lock()
	s.requests++
	s.queued++
	s.peakRequests = max(s.peakRequests, s.active+s.queued)
	f := s.faults
	s.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	a := s.attemptStarted(req.RequestID)
	defer s.attemptEnded(req.RequestID, a)
	ready, release := s.slots.acquire(int(req.Priority))
	defer release()
	select {
	case <-ready:
	case <-r.Context().Done():
		s.dequeue(false)
		return
	}
	s.dequeue(true)
	s.attemptRunning(a)
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	if !s.cache.lookup(prefix(req.Prompt)) && s.cfg.PrefillDelay > 0 {
		select {
		case <-time.After(s.cfg.PrefillDelay):
		case <-r.Context().Done():
			return
		}
	}
	s.stream(w, r, req)
}

func (s *Server) dequeue(started bool) {
	s.mu.Lock()
	s.queued--
	if started {
		s.active++
	}
	s.mu.Unlock()
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req engine.GenerateRequest) {
	s.mu.Lock()
	load := engine.Load{Active: s.active, Queued: s.queued}
	s.mu.Unlock()
	w.Header().Set(engine.LoadHeader, load.String())
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := w.(http.Flusher)
	enc := json.NewEncoder(w)
	ticker := time.NewTicker(max(s.cfg.TokenInterval, time.Microsecond))
	defer ticker.Stop()
	for i := 0; i < req.MaxTokens; i++ {
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
		if !s.waitForPace(r.Context()) {
			return
		}
		v, cut := s.tokenVersion(req.RequestID, i)
		if cut {
			panic(http.ErrAbortHandler) // closes the connection mid-stream
		}
		s.write(enc, engine.Chunk{RequestID: req.RequestID, Index: i, Text: Token(req.Prompt, i), WeightVersion: v})
		if flusher != nil {
			flusher.Flush()
		}
	}
	_ = enc.Encode(engine.Chunk{RequestID: req.RequestID, Index: req.MaxTokens, Done: true, WeightVersion: s.Version()})
}

// waitForPace waits while a load is in progress, and for the extra time of a slow
// engine. It reports false once ctx has ended.
func (s *Server) waitForPace(ctx context.Context) bool {
	s.mu.Lock()
	loadDone, slow := s.loadDone, s.faults.SlowFactor
	s.mu.Unlock()
	if loadDone != nil {
		select {
		case <-loadDone:
		case <-ctx.Done():
			return false
		}
	}
	if slow > 1 {
		select {
		case <-time.After(time.Duration(slow-1) * s.cfg.TokenInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// faultyChunkIndex is the index of the chunk that ForeignChunk and DropChunk apply to.
const faultyChunkIndex = 2

// write sends c, subject to the faults in force.
func (s *Server) write(enc *json.Encoder, c engine.Chunk) {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.ForeignChunk && c.Index == faultyChunkIndex {
		foreign := c
		foreign.RequestID, foreign.Text = "another-request", "another member's balance "
		_ = enc.Encode(foreign)
	}
	if f.DropChunk && c.Index == faultyChunkIndex {
		return
	}
	_ = enc.Encode(c)
	if f.DuplicateChunks {
		_ = enc.Encode(c)
	}
}

// tokenVersion returns the current version, recording that it produced token i of
// request id, and reports whether the stream is to be closed instead.
func (s *Server) tokenVersion(id string, i int) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.CutAfter > 0 && i >= s.faults.CutAfter {
		return 0, true
	}
	rec := s.versionsByRequest[id]
	if len(rec) == 0 || rec[len(rec)-1] != s.version {
		s.versionsByRequest[id] = append(rec, s.version)
	}
	return s.version, false
}

// Token returns the fake token i after prompt. It depends on both, so that responses to
// different requests differ and a test can tell which request a token belongs to.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", prompt, i)
	return fmt.Sprintf("t%08x ", h.Sum32())
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.faults.Silent {
		s.mu.Unlock()
		<-r.Context().Done()
		return
	}
	rep := s.reportLocked()
	if s.staleReport != nil {
		rep = *s.staleReport
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, rep)
}

func (s *Server) reportLocked() engine.LoadReport {
	hits, misses := s.cache.counts()
	return engine.LoadReport{Active: s.active, Queued: s.queued, Loading: s.loadDone != nil, Leaving: s.faults.Leaving, WeightVersion: s.version,
		ChecksFencing: s.cfg.ChecksFencing, CacheHits: hits, CacheMisses: misses, At: time.Now()}
}

func prefix(prompt string) string {
	if len(prompt) > cachePrefixBytes {
		return prompt[:cachePrefixBytes]
	}
	return prompt
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.Read(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Versions(r.PathValue("id")))
}
