package upstream_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// loadingPool replays a pool of engines that load versions in turn while more texts wait
// than the engines have slots. The engines' entries show a version a second late.
type loadingPool struct {
	registry           *upstream.Registry
	rand               *rand.Rand
	engines            []*loadingEngine
	lag                uint64 // how many versions behind the target the texts accept
	target             uint64
	arrivals, refusals int
	worstIdle          time.Duration // longest time from the end of a load to the next accepted text
}

type loadingEngine struct {
	entry              upstream.Entry
	version, next      uint64 // held, and being loaded
	loadEnd, entryAt   time.Time
	freeSince          time.Time // free slot since the load, in which nothing was accepted; zero for none
	loading, unclaimed bool      // loads now; has accepted nothing since its load
	texts              []loadingText
}

type loadingText struct {
	end time.Time
	rsv *upstream.Reservation
}

func newLoadingPool(contended bool, lag, seed uint64) *loadingPool {
	p := &loadingPool{registry: upstream.NewRegistry("z"), rand: rand.New(rand.NewPCG(seed, 1)), target: 1, lag: lag}
	p.registry.SetContended(contended)
	for i := range 11 {
		e := &loadingEngine{version: 1, entry: upstream.Entry{ID: fmt.Sprintf("i%02d", i), Pool: "p", Address: "10.0.0.1:1", DataCentre: "z", Slots: 6, Versions: map[string]uint64{"m": 1}}}
		p.engines = append(p.engines, e)
	}
	p.register()
	return p
}

func (p *loadingPool) register() {
	var es []upstream.Entry
	for _, e := range p.engines {
		es = append(es, e.entry)
	}
	p.registry.Set(es)
}

// run replays a minute from start on. The target version rises every four seconds, and
// at most two engines load at once, half of them for each version.
func (p *loadingPool) run(start time.Time) {
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(5 * time.Millisecond) {
		p.target = 2 + uint64(now.Sub(start)/(4*time.Second))
		for _, e := range p.engines {
			p.step(e, now)
		}
		if now.Sub(start)%(100*time.Millisecond) == 0 {
			p.load(now)
		}
		if now.Sub(start)%(15*time.Millisecond) == 0 {
			for p.send(now) {
			}
		}
	}
}

// load makes engines begin to load the target version.
func (p *loadingPool) load(now time.Time) {
	held, byID, free := map[string]uint64{}, map[string]*loadingEngine{}, 2
	for _, e := range p.engines {
		held[e.entry.ID], byID[e.entry.ID] = e.version, e
		if e.loading {
			held[e.entry.ID], free = p.target, free-1
		}
	}
	for _, id := range weights.EnginesToLoad(held, weights.Demand{Model: "m", TargetVersion: p.target, MaxLag: 1, Busy: true}, 0) {
		if e := byID[id]; free > 0 {
			free--
			e.loading, e.next = true, p.target
			e.loadEnd = now.Add(time.Duration(900+p.rand.IntN(200)) * time.Millisecond)
		}
	}
}

// step ends what ends at an engine at now.
func (p *loadingPool) step(e *loadingEngine, now time.Time) {
	if e.loading && !now.Before(e.loadEnd) {
		e.loading, e.unclaimed, e.entryAt, e.freeSince, e.version = false, true, now.Add(time.Second), time.Time{}, e.next
	}
	if !e.entryAt.IsZero() && !now.Before(e.entryAt) {
		e.entryAt, e.entry.Versions = time.Time{}, map[string]uint64{"m": e.version}
		p.register()
	}
	left := e.texts[:0]
	for _, text := range e.texts {
		if now.Before(text.end) {
			left = append(left, text)
			continue
		}
		text.rsv.Done(upstream.AttemptResult{At: now})
	}
	e.texts = left
	if e.unclaimed && e.freeSince.IsZero() && len(e.texts) < 6 {
		e.freeSince = now
	}
}

// send sends a text to an engine, if one may take it, and reports whether it did.
func (p *loadingPool) send(now time.Time) bool {
	req := upstream.Requirements{Pool: "p", Now: now, Model: "m", MinVersion: p.target - p.lag, Newest: p.target, NeedFreeSlot: true}
	rsv, ok := p.registry.Acquire(req)
	if !ok {
		req.Outdated = true
		rsv, ok = p.registry.Acquire(req)
	}
	if !ok {
		return false
	}
	p.arrivals++
	var e *loadingEngine
	for _, e = range p.engines {
		if e.entry.ID == rsv.ID {
			break
		}
	}
	load := &upstream.Load{Running: len(e.texts), Slots: 6}
	switch {
	case e.loading:
		p.refusals++
		rsv.Done(upstream.AttemptResult{At: now, Load: load, Busy: true, BusyUntil: now.Add(100 * time.Millisecond), Loading: load.FreeSlot()})
	case e.version < req.MinVersion:
		p.refusals++
		rsv.Done(upstream.AttemptResult{At: now, Load: load, VersionRefused: true})
	default:
		if e.unclaimed {
			p.worstIdle = max(p.worstIdle, now.Sub(e.freeSince))
			e.unclaimed = false
		}
		rsv.Observe(upstream.AttemptResult{At: now, Load: load, Versions: map[string]uint64{"m": e.version}})
		e.texts = append(e.texts, loadingText{now.Add(time.Duration(400+p.rand.IntN(1200)) * time.Millisecond), rsv})
	}
	return true
}

