package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["route-added"] = routeAdded }

const trainModel = "daka510000"

// manifest returns a manifest of the small deployment. extra are further routes.
func manifest(version int, extra ...map[string]any) map[string]any {
	routes := []map[string]any{
		{"name": "r-lookup", "host": host, "path_prefix": "/lohu930/", "kind": "idempotent", "timeout_ms": 2000, "slo_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 2},
		{"name": "r-score", "host": host, "path_prefix": "/pufi791/", "kind": "idempotent", "timeout_ms": 2000, "slo_ms": 400, "priority": 2, "service": "wuno96b", "max_attempts": 4},
		trainRoute("r-train", "/pule252/"),
	}
	return map[string]any{"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{{"name": "huvo11a", "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 8, "kv_capacity": 44538, "kv_token_bytes": 327680, "models": []map[string]any{{"name": trainModel}}}},
			{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

func trainRoute(name, prefix string) map[string]any {
	return map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400, "due_ms": 7500, "max_age_s": 120, "priority": 1, "service": "huvo11a", "max_attempts": 3}
}

// smallEngines returns the engines of the small deployment.
func smallEngines(work func(*http.Request) time.Duration) []*engine {
	var out []*engine
	for i := range 3 {
		out = append(out, &engine{id: fmt.Sprintf("i-m%d", i), service: "huvo11a", zone: fmt.Sprintf("hall-%c", 'a'+i), model: trainModel, slots: 8, events: 24, eventBytes: 290, eventTime: 10 * time.Millisecond})
	}
	for i := range 2 {
		out = append(out, &engine{id: fmt.Sprintf("i-p%d", i), service: "wuno96b", zone: fmt.Sprintf("hall-%c", 'a'+i), slots: 6, work: work})
	}
	return out
}

// routeAdded adds a rollout route and submits a batch under it, whose owner still has the
// manifest before.
func routeAdded(rec *recorder, trouble bool) (outcome, error) {
	s, err := newSite(rec, 3, smallEngines(func(*http.Request) time.Duration { return 80 * time.Millisecond }), manifest(3))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	// A first batch submission under the route that is there from the start.
	first := newID()
	rec.line("trainer: submits %s under /pule252/ at %s", first, s.nodes[0].name)
	if a := s.call(s.nodes[0], http.MethodPost, "/pule252/"+first, map[string]string{"Request-Id": first, "Content-Type": "application/json"}, submission(first, "/pule252/", trainModel, "/pufi791/", 0, 1, 16), 5*time.Second); a.status != http.StatusAccepted {
		return outcome{}, fmt.Errorf("first batch submission: status %d, %v", a.status, a.err)
	}
	got, dead, err := s.readAll(s.nodes[0], first, 20*time.Second)
	rec.line("trainer: has read %d results of %s, %d of them dead", got, first, dead)
	if err != nil || got != 16 || dead != 0 {
		return outcome{}, fmt.Errorf("first batch submission: %d results, %d dead, %v", got, dead, err)
	}
	owner := s.store.owner(first)
	var at *node // where the second one is submitted and read
	for _, n := range s.nodes {
		if n.name != owner {
			at = n
		}
	}
	rec.line("operator's view: %s ran it", owner)
	if trouble {
		var silent atomic.Bool
		silent.Store(true)
		var channel atomic.Value // of the call that waits for changes of op
		s.store.mu.Lock()
		s.store.silent = func(n string, r *http.Request) bool {
			if n != owner || !silent.Load() {
				return false
			}
			if c, _ := channel.Load().(string); c != "" {
				return r.RemoteAddr == c
			}
			if r.URL.Path == "/zinnialadder/rows-feed" && r.URL.Query().Get("table") == "op" {
				channel.Store(r.RemoteAddr)
				rec.line("network: the channel %s of %s to the store goes silent; new ones work", r.RemoteAddr, owner)
				return true
			}
			return false
		}
		s.store.mu.Unlock()
		until := time.Now().Add(5 * time.Second)
		for channel.Load() == nil && time.Now().Before(until) {
			time.Sleep(5 * time.Millisecond)
		}
		if channel.Load() == nil {
			return outcome{}, fmt.Errorf("no channel of %s waits for changes", owner)
		}
	}
	s.store.put("op", "config", manifest(5, trainRoute("r-train2", "/nosa417/")))
	acked := time.Now()
	rec.line("operator: version 5, which adds the rollout route /nosa417/, is acknowledged")
	time.Sleep(300 * time.Millisecond)
	second := newID()
	rec.line("trainer: submits %s under /nosa417/ at %s, %v after the acknowledgement", second, at.name, time.Since(acked).Round(time.Millisecond))
	a := s.call(at, http.MethodPost, "/nosa417/"+second, map[string]string{"Request-Id": second, "Content-Type": "application/json"}, submission(second, "/nosa417/", trainModel, "/pufi791/", 1, 1, 16), 5*time.Second)
	rec.line("%s: answers %d to it", at.name, a.status)
	if a.status != http.StatusAccepted {
		return outcome{}, fmt.Errorf("second batch submission: status %d, %v", a.status, a.err)
	}
	rec.line("operator's view: %s is to run it", s.store.owner(second))
	got, dead, err = s.readAll(at, second, 20*time.Second)
	if err != nil {
		return outcome{}, err
	}
	runs := 0
	for _, e := range s.engines {
		e.mu.Lock()
		for i := range 16 {
			runs += e.begun[fmt.Sprintf("%s%04x", second[:12], i)]
		}
		e.mu.Unlock()
	}
	text := fmt.Sprintf("%d of 16 results read, %d of them dead; engines began %d runs of its items and answered 422 or 500 to none; the route is there, max_age_s is 120 and the batch submission was not ended", got, dead, runs)
	return outcome{broken: dead > 0, text: text}, nil
}

// readAll reads all results of a batch submission, and returns how many there are and how
// many of them are dead.
func (s *site) readAll(from *node, id string, within time.Duration) (got, dead int, err error) {
	until := time.Now().Add(within)
	total := 1
	for got < total && time.Now().Before(until) {
		results, n, a := s.read(from, id, got)
		if a.err != nil || a.status != http.StatusOK {
			s.rec.line("%s: answers %d, %v, to a read of %s", from.name, a.status, a.err, id)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		total = n
		for _, r := range results {
			if r.State == "dead" {
				dead++
			}
			s.rec.line("trainer: reads %s at position %d of %s: %s, versions %v, %d bytes", r.ID, got, id, r.State, r.Versions, len(r.Output))
			got++
		}
	}
	return got, dead, nil
}
