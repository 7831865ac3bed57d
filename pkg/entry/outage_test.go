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

// No training sample is older than its entry allows: with engines on
// versions 1 and 5 and a lag of 1, no generation is labelled 1, at the
// caller or at the trainer.
func TestNoSampleBeyondTheStalenessBound(t *testing.T) {
	s := startSite(t, 3, 1, enginetest.Config{WeightVersion: 5})
	if err := loadVersion(s, 0, 1); err != nil {
		t.Fatal(err)
	}
	waitFor(t, 5*time.Second, "reports of both versions", func() bool {
		v := s.Entries[0].View()
		rep, _ := v.Report(s.EngineAddrs[0])
		return v.NewestVersions["assistant-pool"] == 5 && rep.WeightVersion == 1
	})
	for i := 0; i < 12; i++ {
		req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: fmt.Sprint("stale-", i),
			Prompt: fmt.Sprint("prompt ", i), MaxTokens: 2}
		if _, _, last := generate(t, s.Entries[0].Addr(), req); !last.Done || last.WeightVersions[0] < 4 {
			t.Fatalf("request %d labelled %v (done %t); bound is 4", i, last.WeightVersions, last.Done)
		}
	}
	waitFor(t, 5*time.Second, "samples at the trainer", func() bool { return len(s.Trainer.Received()) == 12 })
	for _, r := range s.Trainer.Received() {
		if r.Sample.WeightVersions[0] < 4 {
			t.Fatalf("trainer holds %s labelled %v", r.Sample.ID, r.Sample.WeightVersions)
		}
	}
}

// A non-idempotent call meets a platform that answers only after seconds:
// the caller gets its final answer within the platform timeout, not_run
// with Retry-After, and the call was not sent.
func TestSlowPlatformGetsAPromptRefusal(t *testing.T) {
	s, err := site.Start(site.Config{Engines: 1, Entries: 1,
		Entry: entry.Config{Refresh: 50 * time.Millisecond, Tick: 10 * time.Millisecond, PlatformTimeout: 300 * time.Millisecond}})
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
		t.Fatalf("answered %d %s after %v; want 503 not_run within 2 s", status, v, took)
	}
	if n := s.Executions()["slow-1"]; n != 0 {
		t.Fatalf("refused call ran %d times", n)
	}
}

// loadVersion orders engine i of s to load version v.
func loadVersion(s *site.Site, i int, v uint64) error {
	return engine.NewClient(s.EngineAddrs[i], nil).Load(context.Background(), engine.LoadOrder{Version: v})
}

// A platform that answers reads from an old copy takes no accepted change
// back: the instance keeps the newest it has applied.
func TestOldReadsRevertNothing(t *testing.T) {
	s := startSite(t, 1, 0, enginetest.Config{WeightVersion: 1})
	// Whole scans all the time, so that the old rows themselves are read.
	if err := s.StartEntryWith("scans", func(c *entry.Config) { c.FullReadInterval = c.Refresh }); err != nil {
		t.Fatal(err)
	}
	in := s.Entries[0]
	waitFor(t, 5*time.Second, "the catalogue applied", func() bool { return len(in.View().Pools) == 2 })
	s.Platform.SnapshotRows()
	nameVersion(t, s, 0, 2)
	setUpstreams(t, s, "assistant-pool", s.EngineAddrs[0], "127.0.0.1:9")
	waitFor(t, 5*time.Second, "the change and the version applied", func() bool { return in.View().Targets["assistant-pool"].Version == 2 })
	s.Platform.SetFaults(platformtest.Faults{StaleReads: true})
	before := s.Platform.Stats().Reads
	waitFor(t, 5*time.Second, "twenty reads of the old copy", func() bool { return s.Platform.Stats().Reads > before+20 })
	if v := in.View(); len(v.Pools["assistant-pool"].Upstreams) != 2 || v.Targets["assistant-pool"].Version != 2 {
		t.Fatalf("the instance went back: %+v, target %+v", v.Pools["assistant-pool"], v.Targets["assistant-pool"])
	}
}

// A caller's own deadline holds: the final answer comes when it passes, with
// a verdict, and a deadline that makes no sense is refused.
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
			t.Errorf("deadline %q: answered %d after %v, want %d", header, resp.StatusCode, time.Since(start), want)
		}
		if resp.Header.Get(verdict.Header) == "" {
			t.Errorf("deadline %q: no verdict", header)
		}
	}
}

// An entry removed from the catalogue is no longer served, and its callers
// are told so.
func TestRemovedEntryIsNotServed(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	key := catalogue.EntryPrefix + "chat"
	if err := catalogue.Remove(context.Background(), platform.NewClient(s.PlatformURL, nil), key, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	req := entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: "gone", Prompt: "p", MaxTokens: 1}
	waitFor(t, 5*time.Second, "404 for the removed entry", func() bool {
		status, _, _ := generate(t, s.Entries[0].Addr(), req)
		return status == http.StatusNotFound
	})
}

// While the platform is down, for however long, callers are served from the
// last catalogue; only what must be kept there first is refused, at once and
// as not run; and a sample made meanwhile reaches its trainer afterwards.
func TestPlatformDownKeepsServing(t *testing.T) {
	s := startSite(t, 2, 2, enginetest.Config{WeightVersion: 1})
	waitFor(t, 5*time.Second, "membership", func() bool { return len(s.Entries[0].View().Members) == 2 })
	s.Platform.SetFaults(platformtest.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond) // longer than every lease
	for i, in := range s.Entries {
		if status, _, last := generate(t, in.Addr(), entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: fmt.Sprint("down-", i),
			Prompt: "p", MaxTokens: 3}); status != http.StatusOK || !last.Done {
			t.Fatalf("generation answered %d %+v", status, last)
		}
		if status := lookup(t, in.Addr(), fmt.Sprint("down-", i)); status != http.StatusOK {
			t.Fatalf("lookup answered %d", status)
		}
		if status, v := callOnce(t, in.Addr(), fmt.Sprint("down-", i)); status != http.StatusServiceUnavailable || v != verdict.NotRun {
			t.Fatalf("call that may run once answered %d %s", status, v)
		}
		if _, err := entry.NewClient(in.Addr(), nil).Route(context.Background(), "minho", "a"); err != nil {
			t.Fatal(err)
		}
	}
	generate(t, s.Entries[0].Addr(), entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "kept", Prompt: "p", MaxTokens: 3})
	time.Sleep(300 * time.Millisecond) // a send beside the caller's answer would show
	if n := len(s.Trainer.Received()); n != 0 {
		t.Fatalf("%d samples delivered without a record", n)
	}
	s.Platform.SetFaults(platformtest.Faults{})
	waitFor(t, 5*time.Second, "the sample delivered", func() bool { return len(s.Trainer.Received()) == 1 })
}
