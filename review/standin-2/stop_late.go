package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopLate stops two of three machines as planned, one after the other, while consumers use it for as long as
// the pages let them. The rule is LOST, "around planned work".
func stopLate(s *site) ([]string, error) {
	const streamTime = 4 * time.Second
	s.putConfig(1, []map[string]any{{"name": "drafts", "host": host, "path_prefix": "/drafts/", "kind": "streaming", "service": "models", "timeout_ms": 10000, "slo_ms": 400, "max_attempts": 3, "priority": 1}},
		[]map[string]any{{"name": "models", "engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": "m0", "version": 1}}}}})
	for i := range 18 {
		const events = 40
		e := &engine{id: fmt.Sprintf("i-e%d", i), service: "models", zone: fmt.Sprintf("zone-%d", i%3), slots: 8, model: "m0", events: events, interval: streamTime / events, eventBytes: 290}
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
	c := &stopCheck{site: s, stoppedAt: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 120 {
		factor := 1
		if i%2 == 1 {
			factor = 3 // "some of them three times as long"
		}
		c.group.Go(func() { c.consume(ctx, i, time.Duration(factor)) })
	}
	time.Sleep(10 * time.Second)
	for _, n := range s.nodes[:2] { // one after the other
		if !s.trouble {
			time.Sleep(graceTime + time.Second)
			continue
		}
		if err := c.restart(n); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	cancel()
	c.group.Wait()
	s.record("%d requests, %d of them complete", c.requests, c.complete)
	if c.complete == 0 {
		return nil, errors.New("no request was served")
	}
	return c.breaches, nil
}

// stopCheck holds what the consumers of stopLate have seen.
type stopCheck struct {
	site  *site
	group sync.WaitGroup

	mu                 sync.Mutex
	stoppedAt          map[string]time.Time // when machines got SIGTERM, by the address for consumers
	requests, complete int
	breaches           []string
}

// restart stops a machine as the platform does, and starts it again when it is in touch with
// the others.
func (c *stopCheck) restart(n *node) error {
	c.mu.Lock()
	c.stoppedAt[n.front] = time.Now()
	c.mu.Unlock()
	c.site.record("SIGTERM to %s", n.name)
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(graceTime):
		c.site.record("SIGKILL to %s, %s after SIGTERM", n.name, graceTime)
		n.end()
	}
	time.Sleep(time.Second)
	if err := n.start(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	return nil
}

// consume sends one request after the other, as a consumer does. It keeps an answer of
// where to connect for factor times as long as it says.
func (c *stopCheck) consume(ctx context.Context, number int, factor time.Duration) {
	var addresses []string
	var until time.Time
	var channel *channel
	defer func() { channel.close() }()
	failed := map[string]bool{}
	pause(ctx, 6*time.Second)
	for n := 0; ctx.Err() == nil; n++ {
		if !time.Now().Before(until) {
			if a, ttl, err := c.resolve(); err == nil {
				addresses, until = a, time.Now().Add(ttl*factor)
				clear(failed)
				if channel != nil && !slices.Contains(addresses, channel.address) {
					channel.close()
					channel = nil
				}
			}
		}
		if channel == nil {
			usable := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return failed[a] })
			if len(usable) == 0 {
				until = time.Time{}
				time.Sleep(100 * time.Millisecond)
				continue
			}
			address := usable[rand.IntN(len(usable))]
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				failed[address] = true
				continue
			}
			channel = newChannel(address, conn)
		}
		id := fmt.Sprintf("c%d-%d", number, n)
		sentAt := time.Now()
		status, stamped, keep, err := channel.stream(id)
		c.ended(id, channel.address, sentAt, status, stamped, err)
		if err != nil {
			failed[channel.address] = true
		}
		if err != nil || !keep {
			channel.close()
			channel = nil
		}
		pause(ctx, 2*time.Second)
	}
}

// pause waits for a random time of up to d.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(rand.N(d)):
	}
}

// resolve asks the nodes for the addresses, one after the other.
func (c *stopCheck) resolve() (addresses []string, ttl time.Duration, err error) {
	for _, i := range rand.Perm(len(c.site.nodes)) {
		if addresses, ttl, err = c.site.nodes[i].addresses(); err == nil {
			return addresses, ttl, nil
		}
	}
	return nil, 0, err
}

// ended records the end of a request and whether it breaks the rule.
func (c *stopCheck) ended(id, address string, sentAt time.Time, status int, stamped bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.requests++
	if status == http.StatusOK && err == nil {
		c.complete++
	}
	stoppedAt, stopped := c.stoppedAt[address]
	if !stopped {
		c.site.record("%s at %s: status %d, %v", id, address, status, err)
		if err != nil && stamped {
			c.breaches = append(c.breaches, id+": ended early without any planned work")
		}
		return
	}
	sent, ended := sentAt.Sub(stoppedAt), now.Sub(stoppedAt)
	c.site.record("%s at %s, sent %.3f s after its SIGTERM, ended %.3f s after it: status %d, %v", id, address, sent.Seconds(), ended.Seconds(), status, err)
	// LOST: the process had passed the request on to an engine (the answer bears its stamp),
	// and the channel ended without a complete answer. Not counted: the engine was at work in
	// the last sixth of grace_s on a request that was sent no later than 3 s after SIGTERM, the
	// deadline of 12 s, the route's timeout of 10 s; the engines break nothing off.
	switch {
	case err == nil || !stamped:
	case ended > graceTime+time.Second, now.Sub(sentAt) >= 10*time.Second:
	case sent <= 3*time.Second && ended >= graceTime*5/6:
	default:
		c.breaches = append(c.breaches, fmt.Sprintf("LOST: %s, sent %.3f s after SIGTERM to a machine that has %s, passed on to an engine, cut %.3f s after SIGTERM: %v", id, sent.Seconds(), graceTime, ended.Seconds(), err))
	}
}

// channel is a consumer's open channel.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func newChannel(address string, conn net.Conn) *channel {
	return &channel{address: address, conn: conn, reader: bufio.NewReader(conn)}
}

func (ch *channel) close() {
	if ch != nil {
		ch.conn.Close()
	}
}

// stream sends a request for a stream and reads the answer. The error is set if the channel
// ended before a complete answer; stamped tells that an engine's answer had begun.
func (ch *channel) stream(id string) (status int, stamped, keep bool, err error) {
	body := strings.Repeat("p", 600)
	_ = ch.conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := fmt.Fprintf(ch.conn, "POST /drafts/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 12000\r\nModel: m0\r\nToken-Usage: 271,1500\r\nPrompt-Prefix: 9c2e41:255,%x:16\r\nContent-Length: %d\r\n\r\n%s", host, id, id, len(body), body); err != nil {
		return 0, false, false, err
	}
	resp, err := http.ReadResponse(ch.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false, false, err
	}
	stamped = resp.Header.Get("Server-Stamp") != ""
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode, stamped, !resp.Close, err
}
