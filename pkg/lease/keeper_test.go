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

// keeper is one process: its Keeper, its clock, which runs at the true rate
// from a start of its own, and what it believes.
type keeper struct {
	lease.Manager
	clock *clock.Fake
	held  lease.Held
}

func (k *keeper) believes() bool {
	return k.held.Fencing != 0 && k.clock.Now().Before(k.held.ValidUntil)
}

// Three processes with clocks hours apart and times to live of their own, as
// while a setting changes, paused for any time, and a platform that loses
// replies and goes down: at no moment do two of them
// hold a lease that is valid by their own clocks, and the fencing numbers
// of successive holders grow.
func TestOneHolderWhateverTheClocks(t *testing.T) {
	srv := platformtest.New()
	hs := httptest.NewServer(srv.Handler())
	defer hs.Close()
	table := platform.NewClient(hs.URL, nil)
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		srv.SetFaults(platformtest.Faults{})
		name := "lease/test/" + string(rune('a'+round%26)) + time.Duration(round).String()
		ks := make([]*keeper, 3)
		for i := range ks {
			c := clock.NewFake(time.Unix(1_800_000_000, 0).Add(time.Duration(rapid.IntRange(-7200, 7200).Draw(t, "skew_s")) * time.Second))
			ttl := time.Duration(rapid.IntRange(1, 6).Draw(t, "ttl_s")) * time.Second
			ks[i] = &keeper{clock: c, Manager: lease.Manager{Table: table, Clock: c, Name: name, Holder: string(rune('A' + i)), TTL: ttl}}
		}
		var highest uint64
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				d := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
				for _, k := range ks {
					k.clock.Advance(d)
				}
			},
			"take": func(t *rapid.T) {
				k := rapid.SampledFrom(ks).Draw(t, "keeper")
				held, err := k.Acquire(context.Background(), nil)
				if errors.Is(err, lease.ErrHeld) {
					k.held = lease.Held{}
				}
				if err != nil {
					return
				}
				if held.Fencing <= highest {
					t.Fatalf("fencing %d after %d", held.Fencing, highest)
				}
				k.held, highest = held, held.Fencing
			},
			"release": func(t *rapid.T) {
				k := rapid.SampledFrom(ks).Draw(t, "keeper")
				k.held = lease.Held{}
				_ = k.Release(context.Background())
			},
			"fault": func(t *rapid.T) {
				srv.SetFaults(rapid.SampledFrom([]platformtest.Faults{{}, {Down: true}, {LoseReplies: 1}, {LoseNextReads: 1}}).Draw(t, "fault"))
			},
			"": func(t *rapid.T) {
				believers := 0
				for _, k := range ks {
					if k.believes() {
						believers++
					}
				}
				if believers > 1 {
					t.Fatalf("%d processes hold the lease", believers)
				}
			},
		})
	})
}

// A holder that was away does not renew a lease that another has held and given up
// meanwhile: what that one left with it would be lost.
func TestRenewAfterAnother(t *testing.T) {
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
		t.Fatal("two hold the lease")
	}
	if _, err := second.Acquire(ctx, json.RawMessage(`"of b"`)); err != nil {
		t.Fatal(err)
	}
	if err := second.Release(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := first.Renew(ctx, json.RawMessage(`"of a"`)); !errors.Is(err, lease.ErrHeld) {
		t.Fatalf("renewed after another has held it: %v", err)
	}
	held, err := first.Acquire(ctx, nil)
	if err != nil || string(held.Data) != `"of b"` {
		t.Fatalf("taken again with %s, %v; want what b left", held.Data, err)
	}
}
