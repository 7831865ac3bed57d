package node_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// fleet is many instances that renew their rows, all of which read them, in
// simulated time.
type fleet struct {
	t       *testing.T
	now     time.Time
	version uint64
	view    *membership.View
	size    int
	next    map[string]time.Time // renewals, by name; none of those that are off

	lookedAt time.Time
	standbys map[string]bool // as seen then
}

const step = 50 * time.Millisecond

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, now: time.Unix(1_800_000_000, 0), view: membership.NewView(), size: size, next: map[string]time.Time{}}
	for i := range size {
		f.next[fmt.Sprintf("n%03d", i)] = f.now
	}
	return f
}

// live returns the members as an instance that is not off sees them.
func (f *fleet) live() []*membership.Member {
	for i := f.size - 1; i >= 0; i-- {
		name := fmt.Sprintf("n%03d", i)
		if _, on := f.next[name]; on {
			return f.view.Live(f.now, name)
		}
	}
	return nil
}

// play lets d pass: every instance renews its row as often as its duty wants, at
// which it looks twice a second.
func (f *fleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.Sub(f.lookedAt) >= 10*step {
			f.lookedAt, f.standbys = f.now, map[string]bool{}
			for _, m := range node.Standbys(f.live()) {
				f.standbys[m.Name] = true
			}
		}
		for name, at := range f.next {
			duty := membership.Idle
			if f.standbys[name] {
				duty = membership.Advertised
			}
			period := membership.RenewalPeriod(f.size, duty)
			if f.now.Before(at) && at.Sub(f.now) <= period {
				continue
			}
			f.renew(name, period)
			f.next[name] = f.now.Add(period)
		}
	}
}

func (f *fleet) renew(name string, period time.Duration) {
	data, err := json.Marshal(membership.Member{Address: name})
	if err != nil {
		f.t.Fatal(err)
	}
	value, err := json.Marshal(lease.Lease{Holder: name + "#1", RenewedAt: f.now, ExpiresAt: f.now.Add(membership.TTL(period)), Data: data})
	if err != nil {
		f.t.Fatal(err)
	}
	f.version++
	row := platform.Row{Key: membership.Key(name), Version: f.version, Value: value}
	if err := f.view.Apply([]platform.Change{{Row: row}}, false, f.now); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) told() []string {
	return node.AdvertisedAddresses(f.live(), func(*membership.Member) bool { return false })
}

// Whatever part of a site loses power at once, of 10, 90 or 370 instances, callers
// are told of none that has been off for four seconds, nor of nobody; rows are
// renewed less than a hundred times a second.
func TestNobodyIsToldOfWhatIsLongOff(t *testing.T) {
	for _, size := range []int{10, 90, 370} {
		for _, part := range []float64{0.01, 0.35, 0.6, 0.9} {
			f := newFleet(t, size)
			f.play(25 * time.Second) // rows were written at the period of idle ones first
			before := f.version
			f.play(10 * time.Second)
			if rate := float64(f.version-before) / 10; rate > 100 {
				t.Errorf("%d instances: %.0f renewals a second", size, rate)
			}
			off := map[string]bool{}
			for i, name := range f.told() { // those that callers are told of among them
				if i%2 == 0 {
					off[name] = true
				}
			}
			for i := 0; float64(len(off)) < part*float64(size); i++ {
				off[fmt.Sprintf("n%03d", i*7%size)] = true
			}
			for name := range off {
				delete(f.next, name)
			}
			for passed := time.Duration(0); passed < 30*time.Second; passed += 500 * time.Millisecond {
				f.play(500 * time.Millisecond)
				told := f.told()
				if len(told) == 0 {
					t.Errorf("%d instances, %.0f%% off for %v: nobody is told", size, 100*part, passed)
				}
				for _, name := range told {
					if off[name] && passed >= 4*time.Second {
						t.Fatalf("%d instances, %.0f%% off for %v: callers are told of %s", size, 100*part, passed, name)
					}
				}
			}
		}
	}
}

// Peers are asked from the own data centre first and then from others, those that
// drain last.
func TestPeersToAsk(t *testing.T) {
	members := []*membership.Member{{Name: "self", PeerAddress: "self", DataCentre: "z1"}, {Name: "a", PeerAddress: "a", DataCentre: "z1", Draining: true},
		{Name: "b", PeerAddress: "b", DataCentre: "z1"}, {Name: "c", PeerAddress: "c", DataCentre: "z1"}, {Name: "d", PeerAddress: "d", DataCentre: "z2"},
		{Name: "e", DataCentre: "z2"}}
	if got := fmt.Sprint(node.PeersToAsk(members, "self", "z1", []int{5, 4, 3, 2, 1, 0})); got != "[c d b a]" {
		t.Errorf("asks %s", got)
	}
}

// An owner that renews its row is never taken for gone by an idle member, which reads
// the rows as seldom as the number of members asks, also while the store takes sixty
// times as long as usual: its submissions would be taken over and run twice.
func TestOwnersLiveHoweverManyMembers(t *testing.T) {
	const slowCall = 300 * time.Millisecond // 60 times 5 ms
	for _, members := range []int{10, 100, 370, 1000} {
		f := newFleet(t, 2)
		f.renew("n001", membership.RenewalPeriod(members, membership.Idle))
		for range 20 {
			f.renew("n000", membership.RenewalPeriod(members, membership.Owner))
			f.now = f.now.Add(node.MembersReadInterval(members) + slowCall) // the next read, in which it has renewed
			if live := f.view.Live(f.now, "n001"); len(live) != 2 {
				t.Fatalf("among %d members an owner is taken for gone after %v without a read", members, node.MembersReadInterval(members)+slowCall)
			}
			f.renew("n001", membership.RenewalPeriod(members, membership.Idle))
		}
	}
}

// Each instance finds out by itself whether it is one of those that are kept ready.
func TestStandbysKnowThemselves(t *testing.T) {
	for _, n := range []int{1, 5, 40, 300} {
		var live []*membership.Member
		for i := range n {
			live = append(live, &membership.Member{Name: fmt.Sprintf("n%03d", i), Cores: []float64{0.2, 0.8}[i%2], Draining: i%7 == 3})
		}
		ready := node.Standbys(live)
		for _, m := range live {
			if got, want := node.IsStandby(m.Name, live), slices.Contains(ready, m); got != want {
				t.Errorf("%s of %d: standby %t, want %t", m.Name, n, got, want)
			}
		}
	}
}
