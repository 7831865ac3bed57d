package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// No training sample may be older than its entry allows. With engines at versions 1 and 5
// and a maximum lag of 1, no generation or sample may have version 1.
func TestSamplesStayWithinVersionLag(t *testing.T) {
	s := startSite(t, 3, 1, enginetest.Config{WeightVersion: 5})
	if err := loadVersion(s, 0, 1); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "load reports with both versions", func() bool {
		v := s.Entries[0].View()
		rep, _ := v.Report(s.EngineAddrs[0])
		return v.NewestVersions["assistant-pool"] == 5 && rep.WeightVersion == 1
	})
	for i := 0; i < 12; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprint("stale-", i),
			Prompt: fmt.Sprint("prompt ", i), MaxTokens: 2}
		if _, _, last := generate(t, s.Entries[0].Addr(), req); !last.Done || last.WeightVersions[0] < 4 {
			t.Fatalf("request %d: got weight versions %v (done %t), want at least 4", i, last.WeightVersions, last.Done)
		}
	}
	waitFor(t, 5*time.Second, "12 samples at the trainer", func() bool { return len(s.Trainer.Received()) == 12 })
	for _, r := range s.Trainer.Received() {
		if r.Sample.WeightVersions[0] < 4 {
			t.Fatalf("sample %s has weight versions %v, want at least 4", r.Sample.ID, r.Sample.WeightVersions)
		}
	}
}

