package completion_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
)

// Guards against a text that waits without end for an engine that can continue it, and against
// work that is thrown away though such an engine will have room in a moment.
func TestStartsAgain(t *testing.T) {
	since := time.Unix(1_800_000_000, 0)
	text := completion.Interrupted{Events: 20, Left: 20, EventTime: 100 * time.Millisecond, Since: since, Awaited: true}
	for _, c := range []struct {
		what   string
		change func(*completion.Interrupted)
		want   time.Duration // since Since
	}{
		{"no step is due", func(*completion.Interrupted) {}, 2 * time.Second},
		{"no engine can continue it", func(t *completion.Interrupted) { t.Awaited = false }, 0},
		{"a short text", func(t *completion.Interrupted) { t.Events = 1 }, 100 * time.Millisecond},
		{"unknown time of events", func(t *completion.Interrupted) { t.EventTime = 0 }, time.Second},
		{"due much later", func(t *completion.Interrupted) { t.Due = since.Add(time.Minute) }, 2 * time.Second},
		{"due soon", func(t *completion.Interrupted) { t.Due = since.Add(4500 * time.Millisecond) }, 500 * time.Millisecond},
		{"due before it could start again", func(t *completion.Interrupted) { t.Due = since.Add(3 * time.Second) }, 2 * time.Second},
		{"room expected soon", func(t *completion.Interrupted) { t.Room = since.Add(time.Second) }, 2 * time.Second},
		{"no room expected for long", func(t *completion.Interrupted) { t.Room = since.Add(2 * time.Second) }, 0},
		{"late already", func(t *completion.Interrupted) { t.Due = since.Add(-time.Second) }, 2 * time.Second},
	} {
		it := text
		c.change(&it)
		if c.want > 0 && it.StartsAgain(since.Add(c.want-time.Millisecond)) || !it.StartsAgain(since.Add(c.want)) {
			t.Errorf("%s: does not start again after just %v", c.what, c.want)
		}
	}
}

// Whatever the wait turns out to be, a text must be complete at most as much later than with the
// better choice as generating its events again takes. Without an estimate of the wait, it must not
// wait again once it would have started again.
func TestStartsAgainLosesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		since := time.Unix(1_800_000_000, 0)
		ms := func(name string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
		}
		it := completion.Interrupted{Events: rapid.IntRange(1, 200).Draw(t, "events"), Left: float64(rapid.IntRange(1, 200).Draw(t, "left")),
			EventTime: ms("event time", 1, 300), Since: since, Awaited: true}
		if rapid.Bool().Draw(t, "has due") {
			it.Due = since.Add(ms("due", -5000, 20000))
		}
		if rapid.Bool().Draw(t, "has estimate") {
			it.Room = since.Add(ms("room", 0, 20000))
		}
		again, wait := time.Duration(it.Events)*it.EventTime, ms("wait", 0, 120_000)
		rest := time.Duration(it.Left * float64(it.EventTime))
		took, restarted := wait+rest, false
		for at := time.Duration(0); at < wait; at += it.EventTime {
			if starts := it.StartsAgain(since.Add(at)); starts && !restarted {
				took, restarted = at+again+rest, true
			} else if restarted && !starts && it.Room.IsZero() {
				t.Fatalf("waits again after %v", at)
			}
		}
		if best := min(wait, again) + rest; took > best+again+it.EventTime {
			t.Fatalf("complete after %v, want at most %v later than %v", took, again, best)
		}
	})
}
