package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["term-cut"] = termCut }

// reportTime is how long the service works on a request under /rapo551/.
const reportTime = 3 * time.Second

// termCut stops a node as planned, and has consumers that still know its address send
// requests to it while it drains.
func termCut(rec *recorder, trouble bool) (outcome, error) {
	work := func(r *http.Request) time.Duration {
		if strings.HasPrefix(r.URL.Path, "/rapo551/") {
			return reportTime
		}
		return 25 * time.Millisecond
	}
	s, err := newSite(rec, 3, smallEngines(work), manifest(3, map[string]any{"name": "r-report", "host": host, "path_prefix": "/rapo551/", "kind": "non_idempotent",
		"timeout_ms": 10000, "slo_ms": 4000, "priority": 2, "service": "wuno96b", "max_attempts": 1}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second)
	n := s.nodes[0]
	resp, err := http.Get("http://" + n.ip + ":8143/zinnialadder/resolve?name=" + host + "&region=minho&zone=hall-a")
	if err != nil {
		return outcome{}, err
	}
	defer resp.Body.Close()
	var known struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&known); err != nil {
		return outcome{}, err
	}
	resolved := time.Now()
	keep := time.Duration(3 * known.TTL * float64(time.Second))
	rec.line("consumer: learns the addresses %v, ttl_s %v; keeps them three times as long, %v", known.Addresses, known.TTL, keep)
	if !strings.Contains(strings.Join(known.Addresses, " "), n.front()) {
		return outcome{}, fmt.Errorf("%s is not among the addresses", n.front())
	}
	time.Sleep(200 * time.Millisecond)
	term := time.Now()
	if trouble {
		rec.line("platform: SIGTERM to %s, SIGKILL to follow after grace_s, %d s", n.name, graceS)
		n.signal(syscall.SIGTERM)
		kill := time.AfterFunc(graceS*time.Second, func() {
			rec.line("platform: SIGKILL to %s", n.name)
			n.signal(syscall.SIGKILL)
		})
		defer kill.Stop()
		go func() {
			<-n.exited
			rec.line("%s: exits %.3f s after SIGTERM", n.name, time.Since(term).Seconds())
		}()
	}
	type sent struct {
		id     string
		at     time.Duration // after SIGTERM
		result answer
		ended  time.Duration
	}
	results := make(chan sent)
	delays := []time.Duration{1000 * time.Millisecond, 4200 * time.Millisecond, 4500 * time.Millisecond, 4700 * time.Millisecond}
	for i, d := range delays {
		go func() {
			id := newID()
			time.Sleep(time.Until(term.Add(d)))
			at := time.Since(term)
			rec.line("consumer %d: POST %s to %s on a new channel, %.3f s after SIGTERM, %.3f s after it learned the address, Deadline-Ms 9000", i, id, n.front(), at.Seconds(), time.Since(resolved).Seconds())
			a := s.call(n, http.MethodPost, "/rapo551/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "9000"}, []byte("report "+id), 9*time.Second)
			ended := time.Since(term)
			rec.line("consumer %d: %s ends %.3f s after SIGTERM: status %d, Server-Stamp %q, body %q, error %v", i, id, ended.Seconds(), a.status, a.header.Get("Server-Stamp"), a.body, a.err)
			results <- sent{id, at, a, ended}
		}()
	}
	lost, text := 0, ""
	for range delays {
		r := <-results
		passedOn := 0
		for _, e := range s.engines {
			e.mu.Lock()
			passedOn += e.begun[r.id]
			e.mu.Unlock()
		}
		refused := r.result.err == nil && (r.result.status == http.StatusServiceUnavailable || r.result.status == http.StatusTooManyRequests)
		complete := r.result.err == nil && r.result.status == http.StatusOK && string(r.result.body) == "answer to "+r.id
		if !refused && !complete && passedOn > 0 && r.result.err != nil && r.at > 3*time.Second && r.ended < graceS*time.Second {
			lost++
			text += fmt.Sprintf("; sent at %.2f s, passed on, and its channel ended at %.2f s (%v)", r.at.Seconds(), r.ended.Seconds(), describe(r.result.err))
		}
	}
	return outcome{broken: lost > 0, text: fmt.Sprintf("%d of %d requests were passed on to an engine and got no answer%s", lost, len(delays), text)}, nil
}

// describe names the way in which a channel ended.
func describe(err error) string {
	switch {
	case strings.Contains(err.Error(), "reset"):
		return "reset"
	case strings.Contains(err.Error(), io.EOF.Error()):
		return "closed"
	}
	return err.Error()
}
