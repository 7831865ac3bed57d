package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/crashtest"
	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// sharedWithin is how long after a request has crashed the third upstream all instances
// must know of it, and allowedRuns how often it may run after that.
const (
	sharedWithin = 3 * time.Second
	allowedRuns  = 3
)

// crashSite is a site of three engines, two services and two instances, whose upstreams
// crash under requests that hold the word poison.
func crashSite(t *testing.T) (*site.Site, *crashtest.Poison) {
	p := &crashtest.Poison{After: 20 * time.Millisecond, Match: func(body []byte) bool { return bytes.Contains(body, []byte("poison")) }}
	return startSiteWith(t, 3, 2, enginetest.Config{WeightVersion: 1}, func(cfg *site.Config) { cfg.Poison, cfg.RestartAfter = p, 250*time.Millisecond }), p
}

// checkPoison checks how often poison ran once both instances must have known of it.
func checkPoison(t *testing.T, s *site.Site, p *crashtest.Poison) {
	t.Helper()
	ends := s.Crashes()
	if len(ends) < 3 {
		t.Fatalf("%d upstreams ended, want three to begin with", len(ends))
	}
	late := 0
	for _, at := range p.Runs() {
		if at.Sub(ends[2]) > sharedWithin {
			late++
		}
	}
	t.Logf("ran %d times later than %v after it had crashed the third upstream; %d ended in all", late, sharedWithin, len(ends))
	if late > allowedRuns {
		t.Errorf("ran %d times later than %v after it had crashed the third upstream, want %d at most", late, sharedWithin, allowedRuns)
	}
}

// pester sends poison to both instances in turn for as long again after they must know
// of it, under a new key each time.
func pester(s *site.Site, send func(addr, key string)) {
	for i, end := 0, time.Now().Add(2*sharedWithin); time.Now().Before(end); i++ {
		send(s.Entries[i%2].Addr(), fmt.Sprintf("poison-%d", i))
		time.Sleep(30 * time.Millisecond)
	}
}

// One call crashed each service that ran it, came again under a new key, and was sent
// to every service each time, as nothing connected it with the calls before. Idempotent
// calls were also hedged: a second service got a copy while the first was crashing.
func TestCallThatCrashesServicesIsQuarantined(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "once": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, p := crashSite(t)
			for i := range 30 { // until calls are hedged
				lookup(t, s.Entries[i%2].Addr(), fmt.Sprint("balance-", i))
			}
			call := func(addr, key, body string) int {
				_, err := entry.NewClient(addr, nil).Call(context.Background(), entry.CallRequest{Customer: "minho", Entry: "plans",
					Method: "balance", Key: key, Idempotent: idempotent, Body: json.RawMessage(body)})
				return statusOf(t, err)
			}
			pester(s, func(addr, key string) { call(addr, key, `"poison"`) })
			checkPoison(t, s, p)
			for i, in := range s.Entries {
				if status := call(in.Addr(), fmt.Sprint("other-", i), `"another"`); status != http.StatusOK {
					t.Errorf("another call got %d", status)
				}
				if status := call(in.Addr(), fmt.Sprint("last-", i), `"poison"`); status != http.StatusServiceUnavailable {
					t.Errorf("the call in quarantine got %d, want 503", status)
				}
			}
		})
	}
}

// The same as a generation of a caller's.
func TestGenerationThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	s, p := crashSite(t)
	pester(s, func(addr, key string) {
		generate(t, addr, entry.GenerateRequest{Customer: "minho", Entry: "chat", RequestID: key, Prompt: "poison", MaxTokens: 8})
	})
	checkPoison(t, s, p)
}

// The same as a group of steps, which instances make again until the step is due. The
// other groups are made.
func TestSampleThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	s, p := crashSite(t)
	for i := range 2 {
		spec := stepSpec(fmt.Sprint("step-", i), 3, 2, 2)
		spec.Groups[0] = step.Group{ID: spec.ID + "-poison", Prompt: "poison", Size: 2, MaxTokens: 8}
		spec.Desired = 3
		spec.Deadline = time.Now().Add(sharedWithin + time.Second).UTC()
		if status := submit(t, s, i, spec); status != http.StatusOK {
			t.Fatalf("answered %d", status)
		}
		time.Sleep(sharedWithin)
	}
	time.Sleep(sharedWithin / 2)
	checkPoison(t, s, p)
	if n := wholeGroups(t, s, 2); n != 4 {
		t.Errorf("%d groups are whole, want the four others", n)
	}
}
