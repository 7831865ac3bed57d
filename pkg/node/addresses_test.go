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

// fleet simulates many instances that renew their rows and read those of the others, in
// simulated time.
type fleet struct {
	t       *testing.T
	now     time.Time
	version uint64
	view    *membership.View
	size    int
	next    map[string]time.Time // next renewal, by name, of the instances that are on

	standbysReadAt time.Time
	standbys       map[string]bool // standbys at standbysReadAt
}

const step = 50 * time.Millisecond

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, now: time.Unix(1_800_000_000, 0), view: membership.NewView(), size: size, next: map[string]time.Time{}}
	for i := range size {
		f.next[fmt.Sprintf("n%03d", i)] = f.now
	}
	return f
}

// live returns the live members as seen by an instance that is on.
func (f *fleet) live() []*membership.Member {
	for i := f.size - 1; i >= 0; i-- {
		name := fmt.Sprintf("n%03d", i)
		if _, on := f.next[name]; on {
			return f.view.Live(f.now, name)
		}
	}
	return nil
}

// run advances the time by d. Every instance renews its row as often as its role
// requires. Roles are updated twice a second.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.Sub(f.standbysReadAt) >= 10*step {
			f.standbysReadAt, f.standbys = f.now, map[string]bool{}
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

func (f *fleet) advertised() []string {
	return node.AdvertisedAddresses(f.live(), func(*membership.Member) bool { return false })
}

// Part of a site of 10, 90 or 370 instances loses power at once. Callers must not be
// given the address of an instance that has been off for four seconds, nor an empty
// list. Rows must be renewed at most 100 times a second.
func TestNoInstanceAdvertisedLongAfterPowerLoss(t *testing.T) {
	for _, size := range []int{10, 90, 370} {
		for _, part := range []float64{0.01, 0.35, 0.6, 0.9} {
			f := newFleet(t, size)
			f.run(25 * time.Second) // initially rows are renewed at the period of idle instances
			before := f.version
			f.run(10 * time.Second)
			if rate := float64(f.version-before) / 10; rate > 100 {
				t.Errorf("%d instances: %.0f renewals per second, want at most 100", size, rate)
			}
			off := map[string]bool{}
			for i, name := range f.advertised() { // include some of the advertised ones
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
				f.run(500 * time.Millisecond)
				advertised := f.advertised()
				if len(advertised) == 0 {
					t.Errorf("%d instances, %.0f%% off for %v: no address is advertised, want at least one", size, 100*part, passed)
				}
				for _, name := range advertised {
					if off[name] && passed >= 4*time.Second {
						t.Fatalf("%d instances, %.0f%% off for %v: %s is advertised, want no instance that is off", size, 100*part, passed, name)
					}
				}
			}
		}
	}
}

// One peer of the own data centre comes first, then those of other data centres, then
// the rest; peers that drain come last.
func TestPeerOrder(t *testing.T) {
	members := []*membership.Member{{Name: "self", PeerAddress: "self", DataCentre: "z1"}, {Name: "a", PeerAddress: "a", DataCentre: "z1", Draining: true},
		{Name: "b", PeerAddress: "b", DataCentre: "z1"}, {Name: "c", PeerAddress: "c", DataCentre: "z1"}, {Name: "d", PeerAddress: "d", DataCentre: "z2"},
		{Name: "e", DataCentre: "z2"}}
	if got := fmt.Sprint(node.PeersToAsk(members, "self", "z1", []int{5, 4, 3, 2, 1, 0})); got != "[c d b a]" {
		t.Errorf("PeersToAsk = %s, want [c d b a]", got)
	}
}

// An idle member, which reads the rows as seldom as the number of members requires,
// must never consider an owner gone that renews its row, even while the store takes
// sixty times as long as usual. Otherwise the owner's submissions would be taken over
// and run twice.
func TestOwnersStayLiveForAnyMemberCount(t *testing.T) {
	const slowCall = 300 * time.Millisecond // 60 times 5 ms
	for _, members := range []int{10, 100, 370, 1000} {
		f := newFleet(t, 2)
		f.renew("n001", membership.RenewalPeriod(members, membership.Idle))
		for range 20 {
			f.renew("n000", membership.RenewalPeriod(members, membership.Owner))
			f.now = f.now.Add(node.MembersReadInterval(members) + slowCall) // the next read, which shows the renewal
			if live := f.view.Live(f.now, "n001"); len(live) != 2 {
				t.Fatalf("%d members: an owner that renews its row is not live after %v without a read", members, node.MembersReadInterval(members)+slowCall)
			}
			f.renew("n001", membership.RenewalPeriod(members, membership.Idle))
		}
	}
}

// IsStandby must agree with Standbys for each instance.
func TestIsStandbyMatchesStandbys(t *testing.T) {
	for _, n := range []int{1, 5, 40, 300} {
		var live []*membership.Member
		for i := range n {
			live = append(live, &membership.Member{Name: fmt.Sprintf("n%03d", i), Cores: []float64{0.2, 0.8}[i%2], Draining: i%7 == 3})
		}
		ready := node.Standbys(live)
		for _, m := range live {
			if got, want := node.IsStandby(m.Name, live), slices.Contains(ready, m); got != want {
				t.Errorf("IsStandby(%s) among %d = %t, want %t", m.Name, n, got, want)
			}
		}
	}
}
