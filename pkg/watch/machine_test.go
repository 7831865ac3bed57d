package watch_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/watch"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 3000) }

var epoch = time.Unix(1_800_000_000, 0)

// decided is a Machine, the time, and what it has asked for.
type decided struct {
	*watch.Machine
	now     time.Time
	crowded bool
	gone    map[string]bool // starts that are not among the members
	effects []watch.Effect
}

func decide(start string) *decided {
	d := &decided{now: epoch, crowded: true, gone: map[string]bool{}}
	d.Machine = watch.NewMachine(watch.MachineConfig{StartID: start, DataCentre: "z1", Cores: 0.8, CanRelay: true,
		UseRelays: func() bool { return d.crowded }, Live: func(s string) (bool, bool) { return !d.gone[s], true },
		Watchers: func() int { return 0 }, Rand: func() float64 { return 0.5 }})
	return d
}

// tell gives the machine an event and returns what it asks for.
func (d *decided) tell(ev any) []watch.Effect {
	effs := d.Reduce(ev)
	d.effects = append(d.effects, effs...)
	return effs
}

// until tells the time as it is wanted, up to a time.
func (d *decided) until(at time.Time) []watch.Effect {
	var effs []watch.Effect
	for next := d.Next(); !next.IsZero() && !next.After(at); next = d.Next() {
		d.now = next
		effs = append(effs, d.tell(watch.Ticked{At: next})...)
	}
	d.now = at
	return effs
}

// tried returns the addresses of the relays tried in effs.
func tried(effs []watch.Effect) []string {
	var out []string
	for _, e := range effs {
		if t, ok := e.(watch.Connect); ok {
			out = append(out, t.Relay.Address)
		}
	}
	return out
}

// has reports whether effs hold one of e's type.
func has[E watch.Effect](effs []watch.Effect) bool {
	return slices.ContainsFunc(effs, func(e watch.Effect) bool { _, ok := e.(E); return ok })
}

func relay(address, dataCentre string, slot int) watch.Relay {
	return watch.Relay{StartID: address + "#1", Address: address, DataCentre: dataCentre, Slot: slot}
}

// watching returns a machine that follows the relay at "a", of those given.
func watching(t *testing.T, relays ...watch.Relay) *decided {
	t.Helper()
	d := decide("n#1")
	d.tell(watch.Started{At: d.now})
	d.tell(watch.DirectoryRead{At: d.now, Relays: relays})
	d.until(d.now.Add(500 * time.Millisecond))
	if effs := d.tell(watch.ConnectDone{At: d.now, Address: "a", Outcome: watch.RelayReady}); !has[watch.OpenWatch](effs) {
		t.Fatalf("effects %v", effs)
	}
	d.tell(watch.WatchOpened{At: d.now})
	return d
}

// A small site is read from the store, after one look for relays.
func TestSmallSiteIsReadFromTheStore(t *testing.T) {
	d := decide("n#1")
	d.crowded = false
	if effs := d.tell(watch.Started{At: d.now}); !has[watch.ReadDirectory](effs) {
		t.Fatalf("effects %v", effs)
	}
	if effs := d.tell(watch.DirectoryRead{At: d.now}); !has[watch.ReadStore](effs) {
		t.Fatalf("effects %v", effs)
	}
	if effs := d.until(d.now.Add(time.Hour)); len(effs) != 0 {
		t.Fatalf("effects %v in an hour", effs)
	}
}

// Replays the loss of a relay together with all others: the others are tried one each
// 0.12 s, and the store is read on from 1.6 s later, after a second look at the directory.
func TestAllRelaysLost(t *testing.T) {
	d := watching(t, relay("a", "z1", 0), relay("b", "z1", 1), relay("c", "z2", 0), relay("d", "z2", 1))
	begun := d.now.Add(4 * time.Second) // what was found of others is forgotten
	d.until(begun)
	effs := d.tell(watch.WatchEnded{At: begun, Reason: "silent"})
	effs = append(effs, d.until(begun.Add(300*time.Millisecond))...)
	if got := tried(effs); len(got) != 3 || got[0] != "b" {
		t.Fatalf("tried %v within 0.3 s, want b and two of the other data centre", got)
	}
	if effs = d.until(begun.Add(850 * time.Millisecond)); !has[watch.ReadDirectory](effs) || !has[watch.NotifyUnavailable](effs) {
		t.Fatalf("effects %v after 0.85 s", effs)
	}
	effs = d.tell(watch.DirectoryRead{At: d.now, Relays: []watch.Relay{relay("a", "z1", 0), relay("b", "z1", 1), relay("c", "z2", 0)}})
	if effs = append(effs, d.until(begun.Add(1700*time.Millisecond))...); !has[watch.ReadStore](effs) {
		t.Fatalf("effects %v after 1.7 s", effs)
	}
}

