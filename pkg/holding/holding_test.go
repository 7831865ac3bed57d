package holding_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/holding"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 500) }

var (
	start  = time.Unix(1_800_000_000, 0)
	config = holding.Config{Limit: 100, Reserve: 10, CustomerShare: 0.5}
)

// held is a hold as the test expects it.
type held struct {
	*holding.Hold[string]
	customer string
	priority int
	bytes    int64
	sent     bool
	waiting  bool
	told     int // calls of OnDisplaced
}

func (h *held) beyond() int64 { return max(h.bytes-config.Reserve, 0) }

// Guards, for any sequence of operations, against data beyond the limit or a customer's
// share, a hold that is displaced by one that is not more urgent, after it was sent or
// without being told exactly once, and bytes that stay counted after the last release.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := holding.New[string](config)
		now := start
		var live []*held
		refused := map[string]time.Time{}
		check := func(by *held) { // after by, which may be nil, was allowed more beyond its reserve
			var total, charged int64
			for _, h := range slices.Clone(live) {
				if h.told > 1 || h.told == 1 && (by == nil || h.sent || h.priority <= by.priority || h.beyond() == 0 || by.sent) {
					t.Fatalf("%+v displaced by %+v", h, by)
				}
				if h.Displaced() != (h.told == 1) {
					t.Fatalf("%+v: Displaced is %v", h, h.Displaced())
				}
				if h.told == 1 {
					live = slices.DeleteFunc(live, func(o *held) bool { return o == h })
					refused[h.customer] = now
					if h.MarkSent() == nil || h.Grow(1) == nil {
						t.Fatalf("%+v may be used after it was displaced", h)
					}
					h.Release()
					continue
				}
				total += h.bytes
				charged += h.beyond()
			}
			if s := b.Stats(); s.Bytes != total || s.Charged != charged || s.Holds != len(live) || charged > config.Limit {
				t.Fatalf("got %+v, want %d bytes and %d beyond reserves of %d holds, at most %d", s, total, charged, len(live), config.Limit)
			}
			if by == nil || by.beyond() == 0 {
				return
			}
			var own int64
			others := false
			for _, h := range live {
				if h.customer == by.customer {
					own += h.beyond()
				} else if h.beyond() > 0 || h.waiting {
					others = true
				}
			}
			for customer, at := range refused {
				others = others || customer != by.customer && now.Sub(at) < time.Second
			}
			if others && float64(own) > config.CustomerShare*float64(config.Limit) {
				t.Fatalf("%s holds %d bytes while others hold or request some", by.customer, own)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap_ms")) * time.Millisecond)
			b.Advance(now)
			op := rapid.SampledFrom([]string{"hold", "hold", "grow", "grow", "shrink", "send", "release"}).Draw(t, "operation")
			n := rapid.Int64Range(0, 80).Draw(t, "bytes")
			if op == "hold" {
				h := &held{customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), priority: rapid.IntRange(0, 2).Draw(t, "priority"), bytes: n}
				var err error
				if h.Hold, err = b.Hold(h.customer, h.priority, n, now); err != nil {
					if n <= config.Reserve {
						t.Fatalf("%d bytes: %v", n, err)
					}
					refused[h.customer] = now
					check(nil)
					continue
				}
				h.OnDisplaced(func() { h.told++ })
				live = append(live, h)
				check(h)
				continue
			}
			if len(live) == 0 {
				continue
			}
			h := live[rapid.IntRange(0, len(live)-1).Draw(t, "hold")]
			switch op {
			case "grow":
				err := h.Grow(n)
				h.waiting = errors.Is(err, holding.ErrNoRoom) && !errors.Is(err, holding.ErrTooLarge)
				before := h.beyond()
				if err == nil {
					h.bytes += n
				}
				if h.beyond() > before {
					check(h)
					continue
				}
			case "shrink":
				h.Shrink(n)
				h.bytes = max(h.bytes-n, 0)
			case "send":
				h.sent = true
				if err := h.MarkSent(); err != nil {
					t.Fatal(err)
				}
			case "release":
				h.Release()
				h.Release()
				live = slices.DeleteFunc(live, func(o *held) bool { return o == h })
			}
			check(nil)
		}
		for _, h := range live {
			h.Release()
		}
		if s := b.Stats(); s != (holding.Stats[string]{}) {
			t.Fatalf("after all were released: %+v", s)
		}
	})
}

