package entry_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// startSite starts a site with the given numbers of engines and entry instances, and a
// catalogue with a training, an interactive and a service entry of customer minho.
func startSite(t testing.TB, engines, entries int, ec enginetest.Config) *site.Site {
	t.Helper()
	return startSiteWith(t, engines, entries, ec, func(*site.Config) {})
}

// startSiteWith is like startSite but calls adjust to change the site's configuration.
func startSiteWith(t testing.TB, engines, entries int, ec enginetest.Config, adjust func(*site.Config)) *site.Site {
	t.Helper()
	if ec.TokenInterval == 0 {
		ec.TokenInterval = time.Millisecond
	}
	cfg := site.Config{Engines: engines, Services: 2, Entries: entries, Engine: ec,
		Entry: entry.Config{RefreshInterval: 50 * time.Millisecond, TickInterval: 10 * time.Millisecond, ReportInterval: 50 * time.Millisecond,
			IdleTimeout: 200 * time.Millisecond, SweepInterval: 50 * time.Millisecond,
			MaxInFlight: 60, DrainNotice: 20 * time.Millisecond, PurgeInterval: 50 * time.Millisecond, PeerKeepAlive: 100 * time.Millisecond, RolloutPollInterval: 20 * time.Millisecond, PoolPollInterval: 100 * time.Millisecond, ReportLag: 50 * time.Millisecond,
			RolloutLeaseTTL: time.Second, ShardLeaseTTL: time.Second, ShardGroups: 4, StepTickInterval: 5 * time.Millisecond,
			StepRefreshInterval: 100 * time.Millisecond, LeaseTTL: time.Second}}
	adjust(&cfg)
	s, err := site.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := catalogue.File{
		Pools: []catalogue.Pool{s.EnginePool("assistant-pool"), s.ServicePool("desk-app")},
		Entries: []catalogue.Entry{
			{Name: "drafts", Owner: "minho", Class: catalogue.Training, Pool: "assistant-pool",
				Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 256}, Trainer: s.TrainerAddr, MaxVersionLag: 1},
			{Name: "chat", Owner: "minho", Class: catalogue.Interactive, Pool: "assistant-pool",
				Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 256}},
			{Name: "plans", Owner: "minho", Class: catalogue.Interactive, Pool: "desk-app",
				Limits: catalogue.Limits{MaxInFlight: 64, MaxTokens: 1}},
		},
	}
	if err := s.Apply(f); err != nil {
		t.Fatal(err)
	}
	return s
}

// generate sends req to the instance at addr and returns the response's status, text and
// last event.
func generate(t testing.TB, addr string, req entry.GenerateRequest) (int, string, entry.Event) {
	t.Helper()
	a, err := entry.NewClient(addr, nil).Generate(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return a.Status, a.Text, a.Last
}

// statusOf returns the HTTP status that err describes, which is 200 if err is nil.
func statusOf(t testing.TB, err error) int {
	t.Helper()
	var e *verdict.Error
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &e) && e.Status != 0:
		return e.Status
	}
	t.Fatal(err)
	return 0
}

func TestGenerateRecordsVersionAndDeliversOnce(t *testing.T) {
	s := startSite(t, 3, 2, enginetest.Config{WeightVersion: 4})
	req := entry.GenerateRequest{Customer: "minho", Entry: "drafts", RequestID: "r1", Prompt: "hello", MaxTokens: 20}
	status, text, last := generate(t, s.Entries[0].Addr(), req)
	if status != http.StatusOK || !last.Done || last.Tokens != 20 || text == "" {
		t.Fatalf("got status %d and last event %+v, want 200 and 20 tokens", status, last)
	}
	if len(last.WeightVersions) != 1 || last.WeightVersions[0] != 4 {
		t.Fatalf("got weight versions %v, want [4]", last.WeightVersions)
	}
	// The sample is sent after the response, but recorded before it.
	deadline := time.Now().Add(5 * time.Second)
	for len(s.Trainer.Received()) == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // long enough for a second delivery to be noticed
	got := s.Trainer.Received()
	if len(got) != 1 || got[0].Deliveries != 1 || got[0].Sample.ID != last.SampleID || got[0].Sample.Text != text {
		t.Fatalf("trainer got %+v, want one delivery of the response's sample", got)
	}
}

func TestInvalidGenerateIsRejected(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	cases := map[string]struct {
		body string
		want int
	}{
		"malformed":        {`{"customer":`, http.StatusBadRequest},
		"unknown field":    {`{"customer":"minho","bogus":1}`, http.StatusBadRequest},
		"unknown entry":    {`{"customer":"minho","entry":"nope","request_id":"a","max_tokens":1}`, http.StatusNotFound},
		"other's entry":    {`{"customer":"rodokmen","entry":"drafts","request_id":"a","max_tokens":1}`, http.StatusNotFound},
		"over token limit": {`{"customer":"minho","entry":"drafts","request_id":"a","max_tokens":9999}`, http.StatusBadRequest},
		"oversized":        {`{"customer":"` + string(bytes.Repeat([]byte("a"), 2<<20)) + `"}`, http.StatusRequestEntityTooLarge},
	}
	for name, c := range cases {
		resp, err := http.Post("http://"+s.Entries[0].Addr()+"/v1/generate", "application/json", bytes.NewBufferString(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want || resp.Header.Get(verdict.Header) != "not_run" {
			t.Errorf("%s: got status %d and verdict %q, want %d and not_run", name, resp.StatusCode, resp.Header.Get(verdict.Header), c.want)
		}
	}
	if n := s.Engines[0].Requests(); n != 0 {
		t.Errorf("engine got %d requests for rejected input, want 0", n)
	}
}
