package waitqueue_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/waitqueue"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 300) }

var start = time.Unix(1_800_000_000, 0)

// waiter is a waiter of a test with the signals that it got.
type waiter struct {
	waitqueue.Waiter[string]
	ticket    *waitqueue.Ticket[string]
	turns     int
	displaced bool
}

// join adds a waiter to q.
func join(q *waitqueue.Queue[string], w waitqueue.Waiter[string], now time.Time) (*waiter, error) {
	out := &waiter{Waiter: w}
	out.Notify = func(s waitqueue.Signal) {
		if s == waitqueue.Displaced {
			out.displaced = true
			return
		}
		out.turns++
	}
	var err error
	out.ticket, err = q.Join(out.Waiter, now)
	return out, err
}

// Guards, for any sequence of arrivals, room, wake-ups and departures, against a waiter
// that is lost, has the turn together with another one, is displaced with the turn or
// never gets it, and against a queue longer than its limit.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		q := waitqueue.New[string](waitqueue.Config{Limit: limit, CustomerShare: 0.5})
		now := start
		var waiting []*waiter
		for range rapid.IntRange(1, 80).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gap_ms")) * time.Millisecond)
			var turn *waiter
			for _, w := range waiting {
				if w.turns > 0 {
					turn = w
				}
			}
			switch op := rapid.SampledFrom([]string{"join", "join", "wake", "take", "no room", "leave"}).Draw(t, "operation"); {
			case op == "join":
				w, err := join(q, waitqueue.Waiter[string]{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
					Work: float64(rapid.IntRange(0, 3).Draw(t, "work")), Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline_ms")) * time.Millisecond)}, now)
				if err == nil {
					waiting = append(waiting, w)
				}
				if errors.Is(err, waitqueue.ErrFull) && len(waiting) < limit {
					t.Fatalf("full with %d of %d waiters", len(waiting), limit)
				}
			case op == "wake":
				q.Wake()
			case op == "take" && turn != nil:
				turn.ticket.Take(now)
				waiting = without(waiting, turn)
			case op == "no room" && turn != nil:
				turn.turns--
				turn.ticket.NoRoom()
			case op == "leave" && len(waiting) > 0:
				w := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "waiter")]
				if !w.ticket.Leave() {
					t.Fatal("Leave of a waiter that was not displaced: got false")
				}
				waiting = without(waiting, w)
			}
			turns := 0
			for i := 0; i < len(waiting); i++ {
				w := waiting[i]
				turns += w.turns
				if w.displaced {
					if w.turns > 0 || w.ticket.Leave() {
						t.Fatal("a displaced waiter has the turn or is still in the queue")
					}
					waiting = without(waiting, w)
					i--
				}
			}
			if turns > 1 || len(waiting) > limit || q.Len() != len(waiting) {
				t.Fatalf("%d turns, length %d with %d waiters and a limit of %d", turns, q.Len(), len(waiting), limit)
			}
		}
		drain(t, q, waiting, now)
	})
}

// drain has all waiters served and checks that each is, in the order of their priorities.
func drain(t *rapid.T, q *waitqueue.Queue[string], waiting []*waiter, now time.Time) {
	q.Wake()
	last := -1
	for len(waiting) > 0 {
		var turn *waiter
		for _, w := range waiting {
			if w.turns > 0 {
				turn = w
			}
		}
		if turn == nil {
			t.Fatalf("%d waiters without a turn", len(waiting))
		}
		if turn.Priority < last {
			t.Fatalf("priority %d served after %d", turn.Priority, last)
		}
		waiting = without(waiting, turn)
		turn.ticket.Take(now)
		if len(waiting) > 0 && last < 0 {
			last = 0 // the first had the turn before the more urgent ones joined
			continue
		}
		last = turn.Priority
	}
	if q.Len() != 0 {
		t.Fatalf("length %d of an empty queue", q.Len())
	}
}

func without(ws []*waiter, w *waiter) []*waiter {
	var out []*waiter
	for _, o := range ws {
		if o != w {
			out = append(out, o)
		}
	}
	return out
}

// serve has n waiters served, of ws, and returns them in order.
func serve(q *waitqueue.Queue[string], ws []*waiter, n int) []*waiter {
	var out []*waiter
	q.Wake()
	for range n {
		for _, w := range ws {
			if w.turns > 0 {
				w.turns = 0
				out = append(out, w)
				w.ticket.Take(start)
				break
			}
		}
	}
	return out
}

