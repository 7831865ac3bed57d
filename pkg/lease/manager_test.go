package lease_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/clock"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/platform/platformtest"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

// process is a Manager with a clock of its own, which runs at the correct rate from an
// arbitrary start, and the lease that it holds by that clock.
type process struct {
	lease.Manager
	clock *clock.Fake
	held  lease.Held
}

func (p *process) holds() bool {
	return p.held.Fencing != 0 && p.clock.Now().Before(p.held.ValidUntil)
}

// Three processes have clocks hours apart and different TTLs, as while a setting
// changes. They may pause for any time, and the platform loses replies and goes down.
// At no moment do two of them hold a lease that is valid by their own clocks, and the
// fencing tokens of successive holders increase.
func TestOneHolderWithUnsynchronizedClocks(t *testing.T) {
	srv := platformtest.New()
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	table := platform.NewClient(hs.URL, nil)
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		srv.SetFaults(platformtest.Faults{})
		name := "lease/test/" + string(rune('a'+round%26)) + time.Duration(round).String()
		processes := make([]*process, 3)
		for i := range processes {
			c := clock.NewFake(time.Unix(1_800_000_000, 0).Add(time.Duration(rapid.IntRange(-7200, 7200).Draw(t, "skew_s")) * time.Second))
			ttl := time.Duration(rapid.IntRange(1, 6).Draw(t, "ttl_s")) * time.Second
			processes[i] = &process{clock: c, Manager: lease.Manager{Table: table, Clock: c, Name: name, Holder: string(rune('A' + i)), TTL: ttl}}
		}
		var highest uint64
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
				for _, p := range processes {
					p.clock.Advance(d)
				}
			},
			"take": func(t *rapid.T) {
				p := rapid.SampledFrom(processes).Draw(t, "keeper")
				held, err := p.Acquire(context.Background(), nil)
				if errors.Is(err, lease.ErrHeld) {
					p.held = lease.Held{}
				}
				if err != nil {
					return
				}
				if held.Fencing <= highest {
					t.Fatalf("fencing token: got %d, want more than %d", held.Fencing, highest)
				}
				p.held, highest = held, held.Fencing
			},
			"release": func(t *rapid.T) {
				p := rapid.SampledFrom(processes).Draw(t, "keeper")
				p.held = lease.Held{}
				_ = p.Release(context.Background())
			},
			"fault": func(t *rapid.T) {
				srv.SetFaults(rapid.SampledFrom([]platformtest.Faults{{}, {Down: true}, {LoseReplies: 1}, {LoseNextReads: 1}}).Draw(t, "fault"))
			},
			"": func(t *rapid.T) {
				holders := 0
				for _, p := range processes {
					if p.holds() {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("processes that hold the lease: got %d, want at most 1", holders)
				}
			},
		})
	})
}

// A holder does not renew a lease that another one has acquired and released in the
// meantime, since that would overwrite the other one's data.
func TestRenewAfterAnotherHolder(t *testing.T) {
	srv := platformtest.New()
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	ctx, now := context.Background(), clock.NewFake(time.Unix(1_800_000_000, 0))
	table := platform.NewClient(hs.URL, nil)
	first := &lease.Manager{Table: table, Clock: now, Name: "lease/x", Holder: "a", TTL: time.Second}
	second := &lease.Manager{Table: table, Clock: now, Name: "lease/x", Holder: "b", TTL: time.Second}
	if _, err := first.Acquire(ctx, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Renew(ctx, json.RawMessage(`"of a"`)); err != nil {
		t.Fatal(err)
	}
	_, err := second.Acquire(ctx, nil)
	now.Advance(2 * time.Second)
	if err == nil {
		t.Fatal("second holder acquired the lease before it expired")
	}
	if _, err := second.Acquire(ctx, json.RawMessage(`"of b"`)); err != nil {
		t.Fatal(err)
	}
	if err := second.Release(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Renew(ctx, json.RawMessage(`"of a"`)); !errors.Is(err, lease.ErrHeld) {
		t.Fatalf("Renew after another holder: got %v, want ErrHeld", err)
	}
	held, err := first.Acquire(ctx, nil)
	if err != nil || string(held.Data) != `"of b"` {
		t.Fatalf("Acquire after another holder: got data %s, %v, want that of b", held.Data, err)
	}
}
