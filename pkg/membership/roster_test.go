package membership_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 1000) }

// Whatever happens to the rows, a view that reuses its roster returns the same members as
// a new view with the same history.
func TestReusedRosterEqualsNewOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, version := time.Unix(1_800_000_000, 0), uint64(0)
		kept := membership.NewView()
		var events []func(*membership.View)
		record := func(f func(*membership.View)) {
			events = append(events, f)
			f(kept)
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "after_ms")) * time.Millisecond)
			at := now
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			version++
			switch rapid.SampledFrom([]string{"renew", "renew", "renew", "remove", "outage", "full read", "nothing"}).Draw(t, "event") {
			case "renew":
				ch := randomRow(t, name, version, now)
				record(func(v *membership.View) { apply(v, at, false, ch) })
			case "remove":
				ch := platform.Change{Row: platform.Row{Key: membership.Key(name)}, Deleted: true}
				record(func(v *membership.View) { apply(v, at, false, ch) })
			case "outage":
				since := now.Add(-2 * time.Second)
				record(func(v *membership.View) { v.ExtendAfterOutage(since, at) })
			case "full read":
				ch := randomRow(t, name, version, now)
				record(func(v *membership.View) { apply(v, at, true, ch) })
			}
			fresh := membership.NewView()
			for _, f := range events {
				f(fresh)
			}
			self := rapid.SampledFrom([]string{"a", "a", "a", "new"}).Draw(t, "self")
			got, want := values(kept.Live(now, self)), values(fresh.Live(now, self))
			if got != want {
				t.Fatalf("reused roster %s, want %s as in a new one", got, want)
			}
		}
	})
}

// values formats the members' content, not their addresses.
func values(ms []*membership.Member) string {
	var out []membership.Member
	for _, m := range ms {
		out = append(out, *m)
	}
	return fmt.Sprint(out)
}

func apply(v *membership.View, at time.Time, reset bool, ch platform.Change) {
	if err := v.Apply([]platform.Change{ch}, reset, at); err != nil {
		panic(err)
	}
}

// randomRow returns the row of a member with a random start, drain state and TTL.
func randomRow(t *rapid.T, name string, version uint64, now time.Time) platform.Change {
	data, err := json.Marshal(membership.Member{Address: name, Draining: rapid.Bool().Draw(t, "draining")})
	if err != nil {
		t.Fatal(err)
	}
	ttl := time.Duration(rapid.SampledFrom([]int{1800, 3600, 9000}).Draw(t, "ttl_ms")) * time.Millisecond
	start := fmt.Sprintf("%s#%d", name, rapid.IntRange(1, 2).Draw(t, "start"))
	value, err := json.Marshal(lease.Lease{Holder: start, RenewedAt: now, ExpiresAt: now.Add(ttl), Data: data})
	if err != nil {
		t.Fatal(err)
	}
	return platform.Change{Row: platform.Row{Key: membership.Key(name), Version: version, Value: value}}
}

// Renewals leave the roster unchanged, so that what is derived from it is not computed
// again.
func TestRenewalsKeepRoster(t *testing.T) {
	v, now := membership.NewView(), time.Unix(1_800_000_000, 0)
	renew := func(version uint64) {
		apply(v, now, false, row(t, "a", "a#1", version))
		apply(v, now, false, row(t, "b", "b#1", version+1))
	}
	renew(1)
	first := v.Roster(now, "a")
	for i := range 40 {
		now = now.Add(400 * time.Millisecond)
		renew(uint64(10 + 2*i))
		if v.Roster(now, "a") != first {
			t.Fatalf("roster changed after %d renewals", i+1)
		}
	}
	apply(v, now, false, row(t, "b", "b#2", 1000))
	if v.Roster(now, "a") == first {
		t.Fatal("roster unchanged after b has restarted")
	}
}

// A new configuration, which all members write into their next renewal, and another relay
// leave the roster unchanged.
func TestConfigurationsKeepRoster(t *testing.T) {
	v, now := membership.NewView(), time.Unix(1_800_000_000, 0)
	put := func(name string, configuration, version uint64) {
		data, err := json.Marshal(membership.Member{Address: name + ":1", Configuration: configuration, WatchSource: fmt.Sprintf("relay%d", configuration)})
		if err != nil {
			t.Fatal(err)
		}
		value, err := json.Marshal(lease.Lease{Holder: name + "#1", Data: data})
		if err != nil {
			t.Fatal(err)
		}
		row := platform.Row{Key: membership.Key(name), Version: version, Value: value}
		if err := v.Apply([]platform.Change{{Row: row}}, false, now); err != nil {
			t.Fatal(err)
		}
	}
	for i, name := range []string{"a", "b", "c"} {
		put(name, 1, uint64(i+1))
	}
	before := v.Roster(now, "a")
	for i, name := range []string{"a", "b", "c"} {
		put(name, 2, uint64(i+10))
		if v.Roster(now, "a") != before {
			t.Fatalf("roster changed after %s wrote the new configuration", name)
		}
	}
}

// Whatever happens to the rows, an instance that is passed the members by one that reads
// the table sees the same members as live. When it reads the table itself again, stale
// members stay stale.
func TestRelayedMembersEqualReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, version := time.Unix(1_800_000_000, 0), uint64(0)
		reader, receiver := membership.NewView(), membership.NewView()
		rows := map[string]platform.Change{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "after_ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			version++
			switch rapid.SampledFrom([]string{"renew", "renew", "renew", "remove", "nothing"}).Draw(t, "event") {
			case "renew":
				rows[name] = randomRow(t, name, version, now)
				apply(reader, now, false, rows[name])
			case "remove":
				delete(rows, name)
				apply(reader, now, false, platform.Change{Row: platform.Row{Key: membership.Key(name)}, Deleted: true})
			}
			var changes []platform.Change
			for _, m := range reader.RelayedMembers(now, "a") {
				value, err := m.Encode()
				if err != nil {
					t.Fatal(err)
				}
				changes = append(changes, platform.Change{Row: platform.Row{Key: membership.Key(m.Name), Value: value}})
			}
			if err := receiver.ApplyRelayed(changes, true, now); err != nil {
				t.Fatal(err)
			}
			later := now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "minutes")) * time.Minute)
			if got, want := values(receiver.Live(later, "b")), values(reader.Live(now, "a")); got != want {
				t.Fatalf("receiver sees %s live, want %s as the reader", got, want)
			}
			if reader.Len() != receiver.Len() {
				t.Fatalf("receiver has %d rows, want %d as the reader", receiver.Len(), reader.Len())
			}
		}
		// From here on the receiver reads the table itself: stale members must stay
		// stale.
		stale := map[string]bool{}
		for _, m := range reader.RelayedMembers(now, "a") {
			stale[m.Name] = m.Stale
		}
		var all []platform.Change
		for _, r := range rows {
			all = append(all, r)
		}
		if err := receiver.Apply(all, true, now); err != nil {
			t.Fatal(err)
		}
		for _, m := range receiver.Live(now, "a") {
			if _, there := rows["a"]; there && stale[m.Name] {
				t.Fatalf("stale member %s became live again", m.Name)
			}
		}
	})
}
