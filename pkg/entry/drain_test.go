package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// A graceful shutdown must not interrupt streams in flight.
func TestShutdownCompletesStreamsInFlight(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{TokenInterval: 5 * time.Millisecond, Slots: 16})
	const streams, tokens = 8, 100 // each stream takes about half a second
	var g errgroup.Group
	for i := 0; i < streams; i++ {
		g.Go(func() error {
			req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("shut-%d", i),
				Prompt: "p", MaxTokens: tokens}
			status, _, last := generate(t, s.Entries[0].Addr(), req)
			if status != http.StatusOK || !last.Done || last.Tokens != tokens {
				return fmt.Errorf("stream %d: got status %d and last event %+v, want a complete response", i, status, last)
			}
			return nil
		})
	}
	waitFor(t, 2*time.Second, "all streams to start", func() bool {
		return s.Engines[0].Requests()+s.Engines[1].Requests() == streams
	})
	s.StopEntry(0)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

// Before it stops listening, a draining instance must reject new requests as not_run with
// the header that redirects callers, and its route responses must name another instance.
func TestDrainingInstanceRedirectsCallers(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	if err := s.StartEntryWith("leaving", func(c *entry.Config) { c.DrainNotice = 3 * time.Second }); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "the instance to read membership and catalogue", func() bool {
		v := s.Entries[1].View()
		return len(v.Members) == 2 && len(v.Entries) > 0
	})
	s.StopEntry(1)
	waitFor(t, 2*time.Second, "the instance to drain", func() bool { return s.Entries[1].View().Draining })
	body := `{"customer":"minho","entry":"chat","request_id":"late","prompt":"p","max_tokens":1}`
	resp, err := http.Post("http://"+s.Entries[1].Addr()+"/v1/generate", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(verdict.Header) != "not_run" ||
		resp.Header.Get(entry.MoveHeader) == "" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("draining instance: got status %d and header %v, want 503, not_run and a redirect", resp.StatusCode, resp.Header)
	}
	var refused *verdict.Error
	_, err = entry.NewClient(s.Entries[1].Addr(), nil).Call(context.Background(), entry.CallRequest{Customer: "minho", Entry: "plans", Method: "balance", Key: "k"})
	if !errors.As(err, &refused) || refused.Verdict != verdict.NotRun || refused.Status != http.StatusServiceUnavailable || refused.RetryAt.IsZero() {
		t.Fatalf("call to draining instance: got error %#v, want a not_run error with status 503 and a retry time", err)
	}
	waitFor(t, 2*time.Second, "its route responses to name the other instance", func() bool {
		ra, err := entry.NewClient(s.Entries[1].Addr(), nil).Route(context.Background(), "minho", "a")
		return err == nil && ra.Address == s.Entries[0].Addr()
	})
	if n := s.Engines[0].Requests(); n != 0 {
		t.Fatalf("engine got %d requests from a draining instance, want 0", n)
	}
}

// drainBound is the maximum time on the instances' clock from the accepted state change
// until the last instance acts on it: two refresh intervals. The requirement is a few
// seconds.
const drainBound = 2 * time.Second

// An engine set to state Leaving must get no new requests after drainBound on the
// instances' clock, from either of two instances that cannot notify each other. The clock
// is fake, so that the result does not depend on the machine's load.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	fake := clock.NewFake(time.Now())
	s, err := site.Start(site.Config{Engines: 3, Entries: 2, Clock: fake, DisablePeerLinks: true,
		Engine: enginetest.Config{TokenInterval: time.Millisecond},
		Entry:  entry.Config{RefreshInterval: time.Second, TickInterval: 2 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	f := catalogue.File{Pools: []catalogue.Pool{s.EnginePool("assistant-pool")}, Entries: []catalogue.Entry{{Name: "chat", Owner: "minho",
		Class: catalogue.Interactive, Pool: "assistant-pool", Limits: catalogue.Limits{MaxInFlight: 8, MaxTokens: 8}}}}
	out, err := catalogue.Sync(context.Background(), platform.NewClient(s.PlatformURL, nil), f, "test", fake.Now())
	if err != nil {
		t.Fatal(err)
	}
	fake.Advance(drainBound)
	if err := s.WaitApplied(out, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	send := func(n int) {
		for i := range n {
			generate(t, s.Entries[i%2].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
				RequestID: fmt.Sprint("r", i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 1})
		}
	}
	send(60)
	leaving := s.Engines[0]
	before := leaving.Requests()
	if before == 0 {
		t.Fatal("engine got no requests before its state was changed")
	}
	if _, err := catalogue.SetUpstreamState(context.Background(), platform.NewClient(s.PlatformURL, nil),
		"assistant-pool", s.EngineAddrs[0], catalogue.Leaving, "test", fake.Now()); err != nil {
		t.Fatal(err)
	}
	fake.Advance(drainBound / 2)
	waitFor(t, 10*time.Second, "all instances to see the state Leaving", func() bool { return allSee(s, catalogue.Leaving) })
	fake.Advance(drainBound / 2)
	before = leaving.Requests()
	send(60)
	if n := leaving.Requests() - before; n != 0 {
		t.Fatalf("leaving engine got %d new requests after %v, want 0", n, drainBound)
	}
}

// allSee reports whether every instance sees the site's first engine in state st.
func allSee(s *site.Site, st catalogue.UpstreamState) bool {
	for _, in := range s.Entries {
		if in.View().Pools["assistant-pool"].Upstreams[0].State != st {
			return false
		}
	}
	return true
}

// maxDrainSeconds is the bound of BenchmarkDrain. The requirement is a few seconds.
const maxDrainSeconds = 3.0

// BenchmarkDrain measures the time from an accepted state change to the last new request at
// the leaving engine, with default settings and callers that send continuously.
func BenchmarkDrain(b *testing.B) {
	s, err := site.Start(site.Config{Engines: 3, Entries: 2, Engine: enginetest.Config{TokenInterval: time.Millisecond, Slots: 64}})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	f := catalogue.File{Pools: []catalogue.Pool{s.EnginePool("assistant-pool")}, Entries: []catalogue.Entry{{Name: "chat", Owner: "minho",
		Class: catalogue.Interactive, Pool: "assistant-pool", Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 8}}}}
	if err := s.Apply(f); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	for w := range 4 {
		g.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				generate(b, s.Entries[i%2].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat",
					RequestID: fmt.Sprintf("d%d-%d", w, i), Prompt: fmt.Sprint("prompt ", i), MaxTokens: 1})
			}
			return nil
		})
	}
	c := platform.NewClient(s.PlatformURL, nil)
	var worst time.Duration
	for round := range 6 {
		st := []catalogue.UpstreamState{catalogue.Leaving, catalogue.Live}[round%2]
		changedAt := time.Now()
		if _, err := catalogue.SetUpstreamState(ctx, c, "assistant-pool", s.EngineAddrs[0], st, "bench", changedAt); err != nil {
			b.Fatal(err)
		}
		last, lastAt := s.Engines[0].Requests(), changedAt
		for time.Since(changedAt) < 1500*time.Millisecond {
			if n := s.Engines[0].Requests(); n != last {
				last, lastAt = n, time.Now()
			}
			time.Sleep(time.Millisecond)
		}
		if st == catalogue.Leaving {
			worst = max(worst, lastAt.Sub(changedAt))
		}
	}
	cancel()
	_ = g.Wait()
	b.ReportMetric(worst.Seconds(), "worst-drain-s")
	if worst.Seconds() > maxDrainSeconds {
		b.Fatalf("leaving engine got a new request %v after the state change, want at most %v s", worst, maxDrainSeconds)
	}
}
