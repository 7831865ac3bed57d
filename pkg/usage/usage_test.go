package usage_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 60) }

var calendar = usage.Schedule{Length: 5 * time.Second, ReportDelay: 10 * time.Second}

func at(seconds float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestWindows(t *testing.T) {
	w := calendar.WindowAt(at(0))
	if w != 360_000_000 || calendar.WindowAt(at(4.999)) != w || calendar.WindowAt(at(5)) != w+1 {
		t.Errorf("windows %d, %d, %d", w, calendar.WindowAt(at(4.999)), calendar.WindowAt(at(5)))
	}
	if !calendar.End(w).Equal(at(5)) || !calendar.Due(w).Equal(at(15)) {
		t.Errorf("ends %v, due %v", calendar.End(w), calendar.Due(w))
	}
}

// A window is closed once all have had the time to tell of it, later where the store
// was away meanwhile, and early enough to be reported in time.
func TestCloseAt(t *testing.T) {
	w := calendar.WindowAt(at(0)) // ends at 5, due at 15
	for what, c := range map[string]struct{ reachedSince, want float64 }{
		"store never away":                 {-100, 8.3},
		"back before the end":              {4.9, 8.3},
		"back soon after the end":          {6, 8.3},
		"back after the others have told":  {8, 10},
		"back late":                        {11, 12.5},
		"back when the report is late":     {40, 12.5},
		"back just before it would be due": {12.4, 12.5},
	} {
		if got := calendar.CloseAt(w, at(c.reachedSince)); !got.Equal(at(c.want)) {
			t.Errorf("%s: closed at %v after the beginning, want %vs", what, got.Sub(at(0)), c.want)
		}
	}
}

// Whatever the store's outages, a window is closed after its end and before it is due.
func TestCloseAtIsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := usage.Schedule{Length: time.Duration(rapid.IntRange(1, 60).Draw(t, "length")) * time.Second,
			ReportDelay: time.Duration(rapid.IntRange(7, 60).Draw(t, "late")) * time.Second}
		w := c.WindowAt(at(rapid.Float64Range(0, 1e6).Draw(t, "at")))
		close := c.CloseAt(w, c.End(w).Add(time.Duration(rapid.IntRange(-60_000, 60_000).Draw(t, "reached"))*time.Millisecond))
		if !close.After(c.End(w)) || !close.Before(c.Due(w)) {
			t.Fatalf("closed at %v, ends %v, due %v", close, c.End(w), c.Due(w))
		}
	})
}

// What is counted while a tally is being told is told next.
func TestMeter(t *testing.T) {
	m := usage.NewMeter(calendar)
	m.Count("a", at(1))
	m.Count("a", at(4))
	m.Count("b", at(6))
	told := map[usage.Window]usage.Counts{}
	tell := func(holds bool) (n int) {
		for _, tally := range m.Unwritten() {
			n++
			if tally.Window == calendar.WindowAt(at(0)) {
				m.Count("c", at(2)) // meanwhile
			}
			if holds {
				told[tally.Window] = tally.Counts
			}
			m.Written(tally, 7, holds)
		}
		return n
	}
	if n := tell(false); n != 2 {
		t.Fatalf("%d tallies, want 2", n)
	}
	if n := tell(true); n != 2 {
		t.Fatalf("%d tallies after a conflict, want 2", n)
	}
	if n := tell(true); n != 1 {
		t.Errorf("%d tallies, want the one that grew", n)
	}
	w := calendar.WindowAt(at(0))
	if !maps.Equal(told[w], usage.Counts{"a": 2, "c": 2}) || !maps.Equal(told[w+1], usage.Counts{"b": 1}) {
		t.Errorf("told %v", told)
	}
	m.Expire(at(500))
	if left := m.Unwritten(); len(left) != 0 {
		t.Errorf("%v left", left)
	}
}

// Holders in turn, lost at any moment, report each window with one content, in spite
// of calls that fail, are lost, or are carried out late.
func TestBillingOfHoldersInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []usage.Report // as the store holds them
		accepted := map[usage.Window]string{}
		now, begun := at(0), at(0)
		fix := func(w usage.Window, by string) usage.Report {
			for _, r := range rows {
				if r.Window == w {
					return r
				}
			}
			rows = append(rows, usage.Report{Window: w, FinalizedBy: by})
			return rows[len(rows)-1]
		}
		for range rapid.IntRange(1, 8).Draw(t, "holders") {
			holder := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			b := usage.Reporter{Schedule: calendar}
			b.Restore(rows, begun, now)
			for range rapid.IntRange(0, 80).Draw(t, "ticks") {
				now = now.Add(250 * time.Millisecond)
				if w, due := b.ToClose(begun, now); due {
					r := fix(w, holder)
					if rapid.Bool().Draw(t, "fixed, answer lost") {
						continue // it looks the same again
					}
					b.Finalized(r)
				}
				if r, due := b.ToSend(now); due {
					outcome := rapid.SampledFrom([]string{"accepted", "refused", "lost"}).Draw(t, "outcome")
					if outcome != "refused" {
						if was, ok := accepted[r.Window]; ok && was != r.FinalizedBy {
							t.Fatalf("window %d reported as fixed by %s and by %s", r.Window, was, r.FinalizedBy)
						}
						accepted[r.Window] = r.FinalizedBy
					}
					b.SendEnded(r, outcome == "accepted", now)
					if outcome == "accepted" && rapid.Bool().Draw(t, "marked") {
						for i := range rows {
							if rows[i].Window == r.Window {
								rows[i].SentAt = now
							}
						}
					}
				}
			}
		}
		b := usage.Reporter{Schedule: calendar}
		b.Restore(rows, begun, now)
		for range 400 { // undisturbed
			now = now.Add(250 * time.Millisecond)
			if w, due := b.ToClose(begun, now); due {
				b.Finalized(fix(w, "last"))
			}
			if r, due := b.ToSend(now); due {
				accepted[r.Window] = r.FinalizedBy
				b.SendEnded(r, true, now)
			}
		}
		for w := calendar.WindowAt(begun); calendar.Due(w).Before(now); w++ {
			if _, ok := accepted[w]; !ok {
				t.Fatalf("window %d was never reported", w)
			}
		}
	})
}
