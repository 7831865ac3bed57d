package upstream_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	engineMemory = 62_540
	engineSlots  = 6
	longestText  = 14_000
	meanText     = 2_800
	tokenTime    = 529 * time.Microsecond
	lookPeriod   = 15 * time.Millisecond // at which waiting texts look for room
)

// newMemoryRegistry returns a contended pool of n engines with limited memory.
func newMemoryRegistry(n int) *upstream.Registry {
	r := upstream.NewRegistry("z")
	r.SetContended(true)
	r.SetMemory(map[string]int{"p": engineMemory})
	es := entries(n)
	for i := range es {
		es[i].Slots = engineSlots
	}
	r.Set(es)
	return r
}

// Guards against engines whose memory is exceeded by this instance's requests or others',
// whether placed or moved, and against memory that stays taken after requests have ended.
func TestMemoryIsNotExceeded(t *testing.T) {
	type engine struct{ tokens, requests, others int }
	rapid.Check(t, func(t *rapid.T) {
		r, now := newMemoryRegistry(2), baseTime()
		type request struct {
			*upstream.Reservation
			tokens int
		}
		var running []request
		engines := map[string]*engine{"i0": {}, "i1": {}}
		sum, n := 0, 0 // of all requests
		started := func(rsv *upstream.Reservation, tokens int) {
			e := engines[rsv.ID]
			e.tokens, e.requests = e.tokens+tokens, e.requests+1
			if used := float64(e.tokens) + float64(e.others*sum)/float64(max(n, 1)); e.requests+e.others > 1 && used > 0.95*engineMemory+1 {
				t.Fatalf("%v tokens expected at %s: %+v", used, rsv.ID, e)
			}
			sum, n, running = sum+tokens, n+1, append(running, request{rsv, tokens})
		}
		end := func(i int, done bool) {
			rq, e := running[i], engines[running[i].ID]
			running = slices.Delete(running, i, i+1)
			e.tokens, e.requests = e.tokens-rq.tokens, e.requests-1
			if !done {
				rq.Release()
				return
			}
			e.others = rapid.IntRange(0, 4).Draw(t, "others")
			rq.Done(upstream.AttemptResult{At: now, TimePerUnit: time.Duration(1+rq.tokens) * time.Microsecond, Load: &upstream.Load{Running: e.requests + e.others, Slots: engineSlots}})
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			req := upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true, Tokens: rapid.IntRange(1, 70_000).Draw(t, "tokens")}
			switch i := rapid.IntRange(0, max(len(running)-1, 0)).Draw(t, "request"); {
			case len(running) == 0 || rapid.Bool().Draw(t, "acquire"):
				if rsv, ok := r.Acquire(req); ok {
					started(rsv, req.Tokens)
				}
			case rapid.Bool().Draw(t, "move"):
				req.Tokens, req.Units = running[i].tokens, 1e6
				if rsv, ok := running[i].AcquireSooner(req, 0); ok {
					started(rsv, req.Tokens)
					end(i, true)
				}
			default:
				end(i, rapid.Bool().Draw(t, "done"))
			}
		}
		for len(running) > 0 {
			end(0, true)
		}
		now = now.Add(time.Second) // the loads are too old by then
		for range 2 * len(engines) {
			// Two that fill an engine fit only if nothing is left over there.
			if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true, Tokens: engineMemory * 95 / 200}); !ok {
				t.Fatal("memory stays taken after all requests have ended")
			}
		}
	})
}

// Guards against requests that are held up where the memory is not known or the pool is not
// contended, and against an engine's memory that is refused to its only request.
func TestMemoryWithoutLimit(t *testing.T) {
	for name, change := range map[string]func(*upstream.Registry){
		"memory not known": func(r *upstream.Registry) { r.SetMemory(nil) },
		"not contended":    func(r *upstream.Registry) { r.SetContended(false) },
		"limited":          func(*upstream.Registry) {},
	} {
		r, taken := newMemoryRegistry(1), 0
		change(r)
		for range engineSlots {
			if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: baseTime(), NeedFreeSlot: true, Tokens: 70_000, First: "x"}); ok {
				taken++
			}
		}
		limited := name == "limited"
		if (taken == 1) != limited || !limited && taken != engineSlots || r.TooLarge("p", 70_000) != limited || (r.MemoryRefusals() > 0) != limited {
			t.Errorf("%s: %d requests were sent, too large: %v, %d without room", name, taken, r.TooLarge("p", 70_000), r.MemoryRefusals())
		}
	}
}

