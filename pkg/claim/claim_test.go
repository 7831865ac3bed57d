package claim_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/claim"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// A claim whose call was never sent passes to another attempt, one whose call may have
// been sent does not, and one that is done returns its answer, also 23 hours later. A
// call with the same key and another request is refused.
func TestClaim(t *testing.T) {
	hs := httptest.NewServer(platformtest.New().Handler())
	defer hs.Close()
	ctx, store := context.Background(), platform.NewClient(hs.URL, nil)
	now := clock.NewFake(time.Unix(1_800_000_000, 0))
	cfg := claim.Config{Get: store.Get, Commit: store.Commit, Clock: now, Timeout: time.Second, RetryAt: now.Now}
	first, second := claim.New(cfg, "a/1", "minho/plans/k", "d"), claim.New(cfg, "b/1", "minho/plans/k", "d")
	row, _, err := first.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	claimed, answer, err := second.Acquire(ctx)
	if err != nil || answer != nil {
		t.Fatalf("Acquire by a second attempt: got answer %s, %v, want none", answer, err)
	}
	if _, err := first.SetState(ctx, row, claim.Sending, nil); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("SetState after another attempt took the claim over: got %v, want a NotRun error", err)
	}
	if claimed, err = second.SetState(ctx, claimed, claim.Sending, nil); err != nil {
		t.Fatal(err)
	}
	if _, _, err := claim.New(cfg, "c/1", "minho/plans/k", "d").Acquire(ctx); verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("Acquire of a claim that is sending: got %v, want a MayHaveRun error", err)
	}
	if _, err := second.SetState(ctx, claimed, claim.Done, json.RawMessage(`"answer"`)); err != nil {
		t.Fatal(err)
	}
	now.Advance(23 * time.Hour)
	if _, answer, err := claim.New(cfg, "d/1", "minho/plans/k", "d").Acquire(ctx); err != nil || string(answer) != `"answer"` {
		t.Fatalf("Acquire of a claim that is done: got answer %s, %v, want %q", answer, err, `"answer"`)
	}
	if _, _, err := claim.New(cfg, "e/1", "minho/plans/k", "other").Acquire(ctx); !errors.Is(err, claim.ErrOtherRequest) || verdict.Of(err) != verdict.NotRun {
		t.Fatalf("Acquire for another request: got %v, want a NotRun error that wraps ErrOtherRequest", err)
	}
}