// If the platform responds only after seconds, a non-idempotent call must be rejected
// within the platform timeout as not_run with Retry-After, and must not be sent.
func TestSlowPlatformPromptRejection(t *testing.T) {
	s, err := site.Start(site.Config{Engines: 1, Entries: 1,
		Entry: entry.Config{RefreshInterval: 50 * time.Millisecond, TickInterval: 10 * time.Millisecond, PlatformTimeout: 300 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	f := catalogue.File{Pools: []catalogue.Pool{s.ServicePool("desk-app")}, Entries: []catalogue.Entry{{Name: "plans",
		Owner: "minho", Class: catalogue.Interactive, Pool: "desk-app", Limits: catalogue.Limits{MaxInFlight: 8, MaxTokens: 1}}}}
	if err := s.Apply(f); err != nil {
		t.Fatal(err)
	}
	s.Platform.SetFaults(platformtest.Faults{DelayMillis: 3000})
	start := time.Now()
	status, v := callOnce(t, s.Entries[0].Addr(), "slow-1")
	took := time.Since(start)
	s.Platform.SetFaults(platformtest.Faults{})
	if status != http.StatusServiceUnavailable || v != verdict.NotRun || took > 2*time.Second {
		t.Fatalf("got status %d and verdict %s after %v, want 503 and not_run within 2s", status, v, took)
	}
	if n := s.Executions()["slow-1"]; n != 0 {
		t.Fatalf("rejected call ran %d times, want 0", n)
	}
}

// loadVersion orders engine i of s to load version v.
func loadVersion(s *site.Site, i int, v uint64) error {
	return engine.NewClient(s.EngineAddrs[i], nil).Load(context.Background(), engine.LoadOrder{Version: v})
}

// If the platform serves reads from an old copy, an instance must not revert changes that
// it has already applied.
func TestStaleReadsRevertNothing(t *testing.T) {
	s := startSite(t, 1, 0, enginetest.Config{WeightVersion: 1})
	// Full reads all the time, so that the old rows are actually read.
	if err := s.StartEntryWith("scans", func(c *entry.Config) { c.FullReadInterval = c.RefreshInterval }); err != nil {
		t.Fatal(err)
	}
	in := s.Entries[0]
	waitFor(t, 5*time.Second, "the instance to apply the catalogue", func() bool { return len(in.View().Pools) == 2 })
	s.Platform.SnapshotRows()
	setTarget(t, s, 0, 2)
	setUpstreams(t, s, "assistant-pool", s.EngineAddrs[0], "127.0.0.1:9")
	waitFor(t, 5*time.Second, "the instance to apply the change and the target version", func() bool { return in.View().Targets["assistant-pool"].Version == 2 })
	s.Platform.SetFaults(platformtest.Faults{StaleReads: true})
	before := s.Platform.Stats().Reads
	waitFor(t, 5*time.Second, "20 reads of the old copy", func() bool { return s.Platform.Stats().Reads > before+20 })
	if v := in.View(); len(v.Pools["assistant-pool"].Upstreams) != 2 || v.Targets["assistant-pool"].Version != 2 {
		t.Fatalf("instance reverted to pool %+v and target %+v", v.Pools["assistant-pool"], v.Targets["assistant-pool"])
	}
}

// The caller's own timeout must be honoured with a response that has a verdict, and a
// malformed timeout must be rejected.
func TestCallerDeadline(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	for _, svc := range s.Services {
		svc.Delay(5 * time.Second)
	}
	for header, want := range map[string]int{"200": http.StatusGatewayTimeout, "soon": http.StatusBadRequest, "-1": http.StatusBadRequest} {
		body := `{"customer":"minho","entry":"plans","method":"log_plan","key":"late` + header + `","body":{}}`
		req, _ := http.NewRequest(http.MethodPost, "http://"+s.Entries[0].Addr()+"/v1/call", strings.NewReader(body))
		req.Header.Set(entry.TimeoutHeader, header)
		start := time.Now()
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want || time.Since(start) > 3*time.Second {
			t.Errorf("timeout %q: got status %d after %v, want %d within 3s", header, resp.StatusCode, time.Since(start), want)
		}
		if resp.Header.Get(verdict.Header) == "" {
			t.Errorf("timeout %q: response has no verdict", header)
		}
	}
}

// Requests for an entry that was removed from the catalogue must get status 404.
func TestRemovedEntryIsNotServed(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	key := catalogue.EntryPrefix + "chat"
	if err := catalogue.Remove(context.Background(), platform.NewClient(s.PlatformURL, nil), key, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: "gone", Prompt: "p", MaxTokens: 1}
	waitFor(t, 5*time.Second, "status 404 for the removed entry", func() bool {
		status, _, _ := generate(t, s.Entries[0].Addr(), req)
		return status == http.StatusNotFound
	})
}

// While the platform is unavailable, instances must serve from the last catalogue. Only
// requests that must first be stored there are rejected, promptly and as not_run. A sample
// generated meanwhile must reach its trainer afterwards.
func TestServingWhilePlatformDown(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1})
	waitFor(t, 5*time.Second, "the instance to see two members", func() bool { return len(s.Entries[0].View().Members) == 2 })
	s.Platform.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond) // longer than every lease
	for i, in := range s.Entries {
		if status, _, last := generate(t, in.Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("down-", i),
			Prompt: "p", MaxTokens: 3}); status != http.StatusOK || !last.Done {
			t.Fatalf("generate: got status %d and last event %+v, want a complete response", status, last)
		}
		if status := lookup(t, in.Addr(), fmt.Sprint("down-", i)); status != http.StatusOK {
			t.Fatalf("lookup: got status %d, want 200", status)
		}
		if status, v := callOnce(t, in.Addr(), fmt.Sprint("down-", i)); status != http.StatusServiceUnavailable || v != verdict.NotRun {
			t.Fatalf("non-idempotent call: got status %d and verdict %s, want 503 and not_run", status, v)
		}
		if _, err := entry.NewClient(in.Addr(), nil).Route(context.Background(), "minho", "a"); err != nil {
			t.Fatal(err)
		}
	}
	generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "kept", Prompt: "p", MaxTokens: 3})
	time.Sleep(300 * time.Millisecond) // long enough for a delivery to be noticed
	if n := len(s.Trainer.Received()); n != 0 {
		t.Fatalf("got %d samples delivered without a record, want 0", n)
	}
	s.Platform.SetFaults(platformtest.Faults{})
	waitFor(t, 5*time.Second, "the sample at the trainer", func() bool { return len(s.Trainer.Received()) == 1 })
}
