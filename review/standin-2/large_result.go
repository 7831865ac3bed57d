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
	"syscall"
	"time"
)

// freezeTime is how long the owner of the batch submission stands still.
const freezeTime = 3500 * time.Millisecond

// A case has this many batch submissions, one after the other, with this many items each.
const (
	rounds = 3
	items  = 24
)

// largeResult freezes the machine that runs a batch submission while it stores the first
// result that is larger than a row, and wakes it when another machine has finished the batch
// submission. The rule is TWICE: a position holds another result than before.
func largeResult(s *site) ([]string, error) {
	f := &freezer{site: s}
	s.onPut = f.onPut
	if err := startLarge(s, 48, 40*time.Millisecond); err != nil {
		return nil, err
	}
	var breaches []string
	for round := range rounds {
		t := &trainer{site: s, id: fmt.Sprintf("7c41e09b52d6a3f%d", round), total: items, seen: map[int]string{}}
		if err := playRound(f, t, round); err != nil {
			return nil, err
		}
		breaches = append(breaches, t.breaches...)
	}
	return breaches, nil
}

// startLarge starts a site whose texts have events of 1,700 bytes, so many that a text is larger
// than a row (row_bytes).
func startLarge(s *site, events int, interval time.Duration) error {
	s.putConfig(1, []map[string]any{
		{"name": "scores", "host": host, "path_prefix": "/scores/", "kind": "idempotent", "service": "scorers", "timeout_ms": 2000, "slo_ms": 400, "max_attempts": 4, "priority": 2},
		{"name": "summaries", "host": host, "path_prefix": "/summaries/", "kind": "rollout", "service": "models", "timeout_ms": 10000, "slo_ms": 400, "due_ms": 7500, "max_age_s": 120, "max_attempts": 3, "priority": 1},
	}, []map[string]any{{"name": "models", "engine": map[string]any{"slots": 8, "kv_capacity": 44538, "models": []map[string]any{{"name": "m0", "version": 1}}}}, {"name": "scorers"}})
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-e%d", i), service: "models", zone: fmt.Sprintf("zone-%d", i%3), slots: 8, model: "m0", events: events, interval: interval, eventBytes: 1700}
		if err := s.addEngine(e); err != nil {
			return err
		}
	}
	for i := range 2 {
		if err := s.addEngine(&engine{id: fmt.Sprintf("i-s%d", i), service: "scorers", zone: fmt.Sprintf("zone-%d", i), slots: 6, work: 80 * time.Millisecond}); err != nil {
			return err
		}
	}
	s.startHeartbeats()
	for i := range 3 {
		if _, err := s.addNode(i); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second) // contact_ms: the machines are in touch
	return nil
}

// playRound plays one batch submission.
func playRound(f *freezer, t *trainer, round int) error {
	s := t.site
	thawed := f.arm()
	if err := t.submit(round); err != nil {
		return err
	}
	// The trainer reads about twice a second, at a machine that answers.
	for end := time.Now().Add(30 * time.Second); t.next < t.total; time.Sleep(500 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the batch submission was not finished in 30 s")
		}
		for _, n := range s.nodes {
			if n != f.frozen() && t.read(n, t.next) == nil {
				break
			}
		}
	}
	s.record("all results have been read")
	if s.trouble {
		select {
		case <-thawed:
		case <-time.After(freezeTime):
			return errors.New("no large result was stored")
		}
	}
	time.Sleep(4 * time.Second) // more than contact_ms: all machines are in touch again
	for _, n := range s.nodes {
		for after := 0; after < t.total; {
			got, err := t.readPage(n, after)
			if err != nil || got == 0 {
				return fmt.Errorf("%s: no results from position %d on: %v", n.name, after, err)
			}
			after += got
		}
	}
	return nil
}

// freezer freezes the machine that stores the first large result after arm.
type freezer struct {
	site *site

	mu     sync.Mutex
	armed  bool
	thawed chan struct{}
	node   *node // that is frozen; nil for none
}

// arm returns a channel that is closed when the machine has woken again.
func (f *freezer) arm() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.armed, f.thawed = f.site.trouble, make(chan struct{})
	return f.thawed
}

func (f *freezer) frozen() *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.node
}

