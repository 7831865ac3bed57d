package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["late-object"] = lateObject }

// lateFor is how much later the store does the write whose answer is lost.
const lateFor = 5500 * time.Millisecond

// lateObject has the store do one write of a large result seconds later, without an answer,
// and kills the owner that asked for it.
func lateObject(rec *recorder, trouble bool) (outcome, error) {
	engines := smallEngines(func(*http.Request) time.Duration { return 80 * time.Millisecond })
	for _, e := range engines {
		if e.model != "" {
			e.events, e.eventTime = 260, 3*time.Millisecond // texts of 75 KB, more than row_bytes
		}
	}
	s, err := newSite(rec, 3, engines, manifest(3))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	var late atomic.Value // node whose write is done late
	lateDone := make(chan struct{})
	if trouble {
		s.store.mu.Lock()
		s.store.lateObject = func(n, name string) time.Duration {
			if strings.Contains(name, "-result-") && late.CompareAndSwap(nil, n) {
				time.AfterFunc(lateFor+200*time.Millisecond, func() { close(lateDone) })
				return lateFor
			}
			return 0
		}
		s.store.mu.Unlock()
	}
	const items = 4
	id := newID()
	rec.line("trainer: submits %s of %d items at %s", id, items, s.nodes[0].name)
	if a := s.call(s.nodes[0], http.MethodPost, "/pule252/"+id, map[string]string{"Request-Id": id, "Content-Type": "application/json"}, submission(id, "/pule252/", trainModel, "/pufi791/", 0, 0, items), 5*time.Second); a.status != http.StatusAccepted {
		return outcome{}, fmt.Errorf("batch submission: status %d, %v", a.status, a.err)
	}
	reader, other := s.nodes[0], s.nodes[1]
	if trouble {
		for until := time.Now().Add(10 * time.Second); late.Load() == nil && time.Now().Before(until); {
			time.Sleep(5 * time.Millisecond)
		}
		killed, _ := late.Load().(string)
		if killed == "" {
			return outcome{}, fmt.Errorf("no result was written as an object")
		}
		var rest []*node
		for _, n := range s.nodes {
			if n.name != killed {
				rest = append(rest, n)
				continue
			}
			rec.line("platform: SIGKILL to %s, back 3.5 s later", n.name)
			n.signal(syscall.SIGKILL)
			time.AfterFunc(3500*time.Millisecond, func() {
				<-n.exited
				if err := n.start(); err == nil {
					rec.line("platform: %s is started again", n.name)
				}
			})
		}
		// The node that does not run it now: it reads the store, as all but the owner do.
		reader, other = rest[0], rest[1]
	} else {
		close(lateDone)
	}
	before, err := s.results(reader, id, items, 20*time.Second)
	if err != nil {
		return outcome{}, err
	}
	<-lateDone
	time.Sleep(settle)
	changed, text := 0, ""
	for _, from := range append([]*node{other}, s.nodes...) {
		after, err := s.results(from, id, items, 10*time.Second)
		if err != nil {
			return outcome{}, err
		}
		for i := range before {
			if b, a := before[i], after[i]; a.ID != b.ID || a.Score != b.Score || a.Output != b.Output || fmt.Sprint(a.Versions) != fmt.Sprint(b.Versions) || a.State != b.State {
				changed++
				text += fmt.Sprintf("; position %d, read at %s as (%s, %s, versions %v, score %s), is read at %s as (%s, %s, versions %v, score %s)", i, reader.name, b.ID, b.State, b.Versions, b.Score, from.name, a.ID, a.State, a.Versions, a.Score)
			}
		}
	}
	return outcome{broken: changed > 0, text: fmt.Sprintf("%d positions hold another result than before%s", changed, text)}, nil
}

// results reads all results of a batch submission.
func (s *site) results(from *node, id string, total int, within time.Duration) ([]result, error) {
	var out []result
	until := time.Now().Add(within)
	for len(out) < total {
		if time.Now().After(until) {
			return nil, fmt.Errorf("%d of %d results read at %s", len(out), total, from.name)
		}
		results, _, a := s.read(from, id, len(out))
		if a.err != nil || a.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
			continue
		}
		for _, r := range results {
			s.rec.line("consumer: reads at %s position %d of %s: %s, %s, versions %v, score %s, %d bytes", from.name, len(out), id, r.ID, r.State, r.Versions, r.Score, len(r.Output))
			out = append(out, r)
		}
	}
	return out, nil
}