// Engines that load were sent a text every 100 ms, so that most of what arrived at them
// was refused. They must be left out until their load can have ended, and be used again
// soon after it has.
func TestLoadingEnginesAreLeftOut(t *testing.T) {
	for lag, name := range map[uint64]string{1: "engines become too old for texts", 2: "engines in use load"} {
		share := map[bool]float64{}
		for _, contended := range []bool{false, true} {
			arrivals, refusals, worstIdle := 0, 0, time.Duration(0)
			for seed := range uint64(5) {
				p := newLoadingPool(contended, lag, seed)
				p.run(baseTime())
				arrivals, refusals, worstIdle = arrivals+p.arrivals, refusals+p.refusals, max(worstIdle, p.worstIdle)
			}
			share[contended] = float64(refusals) / float64(arrivals)
			t.Logf("%s, contended %v: %d of %d arrivals refused, a slot idle for at most %v after a load", name, contended, refusals, arrivals, worstIdle)
			if contended && worstIdle > 150*time.Millisecond {
				t.Errorf("%s: a slot was idle for %v after a load, want at most 150ms", name, worstIdle)
			}
		}
		if share[true] > 0.1 || share[true] >= share[false] {
			t.Errorf("%s: %.3f of the arrivals refused, %.3f in a pool that is not contended, want at most 0.1 and fewer", name, share[true], share[false])
		}
	}
}

// An engine that refused a text because it was loading must be usable at once when its
// entry shows the version, or when it has restarted; until then the item would wait while
// the engine is idle.
func TestEntryEndsLoadingPause(t *testing.T) {
	for name, change := range map[string]func(*upstream.Entry){
		"version":   func(e *upstream.Entry) { e.Versions = map[string]uint64{"m": 2} },
		"restarted": func(e *upstream.Entry) { e.Born++ },
		"unchanged": func(*upstream.Entry) {},
	} {
		r := upstream.NewRegistry("z")
		r.SetContended(true)
		es := entries(1)
		r.Set(es)
		now := baseTime()
		acquire := func() (*upstream.Reservation, bool) {
			return r.Acquire(upstream.Requirements{Pool: "p", Now: now, Model: "m", MinVersion: 1, NeedFreeSlot: true})
		}
		rsv, _ := acquire()
		rsv.Done(upstream.AttemptResult{At: now, Load: &upstream.Load{Slots: 8}})
		now = now.Add(100 * time.Millisecond)
		rsv, _ = acquire()
		rsv.Done(upstream.AttemptResult{At: now, Load: &upstream.Load{Slots: 8}, Busy: true, BusyUntil: now.Add(100 * time.Millisecond), Loading: true})
		now = now.Add(200 * time.Millisecond)
		change(&es[0])
		r.Set(es)
		for i := range 2 {
			if _, ok := acquire(); ok != (name != "unchanged") {
				t.Errorf("%s: request %d sent = %v, want %v", name, i, ok, !ok)
			}
		}
	}
}

// When a step began, an engine that was loading refused a text for each of its slots. One
// that may have begun to load must get a single text first, and the others as soon as it has
// accepted that. One that holds the newest version must get all of them at once.
func TestEngineThatMayLoadGetsOneText(t *testing.T) {
	for newest, want := range map[uint64]int{1: 8, 2: 1} {
		r := upstream.NewRegistry("z")
		r.SetContended(true)
		r.Set(entries(1))
		send := func() (sent []*upstream.Reservation) {
			for {
				rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), Model: "m", MinVersion: 1, Newest: newest, NeedFreeSlot: true})
				if !ok {
					return sent
				}
				sent = append(sent, rsv)
			}
		}
		first := send()
		if len(first) != want || first[0].Alone != (want == 1) {
			t.Fatalf("newest version %d: %d texts sent at first, want %d", newest, len(first), want)
		}
		first[0].Observe(upstream.AttemptResult{At: baseTime(), Load: &upstream.Load{Running: 1, Slots: 8}})
		if n := len(send()); n != 8-want {
			t.Errorf("newest version %d: %d texts sent after the first was accepted, want %d", newest, n, 8-want)
		}
	}
}