// Guards the decisions about one request, on a budget of 100 bytes with reserves of 10.
func TestDecisions(t *testing.T) {
	type request struct {
		customer string
		priority int
		bytes    int64
		sent     bool
	}
	for name, c := range map[string]struct {
		held      []request
		asks      request
		want      error
		displaced int // index in held; -1 if none
	}{
		"fits":                           {nil, request{"a", 0, 110, false}, nil, -1},
		"larger than the limit":          {nil, request{"a", 0, 111, false}, holding.ErrTooLarge, -1},
		"within the reserve":             {[]request{{"a", 0, 110, true}}, request{"b", 9, 10, false}, nil, -1},
		"full":                           {[]request{{"a", 0, 110, true}}, request{"b", 0, 11, false}, holding.ErrNoRoom, -1},
		"half while others hold":         {[]request{{"a", 0, 11, true}}, request{"b", 0, 60, false}, nil, -1},
		"more than half":                 {[]request{{"a", 0, 11, true}}, request{"b", 0, 61, false}, holding.ErrNoRoom, -1},
		"others within their reserves":   {[]request{{"a", 0, 10, true}}, request{"b", 0, 110, false}, nil, -1},
		"less urgent is displaced":       {[]request{{"a", 1, 110, false}}, request{"b", 0, 60, false}, nil, 0},
		"as urgent is not":               {[]request{{"a", 1, 110, false}}, request{"b", 1, 60, false}, holding.ErrNoRoom, -1},
		"sent is not":                    {[]request{{"a", 1, 110, true}}, request{"b", 0, 60, false}, holding.ErrNoRoom, -1},
		"least urgent first":             {[]request{{"a", 2, 60, false}, {"b", 1, 60, false}}, request{"c", 0, 20, false}, nil, 0},
		"newest of them":                 {[]request{{"a", 1, 60, false}, {"b", 1, 60, false}}, request{"c", 0, 20, false}, nil, 1},
		"too small is passed over":       {[]request{{"b", 1, 60, false}, {"a", 2, 15, false}, {"a", 2, 40, true}}, request{"c", 0, 60, false}, nil, 0},
		"too small does not help":        {[]request{{"a", 2, 20, false}, {"a", 0, 50, true}, {"b", 0, 60, true}}, request{"c", 0, 30, false}, holding.ErrNoRoom, -1},
		"own hold, beyond the own share": {[]request{{"b", 0, 30, true}, {"a", 2, 60, false}}, request{"a", 1, 20, false}, nil, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := holding.New[string](config)
			displaced := -1
			for i, r := range c.held {
				h, err := b.Hold(r.customer, r.priority, r.bytes, start)
				if err != nil {
					t.Fatalf("held[%d]: %v", i, err)
				}
				h.OnDisplaced(func() { displaced = i })
				if r.sent {
					_ = h.MarkSent()
				}
			}
			_, err := b.Hold(c.asks.customer, c.asks.priority, c.asks.bytes, start)
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) || displaced != c.displaced {
				t.Errorf("got %v and hold %d displaced, want %v and %d", err, displaced, c.want, c.displaced)
			}
		})
	}
}

