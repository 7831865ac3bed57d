package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["term-hup"] = termHup }

// termHup tells a node that drains that its settings file has changed.
func termHup(rec *recorder, trouble bool) (outcome, error) {
	const work, sentAt, hupAt = 3900 * time.Millisecond, 2900 * time.Millisecond, 6300 * time.Millisecond // after SIGTERM
	s, err := newSite(rec, 3, smallEngines(func(*http.Request) time.Duration { return work }), manifest(3, map[string]any{"name": "r-report", "host": host, "path_prefix": "/rapo551/", "kind": "non_idempotent",
		"timeout_ms": 10000, "slo_ms": 4000, "priority": 2, "service": "wuno96b", "max_attempts": 1}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	n := s.nodes[0]
	rec.line("platform: SIGTERM to %s", n.name)
	term := time.Now()
	n.signal(syscall.SIGTERM)
	answered := make(chan answer)
	go func() {
		time.Sleep(time.Until(term.Add(sentAt)))
		id := newID()
		rec.line("consumer: POST %s to %s, Deadline-Ms 9000", id, n.front())
		answered <- s.call(n, http.MethodPost, "/rapo551/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "9000"}, []byte("report"), 9*time.Second)
	}()
	time.Sleep(time.Until(term.Add(hupAt)))
	if trouble {
		rec.line("platform: SIGHUP to %s", n.name)
		n.signal(syscall.SIGHUP)
	}
	a := <-answered
	at := time.Since(term)
	<-n.exited
	text := fmt.Sprintf("the request ended %.3f s after SIGTERM with status %d, error %v; the process ended with: %v", at.Seconds(), a.status, a.err, n.cmd.ProcessState)
	return outcome{broken: a.err != nil, text: text}, nil
}
