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

// harness drives a Machine with a simulated clock and records its effects.
type harness struct {
	*watch.Machine
	now       time.Time
	useRelays bool
	gone      map[string]bool // start IDs of instances that are not live
	watchers  int
	effects   []watch.Effect
}

func newHarness(start string) *harness { return newSizedHarness(start, 0.8) }

// newSizedHarness is newHarness for an instance with the given number of cores.
func newSizedHarness(start string, cores float64) *harness {
	h := &harness{now: epoch, useRelays: true, gone: map[string]bool{}}
	h.Machine = watch.NewMachine(watch.MachineConfig{StartID: start, DataCentre: "z1", Cores: cores, CanRelay: true,
		UseRelays: func() bool { return h.useRelays }, Live: func(s string) (bool, bool) { return !h.gone[s], true },
		Watchers: func() int { return h.watchers }, Rand: func() float64 { return 0.5 }})
	return h
}

// send reduces an event and returns its effects.
func (h *harness) send(ev any) []watch.Effect {
	effs := h.Reduce(ev)
	h.effects = append(h.effects, effs...)
	return effs
}

// advance moves the clock to at, sends each Ticked that is due, and returns the effects.
func (h *harness) advance(at time.Time) []watch.Effect {
	var effs []watch.Effect
	for next := h.Next(); !next.IsZero() && !next.After(at); next = h.Next() {
		h.now = next
		effs = append(effs, h.send(watch.Ticked{At: next})...)
	}
	h.now = at
	return effs
}

// connected returns the addresses of the relays that effs connect to.
func connected(effs []watch.Effect) []string {
	var out []string
	for _, e := range effs {
		if t, ok := e.(watch.Connect); ok {
			out = append(out, t.Relay.Address)
		}
	}
	return out
}

// has reports whether effs contain an effect of type E.
func has[E watch.Effect](effs []watch.Effect) bool {
	return slices.ContainsFunc(effs, func(e watch.Effect) bool { _, ok := e.(E); return ok })
}

func relay(address, dataCentre string, slot int) watch.Relay {
	return watch.Relay{StartID: address + "#1", Address: address, DataCentre: dataCentre, Slot: slot}
}

// newWatching returns a harness whose machine watches the relay at "a", which is one of
// relays.
func newWatching(t *testing.T, relays ...watch.Relay) *harness {
	t.Helper()
	h := newHarness("n#1")
	h.send(watch.Started{At: h.now})
	h.send(watch.DirectoryRead{At: h.now, Relays: relays})
	h.advance(h.now.Add(500 * time.Millisecond))
	if effs := h.send(watch.ConnectDone{At: h.now, Address: "a", Outcome: watch.RelayReady}); !has[watch.OpenWatch](effs) {
		t.Fatalf("effects of a connect to a ready relay: %v, want an OpenWatch", effs)
	}
	h.send(watch.WatchOpened{At: h.now})
	return h
}

// In a small site without relays, the tables are read from the store after one read of
// the directory, and nothing else happens.
func TestSmallSiteReadsStore(t *testing.T) {
	h := newHarness("n#1")
	h.useRelays = false
	if effs := h.send(watch.Started{At: h.now}); !has[watch.ReadDirectory](effs) {
		t.Fatalf("effects of the start: %v, want a ReadDirectory", effs)
	}
	if effs := h.send(watch.DirectoryRead{At: h.now}); !has[watch.ReadStore](effs) {
		t.Fatalf("effects of an empty directory: %v, want a ReadStore", effs)
	}
	if effs := h.advance(h.now.Add(time.Hour)); len(effs) != 0 {
		t.Fatalf("effects within an hour: %v, want none", effs)
	}
}

