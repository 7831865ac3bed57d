package entry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// fataler is the part of testing.TB and *rapid.T that callOnce uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// callOnce sends one non-idempotent call and returns its status and verdict.
func callOnce(t fataler, addr, key string) (int, verdict.Verdict) {
	b, _ := json.Marshal(entry.CallRequest{Customer: "minho", Entry: "plans", Method: "log_plan", Key: key,
		Body: json.RawMessage(`{"months":6}`)})
	resp, err := http.Post("http://"+addr+"/v1/call", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatalf("call %s: %v", key, err)
	}
	defer resp.Body.Close()
	v, err := verdict.Parse(resp.Header.Get(verdict.Header))
	if err != nil {
		t.Fatalf("call %s: status %d without a verdict", key, resp.StatusCode)
	}
	return resp.StatusCode, v
}

// fault is a failure injected during a call.
type fault int

const (
	noFault fault = iota
	serviceReplyLost
	claimReplyLost
	platformDown
	serviceRefuses
	allServicesRefuse
)

// Non-idempotent calls are retried at any instance while responses are lost and the
// platform is unavailable. Each key runs at most once, the verdicts not_run and ran are
// correct, and after the faults a key that has not run can still run.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	s := startSite(t, 1, 2, enginetest.Config{})
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		keys := []string{fmt.Sprintf("r%d-a", round), fmt.Sprintf("r%d-b", round)}
		rt.Repeat(map[string]func(*rapid.T){
			"call": func(rt *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(rt, "key")
				at := rapid.IntRange(0, len(s.Entries)-1).Draw(rt, "instance")
				f := fault(rapid.IntRange(0, int(allServicesRefuse)).Draw(rt, "fault"))
				before := s.Executions()[key]
				inject(s, f)
				status, v := callOnce(rt, s.Entries[at].Addr(), key)
				inject(s, noFault)
				after := s.Executions()[key]
				switch {
				case after > 1:
					rt.Fatalf("%s ran %d times, want at most 1", key, after)
				case v == verdict.NotRun && after != before:
					rt.Fatalf("%s ran but got verdict not_run (status %d)", key, status)
				case v == verdict.Ran && status == http.StatusOK && after != 1:
					rt.Fatalf("%s got verdict ran but ran %d times, want 1", key, after)
				}
			},
		})
		for _, key := range keys {
			if s.Executions()[key] > 0 {
				continue
			}
			if status, v := callOnce(rt, s.Entries[0].Addr(), key); status != http.StatusOK || s.Executions()[key] != 1 {
				rt.Fatalf("%s without faults: got status %d and verdict %s, want 200 and one execution", key, status, v)
			}
		}
	})
}

// inject injects f. With noFault it clears all faults.
func inject(s *site.Site, f fault) {
	for _, svc := range s.Services {
		svc.LoseReplies(0)
		svc.Refuse(0)
	}
	s.Platform.SetFaults(platformtest.Faults{})
	switch f {
	case serviceReplyLost:
		for _, svc := range s.Services {
			svc.LoseReplies(1)
		}
	case claimReplyLost:
		s.Platform.SetFaults(platformtest.Faults{LoseReplies: 1, LosePrefix: "claim/"})
	case platformDown:
		s.Platform.SetFaults(platformtest.Faults{Down: true})
	case serviceRefuses:
		s.Services[0].Refuse(1)
	case allServicesRefuse:
		for _, svc := range s.Services {
			svc.Refuse(1)
		}
	}
}