// Guards against a longest text that waits while shorter ones, each of which fits, go ahead
// of it as long as there are any. Of these, an engine's memory holds as many as it has slots,
// but four at most together with a longest text.
func TestFirstRequestIsNotOvertakenForever(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(1, 4).Draw(t, "engines")
		r, begin := newMemoryRegistry(engines), baseTime()
		now := begin
		type text struct {
			*upstream.Reservation
			endsAt time.Time
		}
		var running []text
		start := func(tokens int, first string) (room int, lacking bool) {
			req := upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true, Tokens: tokens, First: first}
			if rsv, ok := r.Acquire(req); ok {
				running = append(running, text{rsv, now.Add(time.Duration(tokens) * tokenTime)})
				return math.MaxInt, false
			}
			return r.MemoryRoom(req)
		}
		large, small := rapid.IntRange(9_100, 9_900), rapid.IntRange(300, meanText)
		for i := range engines * engineSlots { // in all phases of their generation
			start(large.Draw(t, "running"), "")
			running[i].endsAt = now.Add(time.Duration(rapid.IntRange(1, 5_200).Draw(t, "left")) * time.Millisecond)
		}
		for ; ; now = now.Add(lookPeriod) {
			running = slices.DeleteFunc(running, func(rq text) bool {
				ended := !now.Before(rq.endsAt)
				if ended {
					rq.Done(upstream.AttemptResult{At: now})
				}
				return ended
			})
			room, lacking := start(longestText, "longest")
			if !lacking && room == math.MaxInt {
				return
			}
			for _, size := range []*rapid.Generator[int]{large, large, small} {
				if tokens := size.Draw(t, "other"); lacking && tokens <= room {
					if left, lacking := start(tokens, ""); lacking {
						room = min(room, left)
					}
				}
			}
			if waited := now.Sub(begin); waited > 8*time.Second {
				t.Fatalf("the longest has waited for %v", waited)
			}
		}
	})
}

// Guards against small requests that wait as long as the first one does: an engine that has
// taken three ahead of it takes more after a second, up to half of what has ended there, and
// any after 8 s, or once the first one has been taken.
func TestSmallRequestsAreNotHeldUpForGood(t *testing.T) {
	r, now := newMemoryRegistry(1), baseTime()
	try := func(at time.Duration, tokens int, first string, want bool) *upstream.Reservation {
		t.Helper()
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now.Add(at), NeedFreeSlot: true, Tokens: tokens, First: first})
		if ok != want {
			t.Errorf("after %v, %d tokens: sent %v, want %v", at, tokens, ok, want)
		}
		return rsv
	}
	running := try(0, 40_000, "", true)
	try(0, 25_000, "x", false)
	overtaking := []*upstream.Reservation{try(0, 800, "", true), try(0, 1_000, "", true), try(0, 1_000, "", true)}
	try(0, 10, "", false)
	overtaking[0].Done(upstream.AttemptResult{At: now})
	try(999*time.Millisecond, 10, "", false)
	try(999*time.Millisecond, 25_000, "x", false)
	try(time.Second, 401, "", false)
	try(time.Second, 400, "", true)
	overtaking[1].Done(upstream.AttemptResult{At: now})
	for at := 1500 * time.Millisecond; at < 8*time.Second; at += 500 * time.Millisecond {
		try(at, 25_000, "x", false)
		try(at, 501, "", false)
	}
	try(8*time.Second, 501, "", true)
	overtaking = append(overtaking, try(8*time.Second, 10, "", true), try(8*time.Second, 10, "", true))
	try(8*time.Second, 10, "", false)
	running.Done(upstream.AttemptResult{At: now})
	try(8*time.Second, 25_000, "x", true)
	overtaking[3].Done(upstream.AttemptResult{At: now})
	try(8*time.Second, 5_000, "", true)
}

// Guards against two requests that wait for the same engine and keep it free from each other,
// so that neither is sent although both fit. The one that has waited longer goes first, until
// it waits no longer.
func TestWaitingRequestsDoNotHoldEachOtherUp(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		r, now := newMemoryRegistry(1), baseTime()
		try := func(at time.Duration, tokens int, first string, want bool) *upstream.Reservation {
			t.Helper()
			rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now.Add(at), NeedFreeSlot: true, Tokens: tokens, First: first})
			if ok != want {
				t.Errorf("first leaves %v: after %v, %d tokens: sent %v, want %v", leaves, at, tokens, ok, want)
			}
			return rsv
		}
		running := try(0, 40_000, "", true)
		try(0, 25_000, "y", false)
		try(time.Millisecond, 24_000, "x", false)
		for range 3 {
			try(time.Millisecond, 1_000, "", true)
		}
		running.Release()
		try(time.Millisecond, 24_000, "x", false)
		if !leaves {
			try(time.Millisecond, 25_000, "y", true)
			try(time.Millisecond, 24_000, "x", true)
			continue
		}
		try(999*time.Millisecond, 24_000, "x", false)
		try(time.Second, 24_000, "x", true)
	}
}

// Guards against an engine that is kept free for a request that no longer goes there, because
// the engine has been assigned to another model.
func TestReassignedEngineIsNotHeld(t *testing.T) {
	r, now := newMemoryRegistry(2), baseTime()
	first := upstream.Requirements{Pool: "p", Model: "a", NeedFreeSlot: true, Tokens: 25_000, First: "x"}
	r.SetAssignments(map[string][]string{"a": {"i0", "i1"}})
	for range 2 {
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, Model: "a", NeedFreeSlot: true, Tokens: 40_000}); !ok {
			t.Fatal("an engine without requests refused one")
		}
	}
	waits := func(at time.Duration) {
		first.Now = now.Add(at)
		if _, ok := r.Acquire(first); ok {
			t.Fatal("the request was sent although it does not fit")
		}
	}
	waits(0)
	r.SetAssignments(map[string][]string{"a": {"i0"}, "b": {"i1"}})
	for at := 500 * time.Millisecond; at <= 2*time.Second; at += 500 * time.Millisecond {
		waits(at)
	}
	for i := range 5 {
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now.Add(2 * time.Second), Model: "b", NeedFreeSlot: true, Tokens: 100}); !ok {
			t.Errorf("request %d for the new model was refused", i)
		}
	}
}