// Replays an outage of the store, in which all relays say that they have lost it: three
// are asked, and one of them is followed, as it will tell when the store is back.
func TestAllRelaysHaveLostTheStore(t *testing.T) {
	var relays []watch.Relay
	for i := range 20 {
		relays = append(relays, relay(fmt.Sprintf("r%d", i), "z1", i))
	}
	d := decide("n#1")
	d.tell(watch.Started{At: d.now})
	effs := d.tell(watch.DirectoryRead{At: d.now, Relays: relays})
	for range 10 {
		for _, address := range tried(effs) {
			effs = d.tell(watch.ConnectDone{At: d.now, Address: address, Outcome: watch.RelayWithoutStore})
		}
	}
	if n := len(tried(d.effects)); n != 3 || !has[watch.OpenWatch](effs) {
		t.Fatalf("%d relays tried, then %v", n, effs)
	}
}

// Replays a relay that has lost the store for a moment, as it seems to while history is
// forgotten, and one that has lost it for good: the first is kept, the second left.
func TestRelayThatHasLostTheStore(t *testing.T) {
	d := watching(t, relay("a", "z1", 0), relay("b", "z1", 1))
	d.until(d.now.Add(4 * time.Second))
	d.tell(watch.RelayStatus{At: d.now, StoreUnavailable: true})
	d.tell(watch.RelayStatus{At: d.now.Add(500 * time.Millisecond)})
	if effs := d.until(d.now.Add(3 * time.Second)); len(tried(effs)) != 0 {
		t.Fatalf("effects %v of a short loss", effs)
	}
	d.tell(watch.RelayStatus{At: d.now, StoreUnavailable: true})
	effs := d.until(d.now.Add(3 * time.Second))
	if got := tried(effs); len(got) == 0 || got[0] != "b" {
		t.Fatalf("tried %v in 3 s, want b", got)
	}
	if effs = d.tell(watch.ConnectDone{At: d.now, Address: "b", Outcome: watch.RelayReady}); len(effs) == 0 {
		effs = d.effects
	}
	if !has[watch.OpenWatch](effs) && !has[watch.OpenWatch](d.until(d.now.Add(time.Second))) {
		t.Fatalf("effects %v once another serves", effs)
	}
}

// Slots are taken by larger instances first, and not once two relays have room.
func TestClaimsWait(t *testing.T) {
	claims := func(relays ...watch.Relay) time.Duration {
		d := decide("n#1")
		d.tell(watch.Started{At: d.now})
		d.tell(watch.DirectoryRead{At: d.now})
		for after := time.Duration(0); after < 4*time.Second; after += 10 * time.Millisecond {
			effs := d.until(epoch.Add(after))
			for len(effs) > 0 {
				if has[watch.ClaimSlot](effs) {
					return after
				}
				var next []watch.Effect
				for _, e := range effs {
					switch e := e.(type) {
					case watch.ReadDirectory:
						next = append(next, d.tell(watch.DirectoryRead{At: d.now, Relays: relays})...)
					case watch.Connect:
						next = append(next, d.tell(watch.ConnectDone{At: d.now, Address: e.Relay.Address, Outcome: watch.RelayFull})...)
					}
				}
				effs = next
			}
		}
		return 0
	}
	if after := claims(); after < 300*time.Millisecond || after > time.Second {
		t.Errorf("a slot of an empty directory is taken after %v", after)
	}
	if after := claims(relay("a", "z1", 0), relay("b", "z1", 1)); after == 0 {
		t.Error("no slot is taken though both relays are full")
	}
	d := watching(t, relay("a", "z1", 0), relay("b", "z1", 1))
	d.until(d.now.Add(time.Minute))
	if has[watch.ClaimSlot](d.effects) {
		t.Error("a third slot is taken")
	}
	d.gone["b#1"] = true
	d.until(d.now.Add(5 * time.Second))
	if !has[watch.ClaimSlot](d.effects) {
		t.Error("the slot of a relay that has gone is not taken")
	}
}

