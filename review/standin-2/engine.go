package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a model engine or a plain service.
type engine struct {
	id, service, zone string
	slots             int
	model             string // empty for a plain service
	// events is the number of events of a text, interval the time of each, and eventBytes
	// the size of its data.
	events     int
	interval   time.Duration
	eventBytes int
	work       time.Duration // time of a plain request

	site    *site
	server  *http.Server
	address string

	onRun func(e *engine, id string)                // called when a request begins to run; nil for none
	onEnd func(e *engine, id string, complete bool) // called when a run ends; nil for none

	mu       sync.Mutex
	version  int // of the model's weights; set before the engine is added
	draining bool
	gone     bool
	loading  bool // an order is being carried out
	fence    uint64
	beats    int
	running  map[string]int // requests that run, by id
	total    int            // number of them
	runs     int
	orders   uint64
	refused  map[string]int // requests answered with 421, by id
}

// loadTime is how long a change of version takes.
const loadTime = 900 * time.Millisecond

// register writes the engine's entry, as its heartbeat does.
func (e *engine) register() {
	e.mu.Lock()
	if e.gone {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0, "seq": e.beats}
	if e.model != "" {
		entry["stage"], entry["models"] = "hybrid", []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
	}
	if e.draining {
		entry["state"] = "draining"
	}
	e.mu.Unlock()
	e.site.store.Put("servers", e.id, entry)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", e.id)
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/zinnialadder/report":
		e.report(w)
		return
	case "/zinnialadder/order":
		e.order(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", e.total, e.slots)
	w.Header().Set("Engine-Load", load)
	refusal := 0
	switch want := r.Header.Get("Expect-Version"); {
	case want != "" && want != strconv.Itoa(e.version):
		refusal = http.StatusMisdirectedRequest
	case e.total >= e.slots, e.loading, id == "":
		refusal = http.StatusServiceUnavailable
	}
	if refusal != 0 {
		if refusal == http.StatusMisdirectedRequest {
			if e.refused == nil {
				e.refused = map[string]int{}
			}
			e.refused[id]++
		}
		e.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(refusal)
		return
	}
	if e.running == nil {
		e.running = map[string]int{}
	}
	e.running[id]++
	e.total++
	e.runs++
	run := e.runs
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.running[id]--; e.running[id] == 0 {
			delete(e.running, id)
		}
		e.total--
		e.mu.Unlock()
	}()
	if e.onRun != nil {
		e.onRun(e, id)
	}
	w.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d.%s", e.id, run, id))
	if e.model != "" {
		complete := e.stream(w, r, id, run)
		if e.onEnd != nil {
			e.onEnd(e, id, complete)
		}
		return
	}
	if !wait(r, e.work) {
		return
	}
	fmt.Fprintf(w, "answer of %s to %s, %d bytes, run %d", e.id, id, len(body), run)
}

// wait waits and reports false if the caller has closed the channel.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// stream sends the events of a text and reports whether all were sent. The data of each names
// the run that made it.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string, run int) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(e.currentVersion()))
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	for n := after + 1; n <= e.events; n++ {
		if !wait(r, e.interval) {
			return false
		}
		data := fmt.Sprintf("%s event %d of run %d at %s ", id, n, run, e.id)
		if pad := e.eventBytes - len(data); pad > 0 {
			data += strings.Repeat("x", pad)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		if control.Flush() != nil {
			return false
		}
	}
	return true
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []map[string]any{}
	if e.model != "" {
		models = append(models, map[string]any{"name": e.model, "version": e.version, "adapters": []string{}})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "hybrid", "models": models, "busy": e.loading, "seq": e.orders, "queued": 0, "running": e.total, "kv_used": 0, "kv_total": 90000, "handles": 0})
}

func (e *engine) currentVersion() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// order takes an order to load a version. Running requests finish first, as in mode "wait",
// which is the only one that the cases with versions lead to.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model, Mode, Holder string
		Version                 int
		Fence                   uint64
		ExpectRev               *uint64 `json:"expect_rev"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Op != "version" || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.loading || o.ExpectRev != nil && *o.ExpectRev != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	case o.Version == e.version:
		w.WriteHeader(http.StatusOK)
		return
	}
	e.fence, e.loading = o.Fence, true
	e.orders++
	e.site.record("%s gets the order to load version %d, mode %s, from %s", e.id, o.Version, o.Mode, o.Holder)
	go e.load(o.Version)
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) load(version int) {
	for e.count() > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	e.version, e.loading = version, false
	e.mu.Unlock()
	e.site.record("%s holds version %d", e.id, version)
	e.register()
}

func (e *engine) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

// misdirected returns how often a request was answered with 421 because the engine holds
// another version than it expects.
func (e *engine) misdirected(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused[id]
}

// count returns how many requests run.
func (e *engine) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// leave empties the engine and takes it away, as planned: it reports that it drains, serves
// on for drain_ms and a little longer, and exits.
func (e *engine) leave() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.register()
	e.site.record("%s drains", e.id)
	time.Sleep(drainTime + 300*time.Millisecond)
	e.mu.Lock()
	e.gone = true
	ids := len(e.running)
	e.mu.Unlock()
	e.site.store.Remove("servers", e.id)
	e.server.Close()
	e.site.record("%s exits with %d requests", e.id, ids)
}
