package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra-late"] = extraLate }

// serviceEngine is a stand-in of a plain service's engine that writes its answers to the
// channel itself, so that it can send an extra one.
type serviceEngine struct {
	*engine
	queue int // requests that wait for a slot

	slot chan struct{} // one entry for each request that runs

	answers atomic.Int64
	// spoil reports whether an extra copy of the answer to a request is sent late: where the
	// next answer on the channel is expected.
	spoil func(id string, status int) bool

	wait    sync.Mutex
	waiting int
}

func (e *serviceEngine) start(rec *recorder, s *store) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.rec, e.store, e.address = rec, s, ln.Addr().String()
	e.begun, e.cut, e.slot = map[string]int{}, map[string]time.Time{}, make(chan struct{}, e.slots)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.channel(conn)
		}
	}()
	e.beat()
	go func() {
		for range time.Tick(beatPeriod) {
			e.beat()
		}
	}()
	return nil
}

// Limits of the disruption garble on the site, "how" extra late.
const (
	spoiledShare = 0.03
	spoiledFor   = 5 * time.Second
)

// maxLate is how late an extra answer may be.
const maxLate = 300 * time.Millisecond

// channel serves the requests on one channel, one at a time.
func (e *serviceEngine) channel(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	extra := "" // copy of the last answer, to be sent where the next one is expected
	var extraAt time.Time
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if time.Since(extraAt) > maxLate {
			extra = ""
		}
		if extra != "" {
			e.rec.line("%s: sends the extra copy of its last answer on the channel of %s", e.id, conn.RemoteAddr())
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		status, header, body := e.serve(req, id)
		answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), e.id, id, header, len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		e.answers.Add(1)
		if e.spoil(id, status) {
			extra, extraAt = answer, time.Now()
		}
	}
}

// serve answers one request.
func (e *serviceEngine) serve(req *http.Request, id string) (status int, header, body string) {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != e.id {
		return http.StatusMisdirectedRequest, "", ""
	}
	e.wait.Lock()
	full := len(e.slot) == cap(e.slot) && e.waiting >= e.queue
	if !full {
		e.waiting++
	}
	load := fmt.Sprintf("Engine-Load: %d,%d,%d\r\n", len(e.slot), e.waiting, e.slots)
	e.wait.Unlock()
	if full {
		e.rec.line("%s: is full, answers 503 with Not-Run to %s", e.id, id)
		return http.StatusServiceUnavailable, "Not-Run: 1\r\n" + load, ""
	}
	e.slot <- struct{}{}
	e.wait.Lock()
	e.waiting--
	e.wait.Unlock()
	e.mu.Lock()
	e.begun[id]++
	e.mu.Unlock()
	e.rec.line("%s: begins %s", e.id, id)
	time.Sleep(e.work(req))
	<-e.slot
	return http.StatusOK, load + fmt.Sprintf("Server-Stamp: %s.%s\r\n", e.id, id), "answer to " + id
}

// extraLate has a full engine send a second copy of one of its refusals late.
func extraLate(rec *recorder, trouble bool) (outcome, error) {
	const busyWork, payWork = 400 * time.Millisecond, 80 * time.Millisecond
	const faulty = "i-p0" // in the zone of the node that is asked
	var engines []*serviceEngine
	var mu sync.Mutex
	var firstSpoiled time.Time
	spoiled, inRound := 0, 0 // answers that were spoiled, in all and in this round
	var round atomic.Value   // ID of the payment of this round
	round.Store("")
	for i := range 3 {
		e := &serviceEngine{engine: &engine{id: fmt.Sprintf("i-p%d", i), service: "wuno96b", zone: fmt.Sprintf("hall-%c", 'a'+i), slots: 6}, queue: 2}
		e.work = func(r *http.Request) time.Duration {
			if r.Header.Get("Request-Id") == round.Load() {
				return payWork
			}
			return busyWork
		}
		e.spoil = func(id string, status int) bool {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !trouble || e.id != faulty || status != http.StatusServiceUnavailable || id != round.Load() || inRound > 0:
				return false
			case float64(spoiled+1) > spoiledShare*float64(e.answers.Load()), spoiled > 0 && time.Since(firstSpoiled) > spoiledFor:
				return false
			case spoiled == 0:
				firstSpoiled = time.Now()
			}
			spoiled++
			inRound++
			rec.line("%s: is to send this answer once more, late; that is %d of its %d answers", e.id, spoiled, e.answers.Load())
			return true
		}
		engines = append(engines, e)
	}
	s, err := newSite(rec, 3, nil, manifest(3,
		map[string]any{"name": "r-busy", "host": host, "path_prefix": "/busy20/", "kind": "idempotent", "timeout_ms": 4000, "slo_ms": 400, "priority": 2, "service": "wuno96b", "max_attempts": 2},
		map[string]any{"name": "r-pay", "host": host, "path_prefix": "/paga883/", "kind": "non_idempotent", "timeout_ms": 4000, "slo_ms": 400, "priority": 2, "service": "wuno96b", "max_attempts": 3}))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return outcome{}, err
	}
	for _, e := range engines {
		if err := e.start(rec, s.store); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(3 * time.Second)
	twice, text := 0, ""
	for n := range 12 {
		// Other consumers fill the engines through two of the nodes.
		var others sync.WaitGroup
		for i := range 60 {
			others.Add(1)
			go func() {
				defer others.Done()
				id := newID()
				s.call(s.nodes[1+i%2], http.MethodPost, "/busy20/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "3000"}, []byte("x"), 3*time.Second)
			}()
		}
		time.Sleep(busyWork - 20*time.Millisecond)
		id := newID()
		round.Store(id)
		rec.line("consumer: POST /paga883/%s at %s", id, s.nodes[0].name)
		a := s.call(s.nodes[0], http.MethodPost, "/paga883/"+id, map[string]string{"Request-Id": id, "Deadline-Ms": "3500"}, []byte("payment"), 4*time.Second)
		rec.line("consumer: %s is answered %d, %q, %v", id, a.status, a.body, a.err)
		others.Wait()
		runs := 0
		for _, e := range engines {
			e.mu.Lock()
			runs += e.begun[id]
			e.mu.Unlock()
		}
		rec.line("round %d: engines have begun %s %d times", n, id, runs)
		if runs > 1 || runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			twice++
			text += fmt.Sprintf("; %s was answered %d and begun %d times", id, a.status, runs)
		}
		mu.Lock()
		inRound = 0
		mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	return outcome{broken: twice > 0, text: fmt.Sprintf("%d of 12 non-idempotent requests broke the rule, with %d answers spoiled%s", twice, spoiled, text)}, nil
}
