package membership_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

func row(t *testing.T, name, start string, version uint64) platform.Change {
	t.Helper()
	data, err := json.Marshal(membership.Member{Address: name + ":1"})
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(lease.Lease{Holder: start, Data: data})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Change{Row: platform.Row{Key: membership.Key(name), Version: version, Value: value}}
}

func names(ms []*membership.Member) string {
	out := ""
	for _, m := range ms {
		out += m.Name
	}
	return out
}

// A member becomes stale when its row stays unchanged, and stays live when its row is
// renewed.
func TestUnchangedMemberBecomesStale(t *testing.T) {
	v, now := membership.NewView(), time.Unix(1_800_000_000, 0)
	apply := func(chs ...platform.Change) {
		if err := v.Apply(chs, false, now); err != nil {
			t.Fatal(err)
		}
	}
	apply(row(t, "a", "a#1", 1), row(t, "b", "b#1", 2))
	for i := range 10 {
		now = now.Add(500 * time.Millisecond)
		apply(row(t, "a", "a#1", uint64(10+i)))
	}
	if got := names(v.Live(now, "a")); got != "a" {
		t.Fatalf("live: %s, want a", got)
	}
}

// While an instance's own row is unchanged or missing, no other member becomes stale:
// some tables of the store may be unavailable.
func TestNoMemberStaleWhileOwnRowUnchanged(t *testing.T) {
	v, now := membership.NewView(), time.Unix(1_800_000_000, 0)
	for i, n := range []string{"a", "b", "c"} {
		if err := v.Apply([]platform.Change{row(t, n, n+"#1", uint64(i+1))}, false, now); err != nil {
			t.Fatal(err)
		}
	}
	now = now.Add(time.Minute)
	if got := names(v.Live(now, "a")); got != "abc" {
		t.Fatalf("live: %s, want abc", got)
	}
	if got := names(v.Live(now, "new")); got != "abc" {
		t.Fatalf("live as seen by an instance without a row: %s, want abc", got)
	}
}

// After an outage of the table, members that were live before it stay live, and those
// that were stale before it stay stale.
func TestExtendAfterOutage(t *testing.T) {
	v, now := membership.NewView(), time.Unix(1_800_000_000, 0)
	if err := v.Apply([]platform.Change{row(t, "gone", "gone#1", 1)}, false, now); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Minute)
	if err := v.Apply([]platform.Change{row(t, "a", "a#1", 2), row(t, "b", "b#1", 3)}, false, now); err != nil {
		t.Fatal(err)
	}
	outageStart := now
	now = now.Add(time.Minute)
	v.ExtendAfterOutage(outageStart, now)
	if got := names(v.Live(now, "a")); got != "ab" {
		t.Fatalf("live: %s, want ab", got)
	}
}

// The rate of renewals is bounded for any number of members.
func TestRenewalsAreBounded(t *testing.T) {
	for _, n := range []int{1, 11, 84, 370} {
		if rate := float64(n) / membership.RenewalPeriod(n, membership.Idle).Seconds(); rate > 41 {
			t.Errorf("%d members make %.0f renewals per second, want at most 41", n, rate)
		}
	}
	if ttl := membership.TTL(membership.RenewalPeriod(370, membership.Owner)); ttl > 2500*time.Millisecond {
		t.Errorf("TTL of an owner among 370 members: %v, want at most 2.5 s", ttl)
	}
}

func ExampleStartID() {
	start := membership.StartID("edge-1", time.Unix(0, 7))
	fmt.Println(start, membership.NameOf(start))
	// Output: edge-1#7 edge-1
}

// A view is current while its table is read and its own row changes, and for three
// seconds after.
func TestCurrent(t *testing.T) {
	v, now := membership.NewView(), time.Unix(1_800_000_000, 0)
	if err := v.Apply([]platform.Change{row(t, "a", "a#1", 1)}, false, now); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after           time.Duration // since the row of the instance changed
		unreadableSince time.Duration // time since the table became unreadable; 0 if it can be read
		want            bool
	}{{time.Second, 0, true}, {4 * time.Second, 0, false}, {time.Second, 2 * time.Second, true}, {time.Second, 4 * time.Second, false}} {
		at := now.Add(c.after)
		var since time.Time
		if c.unreadableSince > 0 {
			since = at.Add(-c.unreadableSince)
		}
		if got := v.Current(at, since, "a"); got != c.want {
			t.Errorf("%+v: Current = %v, want %v", c, got, c.want)
		}
	}
}