// All relays fail at once: the others are connected to in steps of 0.12 s, and after a
// second read of the directory the tables are read from the store, 1.7 s later at most.
func TestAllRelaysFail(t *testing.T) {
	h := newWatching(t, relay("a", "z1", 0), relay("b", "z1", 1), relay("c", "z2", 0), relay("d", "z2", 1))
	start := h.now.Add(4 * time.Second) // after avoidPeriod, no relay is left out of searches
	h.advance(start)
	effs := h.send(watch.WatchEnded{At: start, Reason: "silent"})
	effs = append(effs, h.advance(start.Add(300*time.Millisecond))...)
	if got := connected(effs); len(got) != 3 || got[0] != "b" {
		t.Fatalf("connected to %v within 0.3 s, want b and two of the other data centre", got)
	}
	if effs = h.advance(start.Add(850 * time.Millisecond)); !has[watch.ReadDirectory](effs) || !has[watch.NotifyUnavailable](effs) {
		t.Fatalf("effects within 0.85 s: %v, want a ReadDirectory and a NotifyUnavailable", effs)
	}
	effs = h.send(watch.DirectoryRead{At: h.now, Relays: []watch.Relay{relay("a", "z1", 0), relay("b", "z1", 1), relay("c", "z2", 0)}})
	if effs = append(effs, h.advance(start.Add(1700*time.Millisecond))...); !has[watch.ReadStore](effs) {
		t.Fatalf("effects within 1.7 s: %v, want a ReadStore", effs)
	}
}

