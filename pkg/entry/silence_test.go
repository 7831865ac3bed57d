package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/relay"
	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

func startRelay(t *testing.T, target string) *relay.Proxy {
	t.Helper()
	r, err := relay.Start(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// Every idle connection to a pool's only engine becomes silent, while new connections work.
// The first request must be delayed by the idle timeout only, and all requests must be
// completed.
func TestSilentIdleConnections(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond})
	r := startRelay(t, s.EngineAddrs[0])
	setUpstreams(t, s, "assistant-pool", r.Addr())
	ask := func(i int) error {
		status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
			RequestID: fmt.Sprint("silent-", i), Prompt: "p", MaxTokens: 4})
		if status != http.StatusOK || !last.Done {
			return fmt.Errorf("request %d: got status %d and last event %+v, want a complete response", i, status, last)
		}
		return nil
	}
	var g errgroup.Group
	for i := range 12 { // leaves a dozen idle connections in the pool
		g.Go(func() error { return ask(i) })
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	r.BlackholeOpen()
	before := s.Entries[0].Counter("upstream_errors")
	for i := range 12 {
		if err := ask(100 + i); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.Entries[0].Counter("upstream_errors") - before; n > 1 {
		t.Fatalf("got %d failures on silent connections, want at most 1", n)
	}
}

// A connection to an engine that always has queued requests becomes silent. The request on
// it must be retried on a new connection, and not wait until the engine has no more queued
// requests or the caller's deadline passes.
func TestSilentConnectionAtABusyEngine(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 10 * time.Millisecond, Slots: 1})
	r := startRelay(t, s.EngineAddrs[0])
	setUpstreams(t, s, "assistant-pool", r.Addr())
	ask := func(id string) {
		status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
			RequestID: id, Prompt: "p", MaxTokens: 4})
		if status != http.StatusOK || !last.Done {
			t.Fatalf("request %s: got status %d and last event %+v, want a complete response", id, status, last)
		}
	}
	ask("warm-up") // leaves an idle connection in the pool
	ctx, cancel := context.WithCancel(t.Context())
	var others errgroup.Group
	for i := range 4 { // requests of the legacy system, each occupying the only slot for 2 s
		others.Go(func() error {
			st, err := engine.NewClient(s.EngineAddrs[0], nil).Generate(ctx, engine.GenerateRequest{
				RequestID: fmt.Sprint("other-", i), Prompt: "q", MaxTokens: 200, Priority: engine.PriorityTraining})
			if err != nil {
				return nil // cancelled in the queue
			}
			defer st.Close()
			for {
				if c, err := st.Next(); err != nil || c.Done {
					return nil
				}
			}
		})
	}
	waitFor(t, 5*time.Second, "all requests at the engine", func() bool { return s.Engines[0].Requests() == 5 })
	r.BlackholeOpen()
	ask("silent")
	rep, err := engine.NewClient(s.EngineAddrs[0], nil).LoadReport(t.Context())
	if err != nil || rep.Queued == 0 {
		t.Errorf("engine has no queued requests after the response: report %+v, error %v", rep, err)
	}
	cancel()
	_ = others.Wait()
}

// setUpstreams replaces the upstreams of a pool and waits until every instance has applied
// the change.
func setUpstreams(t *testing.T, s *site.Site, pool string, addrs ...string) {
	t.Helper()
	p := s.Entries[0].View().Pools[pool]
	p.Upstreams = nil
	for _, a := range addrs {
		p.Upstreams = append(p.Upstreams, catalogue.Upstream{Address: a, DataCentre: "loopback", State: catalogue.Live})
	}
	out, err := catalogue.Sync(context.Background(), platform.NewClient(s.PlatformURL, nil), catalogue.File{Pools: []catalogue.Pool{p}}, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.WaitApplied(out, 5*time.Second); err != nil {
		t.Fatal(err)
	}
}

// A peer connection becomes silent. Keepalives must detect that, and the next notification
// must use a new connection. The second instance reads the catalogue only once an hour.
func TestSilentPeerConnectionIsReplaced(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	var r *relay.Proxy
	err := s.StartEntryWith("entry-far", func(c *entry.Config) {
		r = startRelay(t, c.PeerListener.Addr().String())
		c.RefreshInterval, c.PeerAdvertise, c.PeerKeepAlive = time.Hour, r.Addr(), 100*time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	second := s.Entries[1]
	hasTarget := func(v uint64) func() bool {
		return func() bool { return second.View().Targets["assistant-pool"].Version == v }
	}
	waitFor(t, 5*time.Second, "the first instance to see the second", func() bool { return len(s.Entries[0].View().Members) == 2 })
	setTarget(t, s, 0, 2)
	waitFor(t, 5*time.Second, "a notification over the connection", hasTarget(2))
	r.BlackholeOpen()
	time.Sleep(time.Second) // ten keepalive intervals
	setTarget(t, s, 0, 3)
	waitFor(t, 5*time.Second, "a notification over a new connection", hasTarget(3))
}