// An engine that is full must be tried as often as before: its slots are free again within
// a fraction of the time that a load takes.
func TestFullEngineIsNotLoading(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.SetContended(true)
	r.Set(entries(1))
	now := baseTime()
	for i := range 5 {
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, Model: "m"})
		if !ok {
			t.Fatalf("request %d: the full engine was not tried after 100 ms", i)
		}
		load := &upstream.Load{Running: 8, Slots: 8}
		rsv.Done(upstream.AttemptResult{At: now, Load: load, Busy: true, BusyUntil: now.Add(100 * time.Millisecond), Loading: load.FreeSlot()})
		now = now.Add(100 * time.Millisecond)
	}
}

// A text that was answered long ago must not end the wait for another text's answer: the
// engine would be sent the rest of the texts although it may be loading. Streams go on
// during a load, so their events show nothing.
func TestStreamDoesNotEndWaitForAnswer(t *testing.T) {
	for name, event := range map[string]func(*upstream.Reservation, time.Time){
		"events": func(rsv *upstream.Reservation, now time.Time) {
			rsv.Observe(upstream.AttemptResult{At: now, TimePerUnit: time.Millisecond})
		},
		"end":      func(rsv *upstream.Reservation, now time.Time) { rsv.Done(upstream.AttemptResult{At: now}) },
		"not sent": func(rsv *upstream.Reservation, _ time.Time) { rsv.Release() },
	} {
		r := upstream.NewRegistry("z")
		r.SetContended(true)
		r.Set(entries(1))
		now := baseTime()
		acquire := func() (*upstream.Reservation, bool) {
			return r.Acquire(upstream.Requirements{Pool: "p", Now: now, Model: "m", MinVersion: 1, Newest: 2, NeedFreeSlot: true})
		}
		first, _ := acquire()
		first.Observe(upstream.AttemptResult{At: now, Load: &upstream.Load{Running: 1, Slots: 8}})
		now = now.Add(time.Second)
		if second, ok := acquire(); !ok || !second.Alone {
			t.Fatalf("%s: no text sent alone after a second without an answer", name)
		}
		event(first, now)
		if _, ok := acquire(); ok {
			t.Errorf("%s: a third text sent while the answer to the second was awaited", name)
		}
	}
}

// An engine that takes longer to answer than the time after which it may have begun to
// load must get its other texts when it has accepted one. It used to get each of them
// alone, so that its slots were filled one answer after the other.
func TestSlowAnswerFreesAllSlots(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.SetContended(true)
	r.Set(entries(1))
	now := baseTime()
	acquire := func() (*upstream.Reservation, bool) {
		return r.Acquire(upstream.Requirements{Pool: "p", Now: now, Model: "m", MinVersion: 1, Newest: 2, NeedFreeSlot: true})
	}
	first, _ := acquire()
	now = now.Add(400 * time.Millisecond)
	first.Observe(upstream.AttemptResult{At: now, Load: &upstream.Load{Running: 1, Slots: 8}})
	for i := 1; i < 8; i++ {
		if rsv, ok := acquire(); !ok || rsv.Alone {
			t.Fatalf("text %d: sent = %v, not with the others after the first was accepted", i, ok)
		}
	}
	now = now.Add(400 * time.Millisecond)
	first.Observe(upstream.AttemptResult{At: now, TimePerUnit: 10 * time.Millisecond})
	first.Done(upstream.AttemptResult{At: now})
	if rsv, ok := acquire(); !ok || !rsv.Alone {
		t.Errorf("no text sent alone after 400 ms in which only events of a stream came")
	}
}

// While the only engine assigned to a model is to answer the text that it got alone, the
// others must wait for it. They used to go to engines assigned to other models, whose
// slots these models lost. An engine that does
// not answer must not hold them up for longer than loads are noticed.
func TestAwaitedEngineKeepsItsModel(t *testing.T) {
	r := upstream.NewRegistry("z")
	r.SetContended(true)
	es := entries(2)
	r.Set(es)
	r.SetAssignments(map[string][]string{"m": {es[0].ID}, "other": {es[1].ID}})
	now := baseTime()
	acquire := func() (*upstream.Reservation, bool) {
		return r.Acquire(upstream.Requirements{Pool: "p", Now: now, Model: "m", MinVersion: 1, Newest: 2, NeedFreeSlot: true})
	}
	first, ok := acquire()
	if !ok || first.ID != es[0].ID {
		t.Fatalf("first text sent = %v, want it at the assigned engine", ok)
	}
	now = now.Add(50 * time.Millisecond)
	if rsv, ok := acquire(); ok {
		t.Errorf("second text sent to %s before the assigned engine has answered the first", rsv.ID)
	}
	now = now.Add(80 * time.Millisecond)
	if rsv, ok := acquire(); !ok || rsv.ID != es[1].ID {
		t.Errorf("second text sent = %v after 130 ms without an answer, want it at the other engine", ok)
	}
}