func (f *freezer) onPut(name, object string, data []byte) {
	if !strings.Contains(object, "-result-") {
		return
	}
	var stored struct{ Score string }
	_ = json.Unmarshal(data, &stored)
	f.site.record("store: object %s of %d bytes from %s, score %s", object, len(data), name, stored.Score)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.armed {
		return
	}
	f.armed = false
	for _, n := range f.site.nodes {
		if n.name != name {
			continue
		}
		f.site.record("%s freezes", name)
		n.signal(syscall.SIGSTOP)
		f.node = n
		time.AfterFunc(freezeTime, func() {
			f.site.record("%s wakes", name)
			n.signal(syscall.SIGCONT)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.node = nil
			close(f.thawed)
		})
	}
}

// trainer submits a batch submission and reads its results.
type trainer struct {
	site     *site
	id       string
	total    int
	next     int            // position up to which results have been read
	seen     map[int]string // results as first read, by position
	breaches []string
}

// submit hands the batch submission in, again after a failure.
func (t *trainer) submit(round int) error {
	items := t.total
	type call struct {
		ID   string `json:"id"`
		Host string `json:"host"`
		Path string `json:"path"`
		Body string `json:"body"`
	}
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
		Scorer  call              `json:"scorer"`
	}
	var all []item
	for i := range items {
		body := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("p", 600)))
		all = append(all, item{ID: fmt.Sprintf("e5b2907c1%03x%04x", round, i), Path: fmt.Sprintf("/summaries/%d/%x", round, i),
			Headers: map[string]string{"Model": "m0", "Token-Usage": "271,5200", "Prompt-Prefix": fmt.Sprintf("9c2e%x%02x:255,5d07%x%02x:16", round, i/4, round, i), "Length-Hint": "5200"},
			Body:    body, Tokens: 271 + 5200, Group: fmt.Sprintf("g%d-%d", round, i/4),
			Scorer: call{ID: fmt.Sprintf("40c8f1a7b%03x%04x", round, i), Host: host, Path: "/scores/5e07", Body: body}})
	}
	data, err := json.Marshal(map[string]any{"step": round, "model": "m0", "min_version": 0, "desired": items / 4, "items": all})
	if err != nil {
		return err
	}
	for try := range 10 {
		n := t.site.nodes[try%len(t.site.nodes)]
		req, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/summaries/7c41e0", bytes.NewReader(data))
		if err != nil {
			return err
		}
		req.Host, req.Close = host, true
		req.Header.Set("Request-Id", t.id)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			t.site.record("batch submission sent to %s: %d", n.name, resp.StatusCode)
			if resp.StatusCode == http.StatusAccepted {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the batch submission was not accepted")
}

// read reads results from a position on and remembers how far the trainer is.
func (t *trainer) read(n *node, after int) error {
	got, err := t.readPage(n, after)
	t.next = max(t.next, after+got)
	return err
}

// readPage reads one page of results at n and compares it with what was read before.
func (t *trainer) readPage(n *node, after int) (int, error) {
	client := http.Client{Timeout: 2500 * time.Millisecond}
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/zinnialadder/lots/%s?after=%d", n.front, t.id, after), nil)
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = host, true
	req.Header.Set("Wait-Ms", "1000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.site.record("read at %s from %d: %d, %v", n.name, after, resp.StatusCode, err)
		return 0, fmt.Errorf("status %d, %v", resp.StatusCode, err)
	}
	var page struct{ Results []json.RawMessage }
	if err := json.Unmarshal(data, &page); err != nil {
		return 0, err
	}
	t.site.record("read at %s from %d: %d results", n.name, after, len(page.Results))
	for i, raw := range page.Results {
		position := after + i
		first, known := t.seen[position]
		if !known {
			t.seen[position] = string(raw)
			t.site.record("position %d: %s", position, brief(raw))
			continue
		}
		if first != string(raw) {
			b := fmt.Sprintf("TWICE: position %d held %s, and holds %s at %s", position, brief([]byte(first)), brief(raw), n.name)
			t.breaches = append(t.breaches, b)
		}
	}
	return len(page.Results), nil
}

// brief describes a result.
func brief(raw []byte) string {
	var r struct{ ID, State, Output, Score string }
	if err := json.Unmarshal(raw, &r); err != nil {
		return err.Error()
	}
	runs := map[string]int{}
	for line := range strings.SplitSeq(r.Output, "\n") {
		fields := strings.Fields(line)
		if len(fields) > 7 {
			runs["run "+fields[5]+" at "+fields[7]]++
		}
	}
	return fmt.Sprintf("%s %s, score %s, events by run %v", r.ID, r.State, r.Score, runs)
}
