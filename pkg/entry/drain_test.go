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

// A graceful shutdown of an instance cuts off none of its streams in flight.
func TestShutdownCutsNoStreamInFlight(t *testing.T) {
	s := startSite(t, 2, 1, enginetest.Config{TokenInterval: 5 * time.Millisecond, Slots: 16})
	const streams, tokens = 8, 100 // each stream takes about half a second
	var g errgroup.Group
	for i := 0; i < streams; i++ {
		g.Go(func() error {
			req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprintf("shut-%d", i),
				Prompt: "p", MaxTokens: tokens}
			status, _, last := generate(t, s.Entries[0].Addr(), req)
			if status != http.StatusOK || !last.Done || last.Tokens != tokens {
				return fmt.Errorf("stream %d cut: status %d, last %+v", i, status, last)
			}
			return nil
		})
	}
	waitFor(t, 2*time.Second, "streams under way", func() bool {
		return s.Engines[0].Requests()+s.Engines[1].Requests() == streams
	})
	s.StopEntry(0)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
}

// A draining instance says so before it stops listening: new requests are
// refused as not run, with the header that tells callers to move, and its own
// route answers name another instance.
func TestDrainingInstanceTellsCallersToMove(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	if err := s.StartEntryWith("leaving", func(c *entry.Config) { c.DrainNotice = 3 * time.Second }); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "membership and catalogue", func() bool {
		v := s.Entries[1].View()
		return len(v.Members) == 2 && len(v.Entries) > 0
	})
	s.StopEntry(1)
	waitFor(t, 2*time.Second, "the drain begun", func() bool { return s.Entries[1].View().Draining })
	body := `{"customer":"minho","entry":"chat","request_id":"late","prompt":"p","max_tokens":1}`
	resp, err := http.Post("http://"+s.Entries[1].Addr()+"/v1/generate", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(verdict.Header) != "not_run" ||
		resp.Header.Get(entry.MoveHeader) == "" || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("draining instance answered %d %v", resp.StatusCode, resp.Header)
	}
	var refused *verdict.Error
	_, err = entry.NewClient(s.Entries[1].Addr(), nil).Call(context.Background(), entry.CallRequest{Customer: "minho", Entry: "plans", Method: "balance", Key: "k"})
	if !errors.As(err, &refused) || refused.Verdict != verdict.NotRun || refused.Status != http.StatusServiceUnavailable || refused.RetryAt.IsZero() {
		t.Fatalf("the client tells %#v", err)
	}
	waitFor(t, 2*time.Second, "its route answers to name the other instance", func() bool {
		ra, err := entry.NewClient(s.Entries[1].Addr(), nil).Route(context.Background(), "minho", "a")
		return err == nil && ra.Address == s.Entries[0].Addr()
	})
	if n := s.Engines[0].Requests(); n != 0 {
		t.Fatalf("engine got %d requests of a draining instance", n)
	}
}

// drainBound is the bound, in the instances' own time, from an accepted mark
// to the last instance that acts on it: two refresh periods, of the "few
// seconds" the brief allows.
const drainBound = 2 * time.Second

// An upstream marked leaving gets no new work once drainBound has passed on
// the instances' clock, at either of two instances that cannot hint each
// other. The clock is a fake, so the verdict does not depend on the machine.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	fake := clock.NewFake(time.Now())
	s, err := site.Start(site.Config{Engines: 3, Entries: 2, Clock: fake, NoPeers: true,
		Engine: enginetest.Config{TokenInterval: time.Millisecond},
		Entry:  entry.Config{Refresh: time.Second, Tick: 2 * time.Millisecond}})
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
		t.Fatal("no work at the engine before the mark")
	}
	if _, err := catalogue.SetUpstreamState(context.Background(), platform.NewClient(s.PlatformURL, nil),
		"assistant-pool", s.EngineAddrs[0], catalogue.Leaving, "test", fake.Now()); err != nil {
		t.Fatal(err)
	}
	fake.Advance(drainBound / 2)
	waitFor(t, 10*time.Second, "the first read after the mark", func() bool { return sees(s, catalogue.Leaving) })
	fake.Advance(drainBound / 2)
	before = leaving.Requests()
	send(60)
	if n := leaving.Requests() - before; n != 0 {
		t.Fatalf("leaving engine got %d new requests after %v", n, drainBound)
	}
}

// sees reports whether every instance has the site's first engine in state st.
func sees(s *site.Site, st catalogue.UpstreamState) bool {
	for _, in := range s.Entries {
		if in.View().Pools["assistant-pool"].Upstreams[0].State != st {
			return false
		}
	}
	return true
}

// maxDrainSeconds bounds BenchmarkDrain: the few seconds of the brief.
const maxDrainSeconds = 3.0

// BenchmarkDrain measures, with the default settings and callers that keep
// sending, the time from an accepted mark to the last new request that the
// leaving engine gets.
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
		marked := time.Now()
		if _, err := catalogue.SetUpstreamState(ctx, c, "assistant-pool", s.EngineAddrs[0], st, "bench", marked); err != nil {
			b.Fatal(err)
		}
		last, lastAt := s.Engines[0].Requests(), marked
		for time.Since(marked) < 1500*time.Millisecond {
			if n := s.Engines[0].Requests(); n != last {
				last, lastAt = n, time.Now()
			}
			time.Sleep(time.Millisecond)
		}
		if st == catalogue.Leaving {
			worst = max(worst, lastAt.Sub(marked))
		}
	}
	cancel()
	_ = g.Wait()
	b.ReportMetric(worst.Seconds(), "worst-drain-s")
	if worst.Seconds() > maxDrainSeconds {
		b.Fatalf("leaving engine got new work %v after the mark, bound %v s", worst, maxDrainSeconds)
	}
}
