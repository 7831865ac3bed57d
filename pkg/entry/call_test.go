package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// lookup sends one idempotent call and returns the response status.
func lookup(t testing.TB, addr, key string) int {
	t.Helper()
	_, err := entry.NewClient(addr, nil).Call(context.Background(), entry.CallRequest{Customer: "minho", Entry: "plans",
		Method: "balance", Key: key, Idempotent: true, Body: json.RawMessage(`{}`)})
	return statusOf(t, err)
}

// Both idempotent and non-idempotent calls must go to the remaining service if the other
// one has crashed, and run there once.
func TestCallsAvoidCrashedService(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	s.CrashService(0)
	for i := 0; i < 12; i++ {
		key := fmt.Sprint("plan-", i)
		if status, v := callOnce(t, s.Entries[0].Addr(), key); status != http.StatusOK || v != verdict.Ran {
			t.Fatalf("call %d: got status %d and verdict %s, want 200 and ran", i, status, v)
		}
		if n := s.Executions()[key]; n != 1 {
			t.Fatalf("call %d ran %d times, want 1", i, n)
		}
		if status := lookup(t, s.Entries[0].Addr(), fmt.Sprint("balance-", i)); status != http.StatusOK {
			t.Fatalf("lookup %d: got status %d, want 200", i, status)
		}
	}
}

// Idempotent calls whose responses are lost must be retried immediately.
func TestIdempotentCallIsRetried(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	for i := 0; i < 6; i++ {
		s.Services[i%2].LoseReplies(1)
		if status := lookup(t, s.Entries[0].Addr(), fmt.Sprint("balance-", i)); status != http.StatusOK {
			t.Fatalf("lookup %d: got status %d, want 200", i, status)
		}
	}
}

// If every response is lost, the retry budget must limit the retries, so that calls are not
// all sent three times.
func TestRetryBudget(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	for _, svc := range s.Services {
		svc.LoseReplies(1 << 20)
	}
	const calls = 400
	for i := 0; i < calls; i++ {
		lookup(t, s.Entries[0].Addr(), fmt.Sprint("balance-", i))
	}
	ran := 0
	for _, n := range s.Executions() {
		ran += n
	}
	if most := calls + 100 + calls/5; ran > most {
		t.Fatalf("%d calls were sent %d times, want at most %d", calls, ran, most)
	}
}

// Calls to a service that has become slow must be hedged: the other service responds long
// before the slow one.
func TestSlowServiceIsHedged(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	for i := 0; i < 40; i++ {
		lookup(t, s.Entries[0].Addr(), fmt.Sprint("warm-", i))
	}
	s.Services[0].Delay(10 * time.Second)
	start := time.Now()
	for i := 0; i < 8; i++ {
		if status := lookup(t, s.Entries[0].Addr(), fmt.Sprint("balance-", i)); status != http.StatusOK {
			t.Fatalf("lookup %d: got status %d, want 200", i, status)
		}
	}
	if took := time.Since(start); took > 8*time.Second {
		t.Fatalf("8 lookups with one of two services delayed by 10s took %v, want at most 8s", took)
	}
}

// Claims are stored by day. A call must run only once if instances whose clocks are on
// different sides of midnight get it, whichever gets it first.
func TestClaimIsFoundAcrossMidnight(t *testing.T) {
	midnight := time.Now().UTC().Truncate(24 * time.Hour)
	s := startSite(t, 1, 0, enginetest.Config{})
	for id, offset := range map[string]time.Duration{"before": -time.Minute, "after": time.Minute, "next-day": 23 * time.Hour} {
		err := s.StartEntryWith(id, func(c *entry.Config) { c.Clock = shiftedClock(time.Until(midnight.Add(offset))) })
		if err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, 5*time.Second, "all instances to apply the catalogue", func() bool {
		return !slices.ContainsFunc(s.Entries, func(in *entry.Instance) bool { return len(in.View().Entries) == 0 })
	})
	for first := range s.Entries {
		key := fmt.Sprint("midnight-", first)
		for i := range s.Entries {
			if status, v := callOnce(t, s.Entries[(first+i)%len(s.Entries)].Addr(), key); status != http.StatusOK || v != verdict.Ran {
				t.Fatalf("%s: got status %d and verdict %s, want 200 and ran", key, status, v)
			}
		}
		if n := s.Executions()[key]; n != 1 {
			t.Fatalf("%s ran %d times, want 1", key, n)
		}
	}
}

// shiftedClock is the system clock with an offset.
type shiftedClock time.Duration

func (s shiftedClock) Now() time.Time { return time.Now().Add(time.Duration(s)) }

// Claims older than the retention period must be deleted, and the others kept.
func TestExpiredClaimsAreDeleted(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	for ago := range 6 {
		for i := range 150 {
			s.Platform.Put(fmt.Sprintf("claim/%s/minho/plans/k%d", time.Now().UTC().AddDate(0, 0, -ago).Format(time.DateOnly), i), "claim")
		}
	}
	waitFor(t, 10*time.Second, "the claims of three of six days to be deleted", func() bool { return len(s.Platform.Rows("claim/")) == 3*150 })
	time.Sleep(300 * time.Millisecond) // several more purges
	if n := len(s.Platform.Rows("claim/")); n != 3*150 {
		t.Fatalf("got %d claims after more purges, want 450", n)
	}
}

// Guards against a call that may run once and whose recorded response is not returned to a
// caller who repeats it, because it is large.
func TestLargeResponseIsReplayed(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{})
	body, err := json.Marshal(strings.Repeat("x", 8<<10))
	if err != nil {
		t.Fatal(err)
	}
	req := entry.CallRequest{Customer: "minho", Entry: "plans", Method: "log_plan", Key: "large", Body: body}
	client := entry.NewClient(s.Entries[0].Addr(), nil)
	first, err := client.Call(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := client.Call(t.Context(), req); err != nil || !again.Replayed || string(again.Body) != string(first.Body) {
		t.Errorf("repeated call: got %d bytes, replayed %v, %v, want the %d bytes of the first", len(again.Body), again.Replayed, err, len(first.Body))
	}
	if n := s.Executions()["large"]; n != 1 {
		t.Errorf("the call ran %d times, want 1", n)
	}
}
