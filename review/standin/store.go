package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the store's answers, as the sheets give them.
const (
	callTime   = 4 * time.Millisecond
	txTime     = 5 * time.Millisecond
	objectTime = 25 * time.Millisecond
)

type rowKey struct{ table, part, key string }

type storedRow struct {
	rowKey
	value   []byte
	ver     uint64
	deleted bool
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storedRow) wire() wireRow {
	return wireRow{Table: r.table, Part: r.part, Key: r.key, Value: r.value, Ver: r.ver, Deleted: r.deleted}
}

// store is a stand-in of the platform's metadata store. Each node reaches it at an address
// of its own, so that a disruption can concern one node.
type store struct {
	rec     *recorder
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]storedRow
	history []storedRow
	objects map[string][]byte
	changed chan struct{}
	begun   time.Time
	// silent reports whether the channel of a call goes silent: the call is carried out,
	// and nothing more arrives on its channel.
	silent func(node string, r *http.Request) bool
	// lateObject returns how much later the store carries out the write of an object, whose
	// answer is lost then; 0 for at once and with an answer.
	lateObject func(node, name string) time.Duration
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, rows: map[rowKey]storedRow{}, objects: map[string][]byte{}, changed: make(chan struct{}), begun: time.Now(),
		silent: func(string, *http.Request) bool { return false }, lateObject: func(string, string) time.Duration { return 0 }}
}

// serve serves the store for one node at address, an IP:port, whose port may be 0.
func (s *store) serve(node, address string) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /zinnialadder/rows-tx", s.tx)
	mux.HandleFunc("GET /zinnialadder/rows-get", s.get)
	mux.HandleFunc("GET /zinnialadder/rows-parts", s.parts)
	mux.HandleFunc("GET /zinnialadder/rows-feed", s.feed)
	mux.HandleFunc("PUT /zinnialadder/blob-put/{id}", func(w http.ResponseWriter, r *http.Request) { s.putObject(w, r, node) })
	mux.HandleFunc("GET /zinnialadder/blob-get/{id}", s.getObject)
	mux.HandleFunc("DELETE /zinnialadder/blob-drop/{id}", s.dropObject)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(callTime)
		if s.silent(node, r) {
			mux.ServeHTTP(discard{}, r)
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(&silencer{ResponseWriter: w, s: s, node: node, r: r}, r)
	})
	go func() { _ = http.Serve(ln, h) }()
	return ln.Addr().String(), nil
}

// discard drops a response.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// silencer drops the response of a call whose channel has gone silent while the store held
// the call.
type silencer struct {
	http.ResponseWriter
	s      *store
	node   string
	r      *http.Request
	silent bool
}

func (w *silencer) WriteHeader(status int) {
	if w.s.silent(w.node, w.r) {
		w.silent = true
		<-w.r.Context().Done()
		return
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *silencer) Write(p []byte) (int, error) {
	if w.silent {
		return len(p), nil
	}
	return w.ResponseWriter.Write(p)
}

func (s *store) nowMs() int64 { return time.Since(s.begun).Milliseconds() }

func (s *store) respond(w http.ResponseWriter, status int, rows []wireRow, more bool, ver uint64) {
	if rows == nil {
		rows = []wireRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": more, "ver": ver, "now_ms": s.nowMs()})
}

// set stores a row. s.mu must be held.
func (s *store) set(r storedRow) {
	if r.deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
}

// notify wakes the calls that wait for changes. s.mu must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row without a condition, as the operator, trainers and engines do.
func (s *store) put(table, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(storedRow{rowKey: rowKey{table, "", key}, value: b, ver: s.ver})
	s.notify()
}

// find returns the value of a table's row with the given key, in any part.
func (s *store) find(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table && k.key == key {
			return r.value
		}
	}
	return nil
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var t struct {
		ExpectRev []wireRow `json:"expect_rev"`
		Writes    []wireRow `json:"writes"`
		Remove    []wireRow `json:"remove"`
	}
	if err != nil || len(body) > 1<<20 || json.Unmarshal(body, &t) != nil || len(t.ExpectRev)+len(t.Writes)+len(t.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	var current []wireRow
	matched := true
	for _, e := range t.ExpectRev {
		cur := s.rows[rowKey{e.Table, e.Part, e.Key}]
		matched = matched && cur.ver == e.Ver
		if cur.ver != 0 {
			current = append(current, cur.wire())
		}
	}
	if !matched {
		ver := s.ver
		s.mu.Unlock()
		s.respond(w, http.StatusPreconditionFailed, current, false, ver)
		return
	}
	s.ver++
	for _, x := range t.Writes {
		s.set(storedRow{rowKey: rowKey{x.Table, x.Part, x.Key}, value: x.Value, ver: s.ver})
	}
	for _, x := range t.Remove {
		s.set(storedRow{rowKey: rowKey{x.Table, x.Part, x.Key}, ver: s.ver, deleted: true})
	}
	s.notify()
	ver := s.ver
	s.mu.Unlock()
	s.respond(w, http.StatusOK, nil, false, ver)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var rows []wireRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row.wire())
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	n, size := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value)*4/3 < 1<<20) {
		size += len(rows[n].Value) * 4 / 3
		n++
	}
	s.respond(w, http.StatusOK, rows[:n], n < len(rows), ver)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	seen := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			seen[k.part] = true
		}
	}
	s.mu.Unlock()
	out := []string{}
	for p := range seen {
		out = append(out, p)
	}
	sort.Strings(out)
	more := len(out) > 1000
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": out[:min(len(out), 1000)], "has_more": more, "now_ms": s.nowMs()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []wireRow
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].ver > after })
		for _, h := range s.history[i:] {
			if h.table == q.Get("table") {
				rows = append(rows, h.wire())
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.respond(w, http.StatusOK, nil, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) putObject(w http.ResponseWriter, r *http.Request, node string) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.PathValue("id")
	if len(b) > 8<<20 {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	write := func(how string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.objects[name]; ok && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.objects[name] = b
		s.rec.line("store: object %s of %d bytes written for %s%s", name, len(b), node, how)
	}
	if late := s.lateObject(node, name); late > 0 {
		s.rec.line("store: object %s of %d bytes asked for by %s; no answer, to be done %v later", name, len(b), node, late)
		time.AfterFunc(late, func() {
			w = discard{}
			write(", late")
		})
		<-r.Context().Done()
		return
	}
	time.Sleep(objectTime)
	write("")
}

func (s *store) getObject(w http.ResponseWriter, r *http.Request) {
	time.Sleep(objectTime)
	s.mu.Lock()
	b, ok := s.objects[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
}

func (s *store) dropObject(w http.ResponseWriter, r *http.Request) {
	time.Sleep(objectTime)
	s.mu.Lock()
	delete(s.objects, r.PathValue("id"))
	s.mu.Unlock()
}

// owner returns the name of the node that owns a batch submission, "" if it has none.
func (s *store) owner(submission string) string {
	var head struct{ Owner string }
	_ = json.Unmarshal(s.find("submissions", submission), &head)
	name, _, _ := strings.Cut(head.Owner, "#")
	return name
}