// Guards against waiters that are not told of room, and against a customer that is held to
// its share for a request of another one that was given up long ago.
func TestRoomAndDemand(t *testing.T) {
	b := holding.New[string](config)
	a, _ := b.Hold("a", 0, 110, start)
	if _, err := b.Hold("b", 0, 60, start); !errors.Is(err, holding.ErrNoRoom) {
		t.Fatalf("got %v, want ErrNoRoom", err)
	}
	room := b.Room()
	a.Shrink(50)
	select {
	case <-room:
	default:
		t.Error("no notice of room")
	}
	if err := a.Grow(20); !errors.Is(err, holding.ErrNoRoom) {
		t.Errorf("beyond the share while b requests room: got %v, want ErrNoRoom", err)
	}
	if _, err := b.Hold("c", 0, 0, start.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := a.Grow(20); err != nil {
		t.Errorf("a second later: got %v", err)
	}
}

// Guards against holds that wait for each other: the newest of those that wait must give up,
// once, and the other must then fit.
func TestStall(t *testing.T) {
	b := holding.New[string](config)
	var holds []*holding.Hold[string]
	for range 2 {
		h, err := b.Hold("a", 0, 60, start)
		if err != nil {
			t.Fatal(err)
		}
		holds = append(holds, h)
	}
	old, recent := holds[0], holds[1]
	for _, c := range []struct {
		h    *holding.Hold[string]
		want error
	}{{recent, holding.ErrNoRoom}, {recent, holding.ErrNoRoom}, {old, holding.ErrNoRoom}, {old, holding.ErrNoRoom}, {recent, holding.ErrStalled}} {
		if err := c.h.Grow(10); !errors.Is(err, c.want) {
			t.Fatalf("got %v, want %v", err, c.want)
		}
	}
	recent.Shrink(50)
	if err := old.Grow(10); err != nil {
		t.Errorf("the older one: %v", err)
	}
}

// The cost of an ordinary request: under 1 µs and no allocation but the Hold.
func BenchmarkHoldAndRelease(b *testing.B) {
	budget := holding.New[string](holding.Config{Limit: 36 << 20, Reserve: 64 << 10, CustomerShare: 0.5})
	b.ReportAllocs()
	for b.Loop() {
		h, err := budget.Hold("a", 1, 2000, start)
		if err != nil {
			b.Fatal(err)
		}
		h.Release()
	}
}

// Guards against a response that is given up for a body that does not fit: the body's hold is
// released at once, so that the response has room.
func TestRefusedBodyIsNoStall(t *testing.T) {
	b := holding.New[string](config)
	body, _ := b.Hold("a", 0, 60, start)
	response, _ := b.Hold("b", 0, 60, start)
	_ = response.MarkSent()
	if err := response.Grow(10); !errors.Is(err, holding.ErrNoRoom) {
		t.Fatalf("the response grows beyond the limit: got %v, want ErrNoRoom", err)
	}
	if err := body.TryGrow(10); !errors.Is(err, holding.ErrNoRoom) {
		t.Fatalf("the body grows beyond the limit: got %v, want ErrNoRoom", err)
	}
	body.Release()
	if err := response.Grow(10); !errors.Is(err, holding.ErrNoRoom) {
		t.Errorf("beyond the share while a requests room: got %v, want ErrNoRoom", err)
	}
	if _, err := b.Hold("c", 0, 0, start.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if err := response.Grow(10); err != nil {
		t.Errorf("the response once a requests no room: got %v", err)
	}
}

// Guards against a response that is given up for one that has stopped waiting, whose request
// goes on at another upstream and will end.
func TestHoldThatWaitsNoLongerIsNoStall(t *testing.T) {
	b := holding.New[string](config)
	var holds []*holding.Hold[string]
	for _, customer := range []string{"a", "b"} {
		h, err := b.Hold(customer, 0, 60, start)
		if err != nil {
			t.Fatal(err)
		}
		_ = h.MarkSent()
		holds = append(holds, h)
	}
	if err := holds[0].Grow(10); !errors.Is(err, holding.ErrNoRoom) {
		t.Fatalf("the first: got %v, want ErrNoRoom", err)
	}
	holds[0].StopWaiting()
	for range 2 {
		if err := holds[1].Grow(10); !errors.Is(err, holding.ErrNoRoom) {
			t.Fatalf("the second: got %v, want ErrNoRoom", err)
		}
	}
	holds[0].Release()
	if err := holds[1].Grow(10); err != nil {
		t.Errorf("the second once the first has ended: got %v", err)
	}
}

// Guards against a response that waits in vain for room because the request of another
// customer, which was given up long ago, counts as long as no other request arrives.
func TestDemandEndsWithoutFurtherRequests(t *testing.T) {
	b := holding.New[string](config)
	a, _ := b.Hold("a", 0, 60, start)
	_ = a.MarkSent()
	if _, err := b.Hold("b", 0, 70, start); !errors.Is(err, holding.ErrNoRoom) {
		t.Fatalf("got %v, want ErrNoRoom", err)
	}
	b.Advance(start.Add(999 * time.Millisecond))
	if err := a.Grow(10); !errors.Is(err, holding.ErrNoRoom) {
		t.Errorf("beyond the share while b requests room: got %v, want ErrNoRoom", err)
	}
	b.Advance(start.Add(time.Second))
	if err := a.Grow(10); err != nil {
		t.Errorf("a second later: got %v", err)
	}
}

// Guards against a hold that gives up although the others that it stalled with have ended.
func TestNoStallOnceThereIsRoom(t *testing.T) {
	b := holding.New[string](config)
	var holds []*holding.Hold[string]
	for range 2 {
		h, err := b.Hold("a", 0, 60, start)
		if err != nil {
			t.Fatal(err)
		}
		_ = h.MarkSent()
		holds = append(holds, h)
	}
	for _, h := range holds {
		if err := h.Grow(10); !errors.Is(err, holding.ErrNoRoom) {
			t.Fatalf("got %v, want ErrNoRoom", err)
		}
	}
	holds[0].Release()
	if err := holds[1].Grow(10); err != nil {
		t.Errorf("once the other has ended: got %v", err)
	}
}
