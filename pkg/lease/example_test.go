package lease_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

// A lease passes to another holder once its row has been unchanged for its TTL, and
// gets a higher fencing token.
func ExampleManager() {
	hs := httptest.NewServer(platformtest.New().Handler())
	defer hs.Close()
	ctx, fake := context.Background(), clock.NewFake(time.Unix(1_800_000_000, 0))
	newManager := func(holder string) *lease.Manager {
		return &lease.Manager{Table: platform.NewClient(hs.URL, nil), Clock: fake, Name: "rollout/assistant-pool", Holder: holder, TTL: 3 * time.Second}
	}
	a, b := newManager("entry-1"), newManager("entry-2")
	first, _ := a.Acquire(ctx, nil)
	_, err := b.Acquire(ctx, nil)
	fmt.Println("held by another:", errors.Is(err, lease.ErrHeld))
	fake.Advance(3 * time.Second) // entry-1 is paused
	second, err := b.Acquire(ctx, nil)
	fmt.Println("taken over:", err == nil, second.Fencing > first.Fencing)
	// Output:
	// held by another: true
	// taken over: true true
}
