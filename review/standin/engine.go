package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beatPeriod is how often an engine writes its entry.
const beatPeriod = 1200 * time.Millisecond

// engine is a stand-in of an upstream: a model engine if it has a model, otherwise a
// plain service.
type engine struct {
	id, service, zone, model string
	slots                    int
	events                   int           // of each text
	eventBytes               int           // of each event's data
	eventTime                time.Duration // between two events
	work                     func(r *http.Request) time.Duration

	rec   *recorder
	store *store

	mu      sync.Mutex
	address string
	version uint64
	loading bool
	orders  uint64
	fence   uint64
	running int
	seq     uint64
	stamps  int
	begun   map[string]int       // runs by request
	cut     map[string]time.Time // when the channel of a run was closed before its answer
}

func (e *engine) start(rec *recorder, s *store) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.rec, e.store, e.address, e.version = rec, s, ln.Addr().String(), 1
	e.begun, e.cut = map[string]int{}, map[string]time.Time{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /zinnialadder/report", e.report)
	mux.HandleFunc("POST /zinnialadder/order", e.order)
	mux.HandleFunc("/", e.request)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", e.id)
		if id := r.Header.Get("Request-Id"); id != "" {
			w.Header().Set("Request-Id", id)
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(ln, h) }()
	e.beat()
	go func() {
		for range time.Tick(beatPeriod) {
			e.beat()
		}
	}()
	return nil
}

func (e *engine) models() []map[string]any {
	if e.model == "" {
		return nil
	}
	return []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0, "seq": e.seq}
	if e.model != "" {
		entry["stage"], entry["models"] = "hybrid", e.models()
	}
	e.mu.Unlock()
	e.store.put("servers", e.id, entry)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "hybrid", "models": e.models(), "busy": e.loading, "seq": e.orders, "queued": 0, "running": e.running, "kv_used": 0, "kv_total": 44538, "handles": 0})
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Holder string
		Version, Fence    uint64
		ExpectRev         *uint64 `json:"expect_rev"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.version == o.Version:
		status = http.StatusOK
	case e.loading || o.ExpectRev != nil && *o.ExpectRev != e.orders:
		status = http.StatusConflict
	default:
		e.fence, e.loading = o.Fence, true
		e.orders++
		time.AfterFunc(900*time.Millisecond, func() {
			e.mu.Lock()
			e.version, e.loading = o.Version, false
			e.mu.Unlock()
			e.beat()
		})
	}
	e.rec.line("%s: order of version %d by %s, epoch number %d: %d", e.id, o.Version, o.Holder, o.Fence, status)
	w.WriteHeader(status)
}

func (e *engine) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	w.Header().Set("Engine-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	full := e.running >= e.slots || e.model != "" && e.loading
	version := e.version
	if !full {
		e.running++
		e.begun[id]++
	}
	e.mu.Unlock()
	if full {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if want := r.Header.Get("Expect-Version"); want != "" && want != strconv.FormatUint(version, 10) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.stamps++
	stamp := fmt.Sprintf("%s.%d.%s", e.id, e.stamps, id)
	e.mu.Unlock()
	w.Header().Set("Server-Stamp", stamp)
	if e.model == "" {
		e.rec.line("%s: begins %s", e.id, id)
		select {
		case <-time.After(e.work(r)):
		case <-r.Context().Done():
			e.noteCut(id)
			return
		}
		e.rec.line("%s: answers %s", e.id, id)
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.rec.line("%s: begins %s after event %d, version %d", e.id, id, after, version)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	rc := http.NewResponseController(w)
	for n := after + 1; n <= e.events; n++ {
		select {
		case <-time.After(e.eventTime):
		case <-r.Context().Done():
			e.noteCut(id)
			return
		}
		e.mu.Lock()
		now := e.version
		e.mu.Unlock()
		if now != version {
			version = now
			fmt.Fprintf(w, "weight-versions: %d\n", version)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n, e.eventBytes))
		if rc.Flush() != nil {
			e.noteCut(id)
			return
		}
	}
	e.rec.line("%s: ends %s at event %d", e.id, id, e.events)
}

// noteCut records that the channel of a run was closed before its answer was complete.
func (e *engine) noteCut(id string) {
	e.mu.Lock()
	e.cut[id] = time.Now()
	e.mu.Unlock()
	e.rec.line("%s: the channel of %s was closed before its answer", e.id, id)
}

// eventData returns the data of event n of a request's text, which does not depend on the
// engine.
func eventData(id string, n, bytes int) string {
	d := fmt.Sprintf("%s:%d", id, n)
	for len(d) < bytes {
		d += "."
	}
	return d
}
