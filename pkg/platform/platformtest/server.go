// Package platformtest is a fake of the platform's transactional table and object
// store, for tests and for running zinnialadder on one machine. It keeps everything in
// memory and can simulate faults of the real platform: unavailable, slow, or losing a
// response after the write was applied.
package platformtest

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/httpjson"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Faults are the faults that the fake simulates.
type Faults struct {
	Down          bool `json:"down"`            // respond 503 to all calls
	DelayMillis   int  `json:"delay_millis"`    // delay each response, in milliseconds
	LoseReplies   int  `json:"lose_replies"`    // commit, then drop the response, for this many commits
	LoseNextReads int  `json:"lose_next_reads"` // drop the responses of this many reads
	// LosePrefix, if set, limits LoseReplies to commits that write a key with this
	// prefix.
	LosePrefix string `json:"lose_prefix"`
	// StaleReads serves reads of rows from the copy that SnapshotRows made.
	StaleReads bool `json:"old_reads"`
}

// Stats counts the calls that the fake has served.
type Stats struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Lost    int64 `json:"lost"`
	// BytesOut and BytesIn count the bytes of response and request bodies.
	BytesOut int64 `json:"bytes_out"`
	BytesIn  int64 `json:"bytes_in"`
}

// Server is the fake. Its zero value is not usable; call New.
type Server struct {
	mu        sync.Mutex
	seq       uint64
	rows      map[string]platform.Row
	objects   map[string][]byte
	faults    Faults
	stats     Stats
	instances []instanceChange
	snapshot  map[string]platform.Row // made by SnapshotRows
}

// New returns an empty Server.
func New() *Server {
	return &Server{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// Handler returns the HTTP handler of the platform protocol, with POST /v1/faults (a
// Faults body) and GET /v1/stats for tests.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rows/{key...}", s.get)
	mux.HandleFunc("GET /v1/rows", s.scan)
	mux.HandleFunc("POST /v1/commit", s.commit)
	mux.HandleFunc("PUT /v1/objects/{name...}", s.putObject)
	mux.HandleFunc("GET /v1/objects/{name...}", s.getObject)
	mux.HandleFunc("DELETE /v1/objects/{name...}", s.deleteObject)
	mux.HandleFunc("GET /v1/instances", s.listInstances)
	mux.HandleFunc("POST /v1/faults", s.setFaults)
	mux.HandleFunc("GET /v1/stats", s.getStats)
	return s.countBytes(mux)
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Put writes v as JSON under key unconditionally, as a writer outside of the system
// would. The write is not counted.
func (s *Server) Put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // v cannot be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.rows[key] = platform.Row{Key: key, Version: s.seq, Value: b}
}

// Objects returns the number of stored objects.
func (s *Server) Objects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

// Rows returns a copy of every row whose key starts with prefix, in key order.
func (s *Server) Rows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return scan(s.rows, prefix)
}

// applyFaults applies Down and DelayMillis. It reports false if it has responded with
// 503.
func (s *Server) applyFaults(w http.ResponseWriter) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.DelayMillis > 0 {
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if f.Down {
		http.Error(w, "platform down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// loseReply reports whether the response is to be dropped, decrementing the counter n
// if so.
func (s *Server) loseReply(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	s.stats.Lost++
	return true
}

// matchesLosePrefix reports whether txn has an op on a key with LosePrefix.
func (s *Server) matchesLosePrefix(txn platform.Txn) bool {
	s.mu.Lock()
	prefix := s.faults.LosePrefix
	s.mu.Unlock()
	for _, op := range txn.Ops {
		if strings.HasPrefix(op.Key, prefix) {
			return true
		}
	}
	return false
}

// dropReply closes the connection without a response, as a client sees a lost one.
func dropReply(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
		return
	}
	http.Error(w, "reply lost", http.StatusGatewayTimeout)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	row, ok := s.readableRows()[r.PathValue("key")]
	s.mu.Unlock()
	if s.loseReply(&s.faults.LoseNextReads) {
		dropReply(w)
		return
	}
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	httpjson.Write(w, http.StatusOK, row)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	rows := scan(s.readableRows(), r.URL.Query().Get("prefix"))
	if limit, err := strconv.Atoi(r.URL.Query().Get("limit")); err == nil && limit < len(rows) {
		rows = rows[:limit]
	}
	s.mu.Unlock()
	if s.loseReply(&s.faults.LoseNextReads) {
		dropReply(w)
		return
	}
	httpjson.Write(w, http.StatusOK, platform.ScanResult{Rows: rows})
}

// SnapshotRows copies the current rows for StaleReads.
func (s *Server) SnapshotRows() {
	s.mu.Lock()
	s.snapshot = maps.Clone(s.rows)
	s.mu.Unlock()
}

// readableRows returns the rows that reads return now. The caller must hold s.mu.
func (s *Server) readableRows() map[string]platform.Row {
	if s.faults.StaleReads {
		return s.snapshot
	}
	return s.rows
}

// scan returns the rows of table whose key starts with prefix, in key order.
func scan(table map[string]platform.Row, prefix string) []platform.Row {
	rows := []platform.Row{}
	for k, row := range table {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	var txn platform.Txn
	if !httpjson.Read(w, r, &txn) {
		return
	}
	rows, conflict := s.apply(txn)
	if s.matchesLosePrefix(txn) && s.loseReply(&s.faults.LoseReplies) {
		dropReply(w)
		return
	}
	if conflict != nil {
		httpjson.Write(w, http.StatusConflict, conflict)
		return
	}
	httpjson.Write(w, http.StatusOK, platform.TxnResult{Rows: rows})
}

// apply checks every condition of txn, then applies all of its ops with one new
// sequence number.
func (s *Server) apply(txn platform.Txn) ([]platform.Row, *platform.Conflict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Ops {
		cur := s.rows[op.Key]
		if cur.Version != op.ExpectVersion {
			return nil, &platform.Conflict{Key: op.Key, Current: cur}
		}
	}
	s.seq++
	s.stats.Commits++
	out := make([]platform.Row, 0, len(txn.Ops))
	for _, op := range txn.Ops {
		if op.CheckOnly {
			out = append(out, s.rows[op.Key])
			continue
		}
		if op.Delete {
			delete(s.rows, op.Key)
			out = append(out, platform.Row{Key: op.Key})
			continue
		}
		row := platform.Row{Key: op.Key, Version: s.seq, Value: bytes.Clone(op.Value)}
		s.rows[op.Key] = row
		out = append(out, row)
	}
	return out, nil
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	var data []byte
	if !httpjson.Read(w, r, &data) {
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = data
	s.stats.Commits++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	s.mu.Lock()
	delete(s.objects, r.PathValue("name"))
	s.stats.Commits++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w) {
		return
	}
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("name")]
	s.stats.Reads++
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	httpjson.Write(w, http.StatusOK, data)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !httpjson.Read(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, s.Stats())
}
