// Package platformtest is a stand-in for the platform's transactional table
// and object store, for tests and for running zinnialadder on one machine.
// It keeps everything in memory and can be told to fail as the real
// platform does: down, slow, or losing a reply after the write took effect.
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

// Faults are the failures the stand-in is told to show.
type Faults struct {
	Down          bool `json:"down"`            // answer 503 to everything
	DelayMillis   int  `json:"delay_millis"`    // wait before each answer
	LoseReplies   int  `json:"lose_replies"`    // commit, then drop this many replies
	LoseNextReads int  `json:"lose_next_reads"` // drop this many read replies
	// LosePrefix, if set, limits LoseReplies to commits that write a key
	// with this prefix.
	LosePrefix string `json:"lose_prefix"`
	// StaleReads answers reads of rows from the rows as Remember found them.
	StaleReads bool `json:"old_reads"`
}

// Stats counts the calls the stand-in has served.
type Stats struct {
	Reads   int64 `json:"reads"`
	Commits int64 `json:"commits"`
	Lost    int64 `json:"lost"`
	// BytesOut and BytesIn count answer and request bodies.
	BytesOut int64 `json:"bytes_out"`
	BytesIn  int64 `json:"bytes_in"`
}

// Server is the stand-in. Its zero value is not usable; call New.
type Server struct {
	mu        sync.Mutex
	seq       uint64
	rows      map[string]platform.Row
	objects   map[string][]byte
	faults    Faults
	stats     Stats
	instances []listed
	old       map[string]platform.Row // as Remember found them
}

// New returns an empty Server.
func New() *Server {
	return &Server{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// Handler returns the HTTP handler of the platform protocol, with
// POST /v1/faults (a Faults body) and GET /v1/stats for tests.
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
	return s.counted(mux)
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

// Put writes v as JSON under key, whatever is there, as an outside writer
// whose calls are not counted.
func (s *Server) Put(key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the caller's value can't be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.rows[key] = platform.Row{Key: key, Version: s.seq, Value: b}
}

// Objects returns how many objects are stored.
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

// gate applies Down and DelayMillis; it reports false if the request was
// answered with 503.
func (s *Server) gate(w http.ResponseWriter) bool {
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

// loseReply reports whether this reply is to be dropped, taking one from
// the counter n.
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

// targeted reports whether txn is one that LosePrefix aims at.
func (s *Server) targeted(txn platform.Txn) bool {
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

// drop answers as a lost reply looks to the client: the connection closes
// with no answer.
func drop(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		conn.Close()
		return
	}
	http.Error(w, "reply lost", http.StatusGatewayTimeout)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	if !s.gate(w) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	row, ok := s.readable()[r.PathValue("key")]
	s.mu.Unlock()
	if s.loseReply(&s.faults.LoseNextReads) {
		drop(w)
		return
	}
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	httpjson.Write(w, http.StatusOK, row)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	if !s.gate(w) {
		return
	}
	s.mu.Lock()
	s.stats.Reads++
	rows := scan(s.readable(), r.URL.Query().Get("prefix"))
	if limit, err := strconv.Atoi(r.URL.Query().Get("limit")); err == nil && limit < len(rows) {
		rows = rows[:limit]
	}
	s.mu.Unlock()
	if s.loseReply(&s.faults.LoseNextReads) {
		drop(w)
		return
	}
	httpjson.Write(w, http.StatusOK, platform.ScanResult{Rows: rows})
}

// SnapshotRows keeps the rows as they are now for OldReads to answer from.
func (s *Server) SnapshotRows() {
	s.mu.Lock()
	s.old = maps.Clone(s.rows)
	s.mu.Unlock()
}

// readable returns the rows that reads see now.
func (s *Server) readable() map[string]platform.Row {
	if s.faults.StaleReads {
		return s.old
	}
	return s.rows
}

// scan returns the rows of table whose key starts with prefix, by key.
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
	if !s.gate(w) {
		return
	}
	var txn platform.Txn
	if !httpjson.Read(w, r, &txn) {
		return
	}
	rows, conflict := s.apply(txn)
	if s.targeted(txn) && s.loseReply(&s.faults.LoseReplies) {
		drop(w)
		return
	}
	if conflict != nil {
		httpjson.Write(w, http.StatusConflict, conflict)
		return
	}
	httpjson.Write(w, http.StatusOK, platform.TxnResult{Rows: rows})
}

// apply checks every condition of txn, then writes all of its ops under one
// new sequence number.
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
	if !s.gate(w) {
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
	if !s.gate(w) {
		return
	}
	s.mu.Lock()
	delete(s.objects, r.PathValue("name"))
	s.stats.Commits++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.gate(w) {
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