// Whatever becomes of relays and of the store, a machine never waits for nothing: it wants
// to be told the time, or what it asked for is under way; and once relays serve again, or
// the store is there, something is followed.
func TestMachineIsNeverStuck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := decide("n#1")
		d.crowded = rapid.Bool().Draw(t, "crowded")
		var under []watch.Effect // whose outcomes are to come
		following := false       // a watch or the store
		take := func(effs []watch.Effect) {
			for _, e := range effs {
				switch e.(type) {
				case watch.ReadDirectory, watch.Connect, watch.ClaimSlot:
					under = append(under, e)
				case watch.CloseConnections:
					under = slices.DeleteFunc(under, func(e watch.Effect) bool { _, ok := e.(watch.Connect); return ok })
				case watch.OpenWatch:
					under, following = append(under, e), false
				case watch.ReadStore, watch.StartRelay:
					following = true
				case watch.StopRelay:
					following = false
				}
			}
		}
		relays := []watch.Relay{}
		for i := range rapid.IntRange(0, 4).Draw(t, "relays") {
			relays = append(relays, relay(fmt.Sprintf("r%d", i), []string{"z1", "z2"}[i%2], i/2))
		}
		answer := func(i int, good bool) {
			e := under[i]
			under = slices.Delete(under, i, i+1)
			switch e := e.(type) {
			case watch.ReadDirectory:
				if good {
					take(d.tell(watch.DirectoryRead{At: d.now, Relays: relays}))
				} else {
					take(d.tell(watch.DirectoryRead{At: d.now, Err: errAway}))
				}
			case watch.Connect:
				o := watch.RelayReady
				if !good {
					o = rapid.SampledFrom([]watch.ConnectOutcome{watch.RelayWithoutStore, watch.RelayFull, watch.RelayGone}).Draw(t, "outcome")
				}
				take(d.tell(watch.ConnectDone{At: d.now, Address: e.Relay.Address, Outcome: o}))
			case watch.ClaimSlot:
				if good {
					relays = append(slices.DeleteFunc(relays, func(r watch.Relay) bool { return watch.Key(r.DataCentre, r.Slot) == e.Key }), relay("n", "z1", 9))
					take(d.tell(watch.ClaimDone{At: d.now}))
				} else {
					take(d.tell(watch.ClaimDone{At: d.now, Err: errAway}))
				}
			case watch.OpenWatch:
				if following = good; good {
					take(d.tell(watch.WatchOpened{At: d.now}))
				} else {
					take(d.tell(watch.WatchOpened{At: d.now, Err: errors.New("no")}))
				}
			}
		}
		notStuck := func() {
			if len(under) == 0 && d.Next().IsZero() && !(following && !d.crowded) {
				t.Fatalf("waits for nothing after %v", d.effects)
			}
		}
		take(d.tell(watch.Started{At: d.now}))
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			notStuck()
			switch ev := rapid.SampledFrom([]string{"outcome", "outcome", "outcome", "time", "time", "ended", "heard", "crowd", "left"}).Draw(t, "event"); {
			case ev == "outcome" && len(under) > 0:
				answer(rapid.IntRange(0, len(under)-1).Draw(t, "which"), rapid.Bool().Draw(t, "good"))
			case ev == "ended":
				if effs := d.tell(watch.WatchEnded{At: d.now, Reason: "silent"}); len(effs) > 0 {
					following = false
					take(effs)
				}
			case ev == "heard":
				take(d.tell(watch.RelayStatus{At: d.now, StoreUnavailable: rapid.Bool().Draw(t, "lost")}))
			case ev == "crowd":
				d.crowded = true
			case ev == "left":
				take(d.tell(watch.RelayingDisabled{At: d.now}))
			default:
				take(d.until(d.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)))
			}
		}
		for range 200 {
			notStuck()
			if following {
				return
			}
			if len(under) > 0 {
				answer(0, true)
				continue
			}
			take(d.until(d.now.Add(500 * time.Millisecond)))
		}
		t.Fatalf("nothing is followed though all is well: %v", d.effects)
	})
}