// Guards against a customer with many or long requests that delays the others: of
// customers with requests of work 1 to 3 that all wait, each gets at least one of them
// served before any other has got the work of its own request and of the other's next one
// beyond it, which for equal work is one round of all customers.
func TestEachCustomerIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := waitqueue.New[string](waitqueue.Config{Limit: 1000, CustomerShare: 1})
		work := map[string]float64{}
		var ws []*waiter
		for i := range rapid.IntRange(2, 8).Draw(t, "customers") {
			customer := fmt.Sprint(i)
			work[customer] = float64(rapid.IntRange(1, 3).Draw(t, "work"))
			for range rapid.IntRange(10, 30).Draw(t, "requests") {
				w, err := join(q, waitqueue.Waiter[string]{Customer: customer, Work: work[customer], Deadline: start.Add(time.Second)}, start)
				if err != nil {
					t.Fatal(err)
				}
				ws = append(ws, w)
			}
		}
		got := map[string]float64{}
		for _, w := range serve(q, ws, 10) { // every customer has requests left
			got[w.Customer] += w.Work
			for a := range work {
				for b := range work {
					if got[a] > got[b]+work[a]+work[b] {
						t.Fatalf("customer %s got work %v and %s %v, with requests of %v and %v", a, got[a], b, got[b], work[a], work[b])
					}
				}
			}
		}
	})
}

// Guards against an urgent request, or one of a customer with less than its share, that is
// refused while the queue is full of others, and against their being displaced by it.
func TestFullQueue(t *testing.T) {
	q := waitqueue.New[string](waitqueue.Config{Limit: 4, CustomerShare: 0.5})
	try := func(priority int, customer string) (*waiter, error) {
		return join(q, waitqueue.Waiter[string]{Priority: priority, Customer: customer, Deadline: start.Add(time.Second)}, start)
	}
	var heavy []*waiter
	for range 4 {
		w, err := try(2, "heavy")
		if err != nil {
			t.Fatal(err)
		}
		heavy = append(heavy, w)
	}
	for i, test := range []struct {
		priority int
		customer string
		want     error
	}{{2, "heavy", waitqueue.ErrFull}, {3, "light", waitqueue.ErrFull}, {2, "light", nil}, {2, "light", nil}, {2, "light", waitqueue.ErrFull}, {2, "third", waitqueue.ErrFull}, {0, "heavy", nil}} {
		if _, err := try(test.priority, test.customer); err != test.want || q.Len() != 4 {
			t.Errorf("arrival %d: got %v with length %d, want %v with 4", i, err, q.Len(), test.want)
		}
	}
	if heavy[0].displaced || !heavy[2].displaced || !heavy[3].displaced {
		t.Error("want the last of the large customer's waiters displaced and its first kept")
	}
}

// Guards against waiters that are kept although their deadline will pass before their turn:
// a waiter finds room every 10 ms.
func TestRefusesThoseWhoAreTooLate(t *testing.T) {
	q := waitqueue.New[string](waitqueue.Config{Limit: 100, CustomerShare: 0.5})
	now := start
	var ws []*waiter
	for range 30 {
		w, err := join(q, waitqueue.Waiter[string]{Customer: "a", Deadline: now.Add(time.Second)}, now)
		if err != nil {
			t.Fatal(err)
		}
		ws = append(ws, w)
	}
	q.Wake()
	for _, w := range ws[:20] {
		now = now.Add(10 * time.Millisecond)
		if w.turns != 1 {
			t.Fatal("a waiter of a single customer is not served in its order")
		}
		w.ticket.Take(now)
	}
	for _, test := range []struct { // ten waiters are left, and one more after the second arrival
		customer string
		limit    time.Duration
		want     error
	}{{"a", 90 * time.Millisecond, waitqueue.ErrTooLate}, {"a", 110 * time.Millisecond, nil}, {"b", 15 * time.Millisecond, nil}} {
		if _, err := join(q, waitqueue.Waiter[string]{Customer: test.customer, Deadline: now.Add(test.limit)}, now); err != test.want {
			t.Errorf("%s within %v: got %v, want %v", test.customer, test.limit, err, test.want)
		}
	}
	if _, err := join(q, waitqueue.Waiter[string]{Customer: "a", Deadline: now.Add(10*time.Second + 20*time.Millisecond)}, now.Add(10*time.Second)); err != nil {
		t.Errorf("10 s after the last waiter found room: got %v, want nil", err)
	}
}

// Measures the decision for one request with 1,000 waiting, which must not take longer than
// 2 µs: at the limit of a pool that is a small part of forwarding a request.
func BenchmarkJoinAndLeave(b *testing.B) {
	q := waitqueue.New[int](waitqueue.Config{Limit: 2000, CustomerShare: 0.5})
	notify := func(waitqueue.Signal) {}
	waiterOf := func(i int) waitqueue.Waiter[int] {
		return waitqueue.Waiter[int]{Priority: i % 3, Customer: i % 75, Work: 1, Deadline: start.Add(time.Duration(i%7) * time.Second), Notify: notify}
	}
	for i := range 1000 {
		if _, err := q.Join(waiterOf(i), start); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t, err := q.Join(waiterOf(i), start)
		if err != nil {
			b.Fatal(err)
		}
		t.Leave()
	}
}
