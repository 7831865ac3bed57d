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

func startRelay(t *testing.T, target string) *relay.Relay {
	t.Helper()
	r, err := relay.Start(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// Every pooled connection to a pool's only engine goes silent for good
// while new ones work: one request pays the idle timeout, and all of them,
// also the first, are answered.
func TestPooledConnectionsGoneSilent(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 5 * time.Millisecond})
	r := startRelay(t, s.EngineAddrs[0])
	setUpstreams(t, s, "assistant-pool", r.Addr())
	ask := func(i int) error {
		status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
			RequestID: fmt.Sprint("silent-", i), Prompt: "p", MaxTokens: 4})
		if status != http.StatusOK || !last.Done {
			return fmt.Errorf("request %d: status %d, %+v", i, status, last)
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
	r.Silence()
	before := s.Entries[0].Counter("upstream_errors")
	for i := range 12 {
		if err := ask(100 + i); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.Entries[0].Counter("upstream_errors") - before; n > 2 {
		t.Fatalf("%d requests met a silent connection, want the first alone", n)
	}
}

// A connection goes silent for good at an engine that has requests waiting all
// the while: the request on it is sent again on a new connection, and not held
// until the engine is at rest or its caller gives up.
func TestSilentConnectionAtABusyEngine(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 10 * time.Millisecond, Slots: 1})
	r := startRelay(t, s.EngineAddrs[0])
	setUpstreams(t, s, "assistant-pool", r.Addr())
	ask := func(id string) {
		status, _, last := generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
			RequestID: id, Prompt: "p", MaxTokens: 4})
		if status != http.StatusOK || !last.Done {
			t.Fatalf("request %s: status %d, %+v", id, status, last)
		}
	}
	ask("warm-up") // leaves an idle connection in the pool
	ctx, cancel := context.WithCancel(t.Context())
	var others errgroup.Group
	for i := range 4 { // the older system's: 2 s each, in the one slot
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
	waitFor(t, 5*time.Second, "a busy engine", func() bool { return s.Engines[0].Requests() == 5 })
	r.Silence()
	ask("silent")
	rep, err := engine.NewClient(s.EngineAddrs[0], nil).LoadReport(t.Context())
	if err != nil || rep.Queued == 0 {
		t.Errorf("answered only once the engine was at rest: %+v, %v", rep, err)
	}
	cancel()
	_ = others.Wait()
}

// setUpstreams replaces the upstreams of a pool and waits until every
// instance has applied that.
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

// A peer link goes silent for good: keepalives find it, and the next hint
// goes over a new link. The second instance reads by itself once an hour.
func TestPeerLinkGoneSilentIsReplaced(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	var r *relay.Relay
	err := s.StartEntryWith("entry-far", func(c *entry.Config) {
		r = startRelay(t, c.PeerListener.Addr().String())
		c.Refresh, c.PeerAdvertise, c.PeerKeepAlive = time.Hour, r.Addr(), 100*time.Millisecond
	})
	if err != nil {
		t.Fatal(err)
	}
	far := s.Entries[1]
	named := func(v uint64) func() bool {
		return func() bool { return far.View().Targets["assistant-pool"].Version == v }
	}
	waitFor(t, 5*time.Second, "the first instance knows the second", func() bool { return len(s.Entries[0].View().Members) == 2 })
	nameVersion(t, s, 0, 2)
	waitFor(t, 5*time.Second, "a hint over the link", named(2))
	r.Silence()
	time.Sleep(time.Second) // ten keepalives
	nameVersion(t, s, 0, 3)
	waitFor(t, 5*time.Second, "a hint over a new link", named(3))
}