// Guards against texts whose prompt or output is counted in full, or not at all, because
// of their hint.
func TestExpectedTokens(t *testing.T) {
	for _, test := range []struct {
		use        upstream.TokenUse
		hint, want int
	}{{upstream.TokenUse{}, 0, 0}, {upstream.TokenUse{Prompt: 260, Output: 13_000}, 0, 13_260}, {upstream.TokenUse{Prompt: 260, Output: 13_000}, 1_000, 1_760},
		{upstream.TokenUse{Prompt: 1_000, Output: 900}, 1 << 62, 1_900}, {upstream.TokenUse{Prompt: 1_000, Output: 900}, -5, 1_900}, {upstream.TokenUse{Prompt: 500}, 800, 500}} {
		if got := test.use.Expected(test.hint); got != test.want {
			t.Errorf("%+v with hint %d: got %d tokens, want %d", test.use, test.hint, got, test.want)
		}
	}
}

// Guards against an engine that has room for a request, but is kept free for another one, and
// counts as one that lacks memory. The number of such cases tells operators to add engines.
func TestEngineKeptFreeDoesNotLackMemory(t *testing.T) {
	r, now := newMemoryRegistry(1), baseTime()
	try := func(at time.Duration, tokens int, first string, wait, want bool, refusals int64) {
		t.Helper()
		_, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now.Add(at), NeedFreeSlot: wait, Tokens: tokens, First: first})
		if got := r.MemoryRefusals(); ok != want || got != refusals {
			t.Errorf("after %v, %d tokens: sent %v with %d refusals for lack of memory so far, want %v and %d", at, tokens, ok, got, want, refusals)
		}
	}
	try(0, 40_000, "", true, true, 0)
	try(0, 25_000, "x", true, false, 1)
	for range 3 {
		try(0, 1_000, "", true, true, 1)
	}
	try(0, 10_000, "", false, false, 1)
	try(0, 10_000, "y", true, false, 1)
	try(0, 30_000, "", false, false, 2)
	try(500*time.Millisecond, 10_000, "y", true, false, 2)
	try(time.Second, 10_000, "", true, true, 2) // x waits no longer
	for range 2 {
		try(time.Second, 10_000, "y", true, false, 3)
	}
}

// Guards against requests that are not sent after all, for example because their content
// has been quarantined, and count as ones that went ahead of a waiting request: the engine
// would be kept free early, and give no room that has become free before.
func TestReleasedRequestOvertakesNone(t *testing.T) {
	r, now := newMemoryRegistry(1), baseTime()
	try := func(at time.Duration, tokens int, first string, want bool) *upstream.Reservation {
		t.Helper()
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now.Add(at), NeedFreeSlot: true, Tokens: tokens, First: first})
		if ok != want {
			t.Fatalf("after %v, %d tokens: sent %v, want %v", at, tokens, ok, want)
		}
		return rsv
	}
	try(0, 40_000, "", true)
	try(0, 25_000, "x", false)
	for range 5 {
		try(0, 1_000, "", true).Release()
	}
	sent := []*upstream.Reservation{try(0, 1_000, "", true), try(0, 1_000, "", true), try(0, 1_000, "", true)}
	try(0, 10, "", false)
	sent[2].Release()
	sent[2] = try(0, 800, "", true)
	try(0, 10, "", false)
	sent[2].Done(upstream.AttemptResult{At: now})
	try(999*time.Millisecond, 25_000, "x", false)
	try(time.Second, 401, "", false)
	try(time.Second, 400, "", true).Release()
	try(time.Second, 401, "", false)
	try(time.Second, 400, "", true)
	try(time.Second, 10, "", false)
}

// Guards against a request that needs an engine of its own and is overtaken whenever the
// engine has nothing to do.
func TestEmptyEngineIsKeptFree(t *testing.T) {
	r, now := newMemoryRegistry(1), baseTime()
	try := func(tokens int, first string, want bool) *upstream.Reservation {
		t.Helper()
		rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true, Tokens: tokens, First: first})
		if ok != want {
			t.Fatalf("%d tokens: sent %v, want %v", tokens, ok, want)
		}
		return rsv
	}
	running := []*upstream.Reservation{try(1_000, "", true)}
	try(60_000, "x", false)
	for range 3 {
		running = append(running, try(1_000, "", true))
	}
	for _, rsv := range running {
		rsv.Done(upstream.AttemptResult{At: now})
	}
	try(10, "", false)
	try(60_000, "x", true)
}
