package entry_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine/enginetest"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/step"
)

// Once one instance has applied a catalogue change, it must notify its peers, which then
// apply the change long before their own next read.
func TestPeersApplyChangePromptly(t *testing.T) {
	const refresh = 2 * time.Second
	s, err := site.Start(site.Config{Entries: 1, Entry: entry.Config{RefreshInterval: refresh, TickInterval: 10 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// Stagger the instances' reads by a third of the interval each, so that
	// without hints the last would apply a change well after the first.
	for _, id := range []string{"entry-1", "entry-2"} {
		time.Sleep(refresh / 3)
		if err := s.StartEntry(id); err != nil {
			t.Fatal(err)
		}
	}
	// Each instance must know its peers.
	waitFor(t, 3*refresh, "every instance to see three members", func() bool {
		for _, in := range s.Entries {
			if len(in.View().Members) != 3 {
				return false
			}
		}
		return true
	})
	f := catalogue.File{Pools: []catalogue.Pool{s.ServicePool("desk-app")}}
	out, err := catalogue.Sync(context.Background(), platform.NewClient(s.PlatformURL, nil), f, "test", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	var first time.Time
	waitFor(t, 2*refresh, "a first instance to apply the change", func() bool {
		for _, in := range s.Entries {
			if in.View().RowVersions[out[0].Key] >= out[0].Version {
				first = time.Now()
				return true
			}
		}
		return false
	})
	if err := s.WaitApplied(out, 2*refresh); err != nil {
		t.Fatal(err)
	}
	gap := time.Since(first)
	t.Logf("last instance applied %v after the first", gap)
	if gap > refresh/5 {
		t.Fatalf("last instance applied the change %v after the first, want at most a fifth of the refresh interval of %v", gap, refresh)
	}
}

// Leases must have a longer TTL if there are many members, so that the renewals do not
// exceed the platform's write capacity. Each member's lease is judged by the TTL in its own
// row.
func TestLeaseTTLGrowsWithMembers(t *testing.T) {
	s := startSite(t, 1, 1, enginetest.Config{WeightVersion: 1})
	const others = 300
	now := time.Now()
	put := func(id string, ttl time.Duration) {
		s.Platform.Put("member/"+id, lease.Lease{Holder: id, RenewedAt: now, ExpiresAt: now.Add(ttl),
			Data: fmt.Appendf(nil, `{"id":%q,"address":"127.0.0.1:1"}`, id)})
	}
	for i := range others {
		put(fmt.Sprintf("other-%03d", i), time.Minute)
	}
	put("gone", time.Second)
	members := func() int { return len(s.Entries[0].View().Members) }
	waitFor(t, 5*time.Second, "the instance to see all members", func() bool { return members() == others+2 })
	waitFor(t, 10*time.Second, "the member with the expired lease to be removed", func() bool { return members() == others+1 })
	ttl := func() time.Duration {
		row, err := platform.NewClient(s.PlatformURL, nil).Get(context.Background(), "member/entry-0")
		if err != nil {
			t.Fatal(err)
		}
		l, err := lease.Decode(row)
		if err != nil {
			t.Fatal(err)
		}
		return l.TTL(0)
	}
	const perSecond = 45
	waitFor(t, 5*time.Second, "a lease with a longer TTL", func() bool { return ttl() >= others*time.Second*3/perSecond })
	if n := members(); n != others+1 {
		t.Fatalf("got %d members, want the %d whose leases have not expired", n, others+1)
	}
}

// A network partition separates the instances from each other, but not from the platform:
// peer connections stay open and carry nothing. A target version must still reach every
// engine and instance, a step must be delivered completely and once, and a draining
// instance must no longer be routed to.
func TestPartitionedInstances(t *testing.T) {
	s := startSite(t, 4, 1, enginetest.Config{WeightVersion: 1, TokenInterval: 2 * time.Millisecond})
	for i := range 3 {
		err := s.StartEntryWith(fmt.Sprintf("cut-%d", i), func(c *entry.Config) {
			r := startRelay(t, c.PeerListener.Addr().String())
			r.BlackholeAll()
			c.PeerAdvertise = r.Addr()
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	s.StopEntry(0) // the only instance that the others can reach
	<-s.EntryDone(0)
	cut := s.Entries[1:]
	seeMembers := func(members int) func() bool {
		return func() bool {
			return !slices.ContainsFunc(cut, func(in *entry.Instance) bool { return len(in.View().Members) != members })
		}
	}
	waitFor(t, 10*time.Second, "the three instances to see each other", seeMembers(3))
	setTarget(t, s, 1, 2)
	waitFor(t, 10*time.Second, "version 2 on every engine", allAtVersion(s, 2))
	waitFor(t, 10*time.Second, "every instance to see target version 2", func() bool {
		return !slices.ContainsFunc(cut, func(in *entry.Instance) bool { return in.View().Targets["assistant-pool"].Version != 2 })
	})
	submit(t, s, 2, stepSpec("cut", 24, 4, 24))
	waitFor(t, 20*time.Second, "the step to complete", func() bool { return stepStatus(t, s, 3, "cut").Closed == step.Complete })
	waitFor(t, 20*time.Second, "every record to be delivered", func() bool { return len(s.Platform.Rows("delivery/")) == 0 })
	if n := completeGroups(t, s, 4); n != 24 {
		t.Fatalf("trainer got %d complete groups, want 24", n)
	}
	s.StopEntry(3)
	waitFor(t, 10*time.Second, "the others to see the instance draining", func() bool {
		return !slices.ContainsFunc(cut[:2], func(in *entry.Instance) bool {
			return slices.ContainsFunc(in.View().Members, func(m entry.Member) bool { return m.ID == "cut-2" && !m.Draining })
		})
	})
}
