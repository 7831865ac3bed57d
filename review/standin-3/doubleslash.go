package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// plainEngine is an engine of the plain service. Its answer names the path that it was asked for.
type plainEngine struct {
	id      string
	address string

	mu   sync.Mutex
	runs []plainRun
}

// plainRun is a request that a plainEngine ran.
type plainRun struct{ id, method, host, path, body string }

func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", e.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	path := r.URL.RequestURI()
	e.mu.Lock()
	e.runs = append(e.runs, plainRun{id, r.Method, r.Host, path, string(body)})
	e.mu.Unlock()
	w.Header().Set("Server-Stamp", e.id+"."+id)
	fmt.Fprintf(w, "the balance at %s", path)
}

// doubleSlash plays a consumer whose paths begin with two slashes, on a route that takes every
// path of its host. The rule is UNASKED: an engine runs a request with its path changed. With
// TROUBLE=0 the paths begin with one slash.
func doubleSlash(r *run) int {
	r.serveUpstreams(0, 0, 0, 0)
	var engines []*plainEngine
	for i := range 3 {
		e := &plainEngine{id: fmt.Sprintf("i-p%d", i)}
		srv := httptest.NewServer(e)
		r.Cleanup(srv.Close)
		e.address = strings.TrimPrefix(srv.URL, "http://")
		r.store.Put("servers", e.id, map[string]any{"service": plainPool, "address": e.address, "zone": "z1", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1})
		engines = append(engines, e)
	}
	r.configure(1, map[string]any{"name": "all", "host": host, "path_prefix": "/", "kind": "idempotent", "timeout_ms": 2000, "slo_ms": 150, "service": plainPool, "max_attempts": 2})
	if err := r.startNodes(3); err != nil {
		r.note("%v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second) // contact_ms: the machines are in touch
	changed, ran := 0, 0
	for i := range 12 {
		n := r.nodes[i%len(r.nodes)]
		id, path := fmt.Sprintf("request-%d", i), fmt.Sprintf("/members/%d/balance", i)
		if r.trouble {
			path = "/" + path
		}
		status, body, err := rawPost(n.front, path, id)
		r.note("consumer: POST %s at %s, id %s, answered %d %q, %v", path, n.name, id, status, body, err)
		for _, e := range engines {
			e.mu.Lock()
			for _, run := range e.runs {
				if run.id != id {
					continue
				}
				ran++
				r.note("%s runs %s: %s %s, host %s, body %q", e.id, id, run.method, run.path, run.host, run.body)
				if run.path != path {
					changed++
				}
			}
			e.mu.Unlock()
		}
	}
	r.note("%d of %d runs with another path than the consumer's", changed, ran)
	switch {
	case changed > 0:
		return broken
	case ran == 0 && !r.trouble:
		return couldNot
	}
	return held
}

// rawPost sends a request with the given path as it is, on a channel of its own.
func rawPost(address, path, id string) (int, []byte, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, nil, err
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: 5\r\nConnection: close\r\n\r\nquery", path, host, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}
