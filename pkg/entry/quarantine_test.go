package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/crashtest"
	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// Bounds on the spread of the quarantine to all instances.
const (
	sharedWithin = 3 * time.Second // after the request crashed the third upstream
	allowedRuns  = 3               // executions of the request after that time
)

// crashSite returns a site of three engines, two services and two instances. Its upstreams
// crash while they process a request that contains the word poison.
func crashSite(t *testing.T) (*site.Site, *crashtest.Poison) {
	p := &crashtest.Poison{CrashDelay: 20 * time.Millisecond, Match: func(body []byte) bool { return bytes.Contains(body, []byte("poison")) }}
	return startSiteWith(t, 3, 2, enginetest.Config{WeightVersion: 1}, func(cfg *site.Config) { cfg.Poison, cfg.RestartAfter = p, 250*time.Millisecond }), p
}

// checkPoison checks how often the poison request ran after both instances must have known
// about it.
func checkPoison(t *testing.T, s *site.Site, p *crashtest.Poison) {
	t.Helper()
	crashes := s.Crashes()
	if len(crashes) < 3 {
		t.Fatalf("got %d crashes, want at least 3", len(crashes))
	}
	late := 0
	for _, at := range p.StartTimes() {
		if at.Sub(crashes[2]) > sharedWithin {
			late++
		}
	}
	t.Logf("poison ran %d times later than %v after the third crash; %d crashes in total", late, sharedWithin, len(crashes))
	if late > allowedRuns {
		t.Errorf("poison ran %d times later than %v after the third crash, want at most %d", late, sharedWithin, allowedRuns)
	}
}

// sendRepeatedly sends the poison request to both instances in turn for 2*sharedWithin,
// with a new key each time.
func sendRepeatedly(s *site.Site, send func(addr, key string)) {
	for i, end := 0, time.Now().Add(2*sharedWithin); time.Now().Before(end); i++ {
		send(s.Entries[i%2].Addr(), fmt.Sprintf("poison-%d", i))
		time.Sleep(30 * time.Millisecond)
	}
}

// A call crashed each service that ran it, was repeated by its caller with a new key, and
// was sent to every service again, because nothing identified it as the same call.
// Idempotent calls were also hedged, so that a second service got the call while the first
// was crashing.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "once": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, p := crashSite(t)
			for i := range 30 { // enough for calls to be hedged
				lookup(t, s.Entries[i%2].Addr(), fmt.Sprint("balance-", i))
			}
			call := func(addr, key, body string) int {
				_, err := entry.NewClient(addr, nil).Call(context.Background(), entry.CallRequest{Customer: "minho", Entry: "plans",
					Method: "balance", Key: key, Idempotent: idempotent, Body: json.RawMessage(body)})
				return statusOf(t, err)
			}
			sendRepeatedly(s, func(addr, key string) { call(addr, key, `"poison"`) })
			checkPoison(t, s, p)
			for i, in := range s.Entries {
				if status := call(in.Addr(), fmt.Sprint("other-", i), `"another"`); status != http.StatusOK {
					t.Errorf("another call: got status %d, want 200", status)
				}
				// A trial may be due now. It counts among the allowed runs, and none is due
				// right after it.
				started := len(p.StartTimes())
				status := call(in.Addr(), fmt.Sprint("last-", i), `"poison"`)
				if len(p.StartTimes()) == started+1 && status == http.StatusBadGateway {
					t.Logf("call %d after the others was a trial", i)
					status = call(in.Addr(), fmt.Sprint("after-trial-", i), `"poison"`)
				}
				if status != http.StatusServiceUnavailable {
					t.Errorf("quarantined call: got status %d, want 503", status)
				}
			}
			checkPoison(t, s, p)
		})
	}
}

// A generation that crashes engines must be quarantined too.
func TestGenerationThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	s, p := crashSite(t)
	sendRepeatedly(s, func(addr, key string) {
		generate(t, addr, entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: key, Prompt: "poison", MaxTokens: 8})
	})
	checkPoison(t, s, p)
}

// bystanderRuns is how many engines crash under a sample, for another reason, before one completes
// it. That is more than a request may crash upstreams, its trials included.
const bystanderRuns = 12

// Guards against a sample of a step that is never generated again after several engines
// crashed while they generated it: its group was missing in the step and in later steps.
func TestSampleUnderWhichEnginesCrashedIsGeneratedAgain(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	p := &crashtest.Poison{CrashDelay: 20 * time.Millisecond, Match: func(body []byte) bool {
		return bytes.Contains(body, []byte("bystander")) && runs.Add(1) <= bystanderRuns
	}}
	s := startSiteWith(t, 3, 2, enginetest.Config{WeightVersion: 1}, func(cfg *site.Config) { cfg.Poison, cfg.RestartAfter = p, 250*time.Millisecond })
	for i := range 2 { // the second step in calm, with the same bytes
		spec := stepSpec(fmt.Sprint("step-", i), 3, 1, 2)
		spec.Groups[0] = step.Group{ID: spec.ID + "-bystander", Prompt: "bystander", Size: 1, MaxTokens: 8}
		spec.Desired = 3
		spec.Deadline = time.Now().Add(2 * sharedWithin).UTC()
		if status := submit(t, s, i, spec); status != http.StatusOK {
			t.Fatalf("submit: got status %d, want 200", status)
		}
		waitFor(t, 2*sharedWithin, "the groups of "+spec.ID, func() bool { return completeGroups(t, s, 1) == 3*(i+1) })
	}
	if n := runs.Load(); n < bystanderRuns+2 {
		t.Errorf("got %d runs of the samples, want %d under which engines crashed and one for each step", n, bystanderRuns)
	}
}
