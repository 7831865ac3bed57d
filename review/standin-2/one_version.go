package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of oneVersion, as on the sheets of the small deployments.
const (
	stepDeadline  = 12 * time.Second // the trainer gives a step up
	noEngineTime  = 5 * time.Second  // "has been at no engine for 5 s of steady state"
	noVersionTime = 6 * time.Second  // "no version was named then or in the 6 s before"
)

// oneVersion has an engine leave, as planned, while it runs texts of a route with
// single_version and the engines hold two versions. The rule is LOST: a step runs out of time
// while one of its items is at no engine.
func oneVersion(s *site) ([]string, error) {
	s.putConfig(1, []map[string]any{
		{"name": "summaries", "host": host, "path_prefix": "/summaries/", "kind": "rollout", "service": "models", "timeout_ms": 10000, "slo_ms": 400, "due_ms": 7500, "max_age_s": 40, "max_attempts": 3, "priority": 1, "single_version": true},
	}, []map[string]any{{"name": "models", "engine": map[string]any{"slots": 8, "kv_capacity": 44538, "models": []map[string]any{{"name": "m0", "version": 1}}}}})
	w := &itemWatch{at: map[string]map[string]int{}, left: map[string]time.Time{}, done: map[string]bool{}, began: map[string]bool{}}
	for i := range 9 {
		e := &engine{id: fmt.Sprintf("i-%x", 0x7f3a91c2+i*0x1f0f3c5), service: "models", zone: fmt.Sprintf("zone-%d", i%3), slots: 8, model: "m0", events: 64, interval: 110 * time.Millisecond, eventBytes: 290, onRun: w.runBegan, onEnd: w.runEnded}
		if err := s.addEngine(e); err != nil {
			return nil, err
		}
	}
	s.startHeartbeats()
	for i := range 3 {
		if _, err := s.addNode(i); err != nil {
			return nil, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // contact_ms: the machines are in touch
	t := &steps{site: s, watch: w}
	// Step 0 is asked under version 1, which the engines start with.
	if err := t.play(0, 0, 2, nil); err != nil {
		return nil, err
	}
	var breaches []string
	for k := 1; k <= 6 && len(breaches) == 0; k += 2 {
		// Two steps are open: a small one, during which version k + 1 is named, and the next.
		t.name(k + 1)
		time.Sleep(4 * time.Second)
		var small sync.WaitGroup
		var smallErr error
		small.Go(func() { smallErr = t.play(k, k, 4, nil) })
		time.Sleep(500 * time.Millisecond)
		t.name(k + 2)
		time.Sleep(4500 * time.Millisecond)
		b, err := t.playWithLeave(k+1, k+1)
		small.Wait()
		if err := errors.Join(err, smallErr); err != nil {
			return nil, err
		}
		breaches = append(breaches, b...)
	}
	return breaches, nil
}

// itemWatch holds what the engines have seen of the items.
type itemWatch struct {
	mu    sync.Mutex
	at    map[string]map[string]int // engines that run an item, by item
	left  map[string]time.Time      // when an item was last at an engine
	done  map[string]bool           // an engine has finished the item
	began map[string]bool
}

func (w *itemWatch) runBegan(e *engine, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.at[id] == nil {
		w.at[id] = map[string]int{}
	}
	w.at[id][e.id]++
	w.began[id] = true
}

func (w *itemWatch) runEnded(e *engine, id string, complete bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.at[id][e.id]--; w.at[id][e.id] == 0 {
		delete(w.at[id], e.id)
	}
	w.left[id] = time.Now()
	w.done[id] = w.done[id] || complete
}

// atNoEngine returns since when an item that no engine has finished is at no engine.
func (w *itemWatch) atNoEngine(id string) (since time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done[id] || len(w.at[id]) > 0 || !w.began[id] {
		return time.Time{}, false
	}
	return w.left[id], true
}

// steps is a trainer.
type steps struct {
	site    *site
	watch   *itemWatch
	namedAt time.Time
}

// name names a version.
func (t *steps) name(version int) {
	t.namedAt = time.Now()
	t.site.store.Put("op", "version/m0", map[string]any{"model": "m0", "version": version})
	t.site.record("version %d is named", version)
}

func itemID(step, i int) string { return fmt.Sprintf("e5b2907c%02x14%04x", step, i) }

// play submits a step of count items in groups of eight, reads it until all groups are complete or
// the deadline, and ends it. atDeadline, if not nil, is called in the latter case.
func (t *steps) play(step, minVersion, count int, atDeadline func()) error {
	s := t.site
	id := fmt.Sprintf("7c41e09b52d6a3%02x", step)
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	const groupSize = 8
	var all []item
	for i := range count {
		all = append(all, item{ID: itemID(step, i), Path: fmt.Sprintf("/summaries/%d/%x", step, i),
			Headers: map[string]string{"Model": "m0", "Token-Usage": "271,700", "Prompt-Prefix": fmt.Sprintf("9c%02x%02x:255,5d%02x%02x:16", step, i/groupSize, step, i)},
			Body:    base64.StdEncoding.EncodeToString([]byte(strings.Repeat("p", 600))), Tokens: 971, Group: fmt.Sprintf("g%d-%d", step, i/groupSize)})
	}
	data, err := json.Marshal(map[string]any{"step": step, "model": "m0", "min_version": minVersion, "desired": (count + groupSize - 1) / groupSize, "items": all})
	if err != nil {
		return err
	}
	firstAt := time.Now()
	accepted := false
	for try := 0; !accepted; try++ {
		if time.Since(firstAt) > stepDeadline {
			return fmt.Errorf("step %d was not accepted", step)
		}
		status, _, _ := t.call(s.nodes[try%len(s.nodes)], http.MethodPost, fmt.Sprintf("/summaries/%d", step), id, data)
		if accepted = status == http.StatusAccepted; !accepted {
			time.Sleep(200 * time.Millisecond)
		}
	}
	s.record("step %d: %d items accepted, min_version %d", step, count, minVersion)
	for next := 0; next < count; {
		if time.Since(firstAt) >= stepDeadline {
			s.record("step %d: out of time with %d of %d results", step, next, count)
			if atDeadline != nil {
				atDeadline()
			}
			break
		}
		status, body, err := t.call(s.nodes[step%len(s.nodes)], http.MethodGet, fmt.Sprintf("/zinnialadder/lots/%s?after=%d", id, next), "", nil)
		var page struct {
			Results []struct{ ID, State string }
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(body, &page) == nil {
			for _, r := range page.Results {
				s.record("step %d: %s %s", step, r.ID, r.State)
			}
			next += len(page.Results)
		}
		time.Sleep(500 * time.Millisecond)
	}
	for range 10 {
		if status, _, _ := t.call(s.nodes[0], http.MethodDelete, "/zinnialadder/lots/"+id, "", nil); status == http.StatusOK {
			s.record("step %d: ended", step)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("step %d could not be ended", step)
}

// call makes a call on a channel of its own.
func (t *steps) call(n *node, method, path, id string, body []byte) (int, []byte, error) {
	client := http.Client{Timeout: 3500 * time.Millisecond}
	req, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host, req.Close = host, true
	if id != "" {
		req.Header.Set("Request-Id", id)
		req.Header.Set("Content-Type", "application/json")
	}
	if method == http.MethodGet {
		req.Header.Set("Wait-Ms", "1000")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// playWithLeave plays a step of four groups of eight items. 1 s after it has been accepted,
// the engine with the older version that runs most of its items leaves.
func (t *steps) playWithLeave(step, minVersion int) (breaches []string, err error) {
	const count = 32
	s := t.site
	left := make(chan struct{})
	go func() {
		defer close(left)
		time.Sleep(time.Second)
		var e *engine
		for _, other := range s.engines {
			if other.isGone() || other.currentVersion() != minVersion {
				continue
			}
			if e == nil || other.count() > e.count() {
				e = other
			}
		}
		for _, other := range s.engines {
			if !other.isGone() {
				s.record("%s holds version %d and runs %d requests", other.id, other.currentVersion(), other.count())
			}
		}
		if e == nil {
			s.record("no engine holds version %d", minVersion)
			return
		}
		if s.trouble {
			e.leave()
		}
	}()
	err = t.play(step, minVersion, count, func() {
		now := time.Now()
		busy, slots := 0, 0
		for _, e := range s.engines {
			if !e.isGone() {
				busy += e.count()
				slots += e.slots
			}
		}
		for i := range count {
			since, ok := t.watch.atNoEngine(itemID(step, i))
			if !ok {
				continue
			}
			alone := now.Sub(since)
			for _, e := range s.engines {
				if n := e.misdirected(itemID(step, i)); n > 0 {
					s.record("step %d: %s was answered 421 by %s, which holds version %d, %d times", step, itemID(step, i), e.id, e.currentVersion(), n)
				}
			}
			s.record("step %d: %s has been at no engine for %.3f s; %d of %d places of engines are taken; version named %.3f s ago", step, itemID(step, i), alone.Seconds(), busy, slots, now.Sub(t.namedAt).Seconds())
			if alone >= noEngineTime && 2*busy < slots && now.Sub(t.namedAt) >= noEngineTime+noVersionTime {
				breaches = append(breaches, fmt.Sprintf("LOST: step %d ran out of time, and %s, which no engine had finished, had been at no engine for %.1f s", step, itemID(step, i), alone.Seconds()))
			}
		}
	})
	<-left
	return breaches, err
}