// Guards against a claim that delays the read of the store: an instance without a source
// claimed a slot and waited for the answer, up to storeTimeout, before it read any table.
func TestClaimDoesNotDelayReading(t *testing.T) {
	for name, run := range map[string]func(h *harness) []watch.Effect{
		"the second read of the directory is answered late": func(h *harness) []watch.Effect {
			h.send(watch.WatchEnded{At: h.now, Reason: "silent"})
			h.advance(h.now.Add(2 * time.Second))
			return h.send(watch.DirectoryRead{At: h.now, Relays: []watch.Relay{relay("a", "z1", 0)}})
		},
		"the slot was free before the relay failed": func(h *harness) []watch.Effect {
			h.send(watch.DirectoryChanged{At: h.now, Relays: []watch.Relay{relay("a", "z1", 0), relay("b", "z1", 1)}})
			h.gone["b#1"] = true
			h.advance(h.now.Add(1100 * time.Millisecond)) // one check, which finds the slot of b free
			h.send(watch.WatchEnded{At: h.now, Reason: "silent"})
			return h.advance(h.now.Add(time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWatching(t, relay("a", "z1", 0))
			effs := run(h)
			if !has[watch.ClaimSlot](effs) || !has[watch.ReadStore](effs) {
				t.Fatalf("effects once the slot may be claimed: %v, want a ClaimSlot and a ReadStore", effs)
			}
			if effs = h.advance(h.now.Add(10 * time.Second)); len(effs) != 0 {
				t.Fatalf("effects while the claim is in flight: %v, want none", effs)
			}
			effs = h.send(watch.ClaimDone{At: h.now, Err: errUnavailable})
			effs = append(effs, h.send(watch.DirectoryRead{At: h.now, Relays: []watch.Relay{relay("e", "z1", 0), relay("f", "z1", 1)}})...)
			if got := connected(effs); len(got) != 1 || got[0] != "e" && got[0] != "f" {
				t.Fatalf("connected to %v after the claim was lost, want one of the new relays", got)
			}
		})
	}
}

// Guards against an instance that claims a second slot while the claim of the first is in
// flight, as when the store is slow, and then holds two slots as one relay.
func TestOneClaimAtATime(t *testing.T) {
	relays := []watch.Relay{relay("a", "z1", 0), relay("b", "z1", 1)}
	started := func(effs []watch.Effect) []string {
		var keys []string
		for _, e := range effs {
			if e, ok := e.(watch.StartRelay); ok {
				keys = append(keys, e.Key)
			}
		}
		return keys
	}
	// claiming returns a harness whose claim of the slot of b is in flight, and which has
	// lost its source and is about to read the directory.
	claiming := func(t *testing.T) *harness {
		h := newWatching(t, relays...)
		h.gone["b#1"] = true
		h.advance(h.now.Add(3 * time.Second))
		h.send(watch.WatchEnded{At: h.now, Reason: "silent"})
		if effs := h.advance(h.now.Add(time.Second)); !has[watch.ClaimSlot](h.effects) || !has[watch.ReadDirectory](effs) {
			t.Fatalf("effects: %v, want a ClaimSlot and a ReadDirectory", h.effects)
		}
		h.effects = nil
		return h
	}
	t.Run("the directory is read before the claim is answered", func(t *testing.T) {
		h := claiming(t)
		h.send(watch.DirectoryRead{At: h.now, Relays: relays})
		h.advance(h.now.Add(time.Second))
		if has[watch.ClaimSlot](h.effects) {
			t.Fatalf("effects while a claim is in flight: %v, want no ClaimSlot", h.effects)
		}
		if got := started(h.send(watch.ClaimDone{At: h.now})); len(got) != 1 || got[0] != watch.Key("z1", 1) {
			t.Errorf("relay started in %v, want the slot that was claimed", got)
		}
	})
	t.Run("the directory shows the claim before it is answered", func(t *testing.T) {
		h := claiming(t)
		own := watch.Relay{StartID: "n#1", Address: "n", DataCentre: "z1", Slot: 1}
		h.send(watch.DirectoryRead{At: h.now, Relays: []watch.Relay{relays[0], own}})
		h.send(watch.ClaimDone{At: h.now})
		if got := started(h.effects); len(got) != 1 || got[0] != watch.Key("z1", 1) {
			t.Errorf("relay started in %v, want the slot that was claimed, once", got)
		}
	})
}

// Guards against an order of relays that depends on that of a map, so that a failure could
// not be repeated with the same random numbers.
func TestRelayOrderFollowsRandomNumbers(t *testing.T) {
	var relays []watch.Relay
	for i := range 8 {
		relays = append(relays, relay(fmt.Sprintf("r%d", i), "z1", i))
	}
	var first []string
	for range 50 {
		h := newHarness("n#1")
		h.send(watch.Started{At: h.now})
		h.send(watch.DirectoryRead{At: h.now, Relays: relays})
		h.advance(h.now.Add(time.Second))
		got := connected(h.effects)
		if first == nil {
			first = got
		}
		if len(got) != len(relays) || !slices.Equal(got, first) {
			t.Fatalf("connected to %v, then to %v with the same random numbers", first, got)
		}
	}
}

// In an outage of the store, all relays report that they cannot reach it: three are
// connected to, and one of them is watched, as it will report the end of the outage.
func TestAllRelaysWithoutStore(t *testing.T) {
	var relays []watch.Relay
	for i := range 20 {
		relays = append(relays, relay(fmt.Sprintf("r%d", i), "z1", i))
	}
	h := newHarness("n#1")
	h.send(watch.Started{At: h.now})
	effs := h.send(watch.DirectoryRead{At: h.now, Relays: relays})
	for range 10 {
		for _, address := range connected(effs) {
			effs = h.send(watch.ConnectDone{At: h.now, Address: address, Outcome: watch.RelayWithoutStore})
		}
	}
	if n := len(connected(h.effects)); n != 3 || !has[watch.OpenWatch](effs) {
		t.Fatalf("%d connects, then effects %v; want 3, then an OpenWatch", n, effs)
	}
}

// A relay without the store for a moment, as it seems while the store drops its change
// history, is kept. One that stays without the store is replaced.
func TestWatchedRelayWithoutStore(t *testing.T) {
	h := newWatching(t, relay("a", "z1", 0), relay("b", "z1", 1))
	h.advance(h.now.Add(4 * time.Second))
	h.send(watch.RelayStatus{At: h.now, StoreUnavailable: true})
	h.send(watch.RelayStatus{At: h.now.Add(500 * time.Millisecond)})
	if effs := h.advance(h.now.Add(3 * time.Second)); len(connected(effs)) != 0 {
		t.Fatalf("effects of a short loss of the store: %v, want no Connect", effs)
	}
	h.send(watch.RelayStatus{At: h.now, StoreUnavailable: true})
	effs := h.advance(h.now.Add(3 * time.Second))
	if got := connected(effs); len(got) == 0 || got[0] != "b" {
		t.Fatalf("connected to %v within 3 s, want b first", got)
	}
	if effs = h.send(watch.ConnectDone{At: h.now, Address: "b", Outcome: watch.RelayReady}); len(effs) == 0 {
		effs = h.effects
	}
	if !has[watch.OpenWatch](effs) && !has[watch.OpenWatch](h.advance(h.now.Add(time.Second))) {
		t.Fatalf("effects once b is ready: %v, want an OpenWatch", effs)
	}
}

// An instance claims a slot of an empty directory after a delay, which is shorter the larger
// the instance is, and one where all relays, however many, are full or a relay is gone. It
// claims none while two relays have room.
func TestSlotClaims(t *testing.T) {
	claims := func(cores float64, relays ...watch.Relay) time.Duration {
		h := newSizedHarness("n#1", cores)
		h.send(watch.Started{At: h.now})
		h.send(watch.DirectoryRead{At: h.now})
		for after := time.Duration(0); after < 4*time.Second; after += 10 * time.Millisecond {
			effs := h.advance(epoch.Add(after))
			for len(effs) > 0 {
				if has[watch.ClaimSlot](effs) {
					return after
				}
				var next []watch.Effect
				for _, e := range effs {
					switch e := e.(type) {
					case watch.ReadDirectory:
						next = append(next, h.send(watch.DirectoryRead{At: h.now, Relays: relays})...)
					case watch.Connect:
						next = append(next, h.send(watch.ConnectDone{At: h.now, Address: e.Relay.Address, Outcome: watch.RelayFull})...)
					}
				}
				effs = next
			}
		}
		return 0
	}
	last := 4 * time.Second
	for _, c := range []struct {
		cores            float64
		earliest, latest time.Duration // 0.3 s to 0.6 s on one core, and 0.1 s until the next check
	}{
		{0.25, 1200 * time.Millisecond, 2500 * time.Millisecond},
		{0.5, 600 * time.Millisecond, 1300 * time.Millisecond},
		{0.8, 375 * time.Millisecond, 850 * time.Millisecond},
		{1, 300 * time.Millisecond, 700 * time.Millisecond},
		{4, 75 * time.Millisecond, 250 * time.Millisecond},
		{16, 18 * time.Millisecond, 138 * time.Millisecond},
	} {
		after := claims(c.cores)
		if after < c.earliest || after > c.latest || after >= last {
			t.Errorf("%v cores: slot of an empty directory claimed after %v, want %v to %v and less than %v, that of a smaller instance", c.cores, after, c.earliest, c.latest, last)
		}
		last = after
	}
	for _, cores := range []float64{0.25, 0.8, 4} {
		for _, full := range []int{2, 3, 6} {
			var relays []watch.Relay
			for i := range full {
				relays = append(relays, relay(string(rune('a'+i)), "z1", i))
			}
			if after := claims(cores, relays...); after == 0 {
				t.Errorf("%v cores: no slot claimed within 4 s while %d relays are full, want one", cores, full)
			}
		}
	}
	h := newWatching(t, relay("a", "z1", 0), relay("b", "z1", 1))
	h.advance(h.now.Add(time.Minute))
	if has[watch.ClaimSlot](h.effects) {
		t.Error("third slot claimed while two relays have room, want none")
	}
	h.gone["b#1"] = true
	h.advance(h.now.Add(5 * time.Second))
	if !has[watch.ClaimSlot](h.effects) {
		t.Error("slot of a relay that is gone not claimed")
	}
}

// Guards against an instance that replaces a live relay because it has not heard from it
// for a moment, as when it was starved itself: it leaves the relay, but claims the slot only
// once the relay is not live, or if it has found no relay for long.
func TestSilentRelayKeepsSlot(t *testing.T) {
	a, b := relay("a", "z1", 0), relay("b", "z1", 1)
	t.Run("another relay answers", func(t *testing.T) {
		h := newWatching(t, a, b)
		h.send(watch.WatchEnded{At: h.now, Reason: "silent", Silent: true})
		h.send(watch.ConnectDone{At: h.now, Address: "b", Outcome: watch.RelayReady})
		h.send(watch.WatchOpened{At: h.now})
		if h.advance(h.now.Add(10 * time.Second)); has[watch.ClaimSlot](h.effects) {
			t.Fatal("slot of a live relay claimed, want none")
		}
		h.gone["a#1"] = true
		if h.advance(h.now.Add(5 * time.Second)); !has[watch.ClaimSlot](h.effects) {
			t.Error("slot of a relay that is not live not claimed")
		}
	})
	t.Run("no relay answers", func(t *testing.T) {
		h := newWatching(t, a, b)
		h.send(watch.WatchEnded{At: h.now, Reason: "silent", Silent: true})
		start, readAt := h.now, time.Duration(0)
		for at := time.Duration(0); !has[watch.ClaimSlot](h.effects); at += 10 * time.Millisecond {
			if at > 15*time.Second {
				t.Fatal("no slot claimed within 15 s without a relay")
			}
			for _, e := range h.advance(start.Add(at)) {
				if _, ok := e.(watch.ReadDirectory); ok { // no Connect is answered
					h.send(watch.DirectoryRead{At: h.now, Relays: []watch.Relay{a, b}})
				}
			}
			if readAt == 0 && has[watch.ReadStore](h.effects) {
				readAt = at
			}
		}
		if took := h.now.Sub(start); readAt == 0 || readAt > 1700*time.Millisecond || took < readAt+5*time.Second {
			t.Errorf("store read after %v, slot claimed after %v; want a read within 1.7 s, and a claim 5 s later at the earliest", readAt, took)
		}
	})
}

// Guards against a relay that another instance has replaced, as on a machine that was busy
// for a moment, and that stayed a relay for as long as it had watchers: it must hand them
// over once the new holder of its slot is ready, and not before.
func TestDisplacedRelayHandsOver(t *testing.T) {
	h := newHarness("n#1")
	h.send(watch.Started{At: h.now})
	h.send(watch.DirectoryRead{At: h.now})
	for !has[watch.ClaimSlot](h.effects) {
		for _, e := range h.advance(h.now.Add(10 * time.Millisecond)) {
			if _, ok := e.(watch.ReadDirectory); ok {
				h.send(watch.DirectoryRead{At: h.now})
			}
		}
	}
	if effs := h.send(watch.ClaimDone{At: h.now}); !has[watch.StartRelay](effs) {
		t.Fatalf("effects of a claim: %v, want a StartRelay", effs)
	}
	h.watchers = 3
	h.send(watch.DirectoryChanged{At: h.now, Relays: []watch.Relay{relay("a", "z1", 0), relay("b", "z1", 1)}})
	for _, o := range []watch.ConnectOutcome{watch.RelayGone, watch.RelayFull, watch.RelayWithoutStore} {
		effs := h.advance(h.now.Add(5 * time.Second)) // longer than avoidPeriod
		if got := connected(effs); len(got) == 0 || got[0] != "a" || has[watch.StopRelay](effs) {
			t.Fatalf("effects after the loss of the slot: %v, want a Connect to a, the new holder, and no StopRelay", effs)
		}
		if effs = h.send(watch.ConnectDone{At: h.now, Address: "a", Outcome: o}); has[watch.StopRelay](effs) || has[watch.OpenWatch](effs) {
			t.Fatalf("effects while the new holder is not ready: %v, want this instance to stay a relay", effs)
		}
	}
	var effs []watch.Effect
	for i := 0; len(connected(effs)) == 0; i++ {
		if i == 100 {
			t.Fatal("no Connect within 10 s")
		}
		effs = h.advance(h.now.Add(100 * time.Millisecond))
	}
	effs = h.send(watch.ConnectDone{At: h.now, Address: "a", Outcome: watch.RelayReady})
	stop := slices.IndexFunc(effs, func(e watch.Effect) bool { _, ok := e.(watch.StopRelay); return ok })
	open := slices.IndexFunc(effs, func(e watch.Effect) bool { _, ok := e.(watch.OpenWatch); return ok })
	if stop < 0 || open < stop {
		t.Fatalf("effects once the new holder is ready: %v, want a StopRelay, then an OpenWatch", effs)
	}
}

// Whatever events arrive, the machine never gets stuck: it asks for a Ticked or for an
// effect that is in flight. Once relays or the store are available again, it finds a
// source.
func TestMachineNeverStuck(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness("n#1")
		h.useRelays = rapid.Bool().Draw(t, "use relays")
		var inFlight []watch.Effect // effects in flight
		following := false          // there is a source
		superseded := false         // the source has changed since the last OpenWatch, which it ended
		collect := func(effs []watch.Effect) {
			for _, e := range effs {
				switch e.(type) {
				case watch.ReadDirectory, watch.Connect, watch.ClaimSlot:
					inFlight = append(inFlight, e)
				case watch.CloseConnections:
					inFlight = slices.DeleteFunc(inFlight, func(e watch.Effect) bool { _, ok := e.(watch.Connect); return ok })
				case watch.OpenWatch:
					inFlight, following, superseded = append(inFlight, e), false, false
				case watch.ReadStore, watch.StartRelay:
					following, superseded = true, true
				case watch.StopRelay:
					following = false
				}
			}
		}
		relays := []watch.Relay{}
		for i := range rapid.IntRange(0, 4).Draw(t, "relays") {
			relays = append(relays, relay(fmt.Sprintf("r%d", i), []string{"z1", "z2"}[i%2], i/2))
		}
		complete := func(i int, good bool) {
			e := inFlight[i]
			inFlight = slices.Delete(inFlight, i, i+1)
			switch e := e.(type) {
			case watch.ReadDirectory:
				if good {
					collect(h.send(watch.DirectoryRead{At: h.now, Relays: relays}))
				} else {
					collect(h.send(watch.DirectoryRead{At: h.now, Err: errUnavailable}))
				}
			case watch.Connect:
				o := watch.RelayReady
				if !good {
					o = rapid.SampledFrom([]watch.ConnectOutcome{watch.RelayWithoutStore, watch.RelayFull, watch.RelayGone}).Draw(t, "outcome")
				}
				collect(h.send(watch.ConnectDone{At: h.now, Address: e.Relay.Address, Outcome: o}))
			case watch.ClaimSlot:
				if good {
					relays = append(slices.DeleteFunc(relays, func(r watch.Relay) bool { return watch.Key(r.DataCentre, r.Slot) == e.Key }), relay("n", "z1", 9))
					collect(h.send(watch.ClaimDone{At: h.now}))
				} else {
					collect(h.send(watch.ClaimDone{At: h.now, Err: errUnavailable}))
				}
			case watch.OpenWatch:
				if !superseded {
					following = good
				}
				if good {
					collect(h.send(watch.WatchOpened{At: h.now}))
				} else {
					collect(h.send(watch.WatchOpened{At: h.now, Err: errors.New("no")}))
				}
			}
		}
		checkNotStuck := func() {
			if len(inFlight) == 0 && h.Next().IsZero() && !(following && !h.useRelays) {
				t.Fatalf("machine is stuck after effects %v", h.effects)
			}
		}
		collect(h.send(watch.Started{At: h.now}))
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			checkNotStuck()
			switch ev := rapid.SampledFrom([]string{"outcome", "outcome", "outcome", "time", "time", "ended", "status", "grow", "disable"}).Draw(t, "event"); {
			case ev == "outcome" && len(inFlight) > 0:
				complete(rapid.IntRange(0, len(inFlight)-1).Draw(t, "which"), rapid.Bool().Draw(t, "good"))
			case ev == "ended":
				if effs := h.send(watch.WatchEnded{At: h.now, Reason: "silent"}); len(effs) > 0 {
					following = false
					collect(effs)
				}
			case ev == "status":
				collect(h.send(watch.RelayStatus{At: h.now, StoreUnavailable: rapid.Bool().Draw(t, "store unavailable")}))
			case ev == "grow":
				h.useRelays = true
			case ev == "disable":
				collect(h.send(watch.RelayingDisabled{At: h.now}))
			default:
				collect(h.advance(h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)))
			}
		}
		for range 200 {
			checkNotStuck()
			if following {
				return
			}
			if len(inFlight) > 0 {
				complete(0, true)
				continue
			}
			collect(h.advance(h.now.Add(500 * time.Millisecond)))
		}
		t.Fatalf("no source found while all effects succeed; effects: %v", h.effects)
	})
}
