package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/site"
	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/entry"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Once one instance has applied a catalogue change, its peers hear of it
// over the peer link and apply it long before their own next read.
func TestPeersApplyAChangeSoonAfterTheFirst(t *testing.T) {
	const refresh = 2 * time.Second
	s, err := site.Start(site.Config{Entries: 1, Entry: entry.Config{Refresh: refresh, Tick: 10 * time.Millisecond}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// Stagger the instances' reads by a third of the period each, so that
	// without hints the last would apply a change well after the first.
	for _, id := range []string{"entry-1", "entry-2"} {
		time.Sleep(refresh / 3)
		if err := s.StartEntry(id); err != nil {
			t.Fatal(err)
		}
	}
	// Let membership settle so that each instance knows its peers.
	waitFor(t, 3*refresh, "membership", func() bool {
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
	waitFor(t, 2*refresh, "a first instance applies", func() bool {
		for _, in := range s.Entries {
			if in.View().Versions[out[0].Key] >= out[0].Version {
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
		t.Fatalf("last instance applied %v after the first; refresh is %v", gap, refresh)
	}
}
