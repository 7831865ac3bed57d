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

var schedule = usage.Schedule{Length: 5 * time.Second, ReportDelay: 10 * time.Second}

func at(seconds float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func TestScheduleWindows(t *testing.T) {
	w := schedule.WindowAt(at(0))
	if w != 360_000_000 || schedule.WindowAt(at(4.999)) != w || schedule.WindowAt(at(5)) != w+1 {
		t.Errorf("windows at 0 s, 4.999 s and 5 s = %d, %d, %d; want 360000000 twice and the next", w, schedule.WindowAt(at(4.999)), schedule.WindowAt(at(5)))
	}
	if !schedule.End(w).Equal(at(5)) || !schedule.Due(w).Equal(at(15)) {
		t.Errorf("end, due = %v, %v; want 5 s and 15 s after the start", schedule.End(w), schedule.Due(w))
	}
}

// A window is closed when all instances have had the time to write their counts, later
// if the store was unavailable meanwhile, and early enough to be reported in time.
func TestCloseAt(t *testing.T) {
	w := schedule.WindowAt(at(0)) // ends at 5, due at 15
	for name, c := range map[string]struct{ reachableSince, want float64 }{
		"store always available":                  {-100, 8.3},
		"available before the end":                {4.9, 8.3},
		"available soon after the end":            {6, 8.3},
		"available shortly before the usual time": {8, 10},
		"available late":                          {11, 12.5},
		"available when the report is late":       {40, 12.5},
		"available just before sending starts":    {12.4, 12.5},
	} {
		if got := schedule.CloseAt(w, at(c.reachableSince)); !got.Equal(at(c.want)) {
			t.Errorf("%s: CloseAt is %v after the window's start, want %vs", name, got.Sub(at(0)), c.want)
		}
	}
}

// A window is closed after its end and before its report is due, whenever the store has
// become available.
func TestCloseAtIsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := usage.Schedule{Length: time.Duration(rapid.IntRange(1, 60).Draw(t, "length")) * time.Second,
			ReportDelay: time.Duration(rapid.IntRange(7, 60).Draw(t, "late")) * time.Second}
		w := c.WindowAt(at(rapid.Float64Range(0, 1e6).Draw(t, "at")))
		close := c.CloseAt(w, c.End(w).Add(time.Duration(rapid.IntRange(-60_000, 60_000).Draw(t, "reached"))*time.Millisecond))
		if !close.After(c.End(w)) || !close.Before(c.Due(w)) {
			t.Fatalf("CloseAt = %v, want between end %v and due time %v", close, c.End(w), c.Due(w))
		}
	})
}

// Counts added while a tally is being written must be written by the next call.
func TestMeter(t *testing.T) {
	m := usage.NewMeter(schedule)
	m.Count("a", at(1))
	m.Count("a", at(4))
	m.Count("b", at(6))
	stored := map[usage.Window]usage.Counts{}
	writeAll := func(current bool) (n int) {
		for _, tally := range m.Unwritten() {
			n++
			if tally.Window == schedule.WindowAt(at(0)) {
				m.Count("c", at(2)) // meanwhile
			}
			if current {
				stored[tally.Window] = tally.Counts
			}
			m.Written(tally, 7, current)
		}
		return n
	}
	if n := writeAll(false); n != 2 {
		t.Fatalf("%d unwritten tallies, want 2", n)
	}
	if n := writeAll(true); n != 2 {
		t.Fatalf("%d unwritten tallies after a conflict, want 2", n)
	}
	if n := writeAll(true); n != 1 {
		t.Errorf("%d unwritten tallies, want 1: the one that has grown", n)
	}
	w := schedule.WindowAt(at(0))
	if !maps.Equal(stored[w], usage.Counts{"a": 2, "c": 2}) || !maps.Equal(stored[w+1], usage.Counts{"b": 1}) {
		t.Errorf("stored %v, want a: 2, c: 2 in the first window and b: 1 in the second", stored)
	}
	m.Expire(at(500))
	if left := m.Unwritten(); len(left) != 0 {
		t.Errorf("%v left after Expire, want none", left)
	}
}

// Lease holders that follow each other, each lost at any moment, must report each
// window with one content, although calls fail, are lost or are carried out late.
func TestReporterWithSuccessiveLeaseHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []usage.Report // the rows in the store
		accepted := map[usage.Window]string{}
		now, startedAt := at(0), at(0)
		finalize := func(w usage.Window, by string) usage.Report {
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
			b := usage.Reporter{Schedule: schedule}
			b.Restore(rows, startedAt, now)
			for range rapid.IntRange(0, 80).Draw(t, "ticks") {
				now = now.Add(250 * time.Millisecond)
				if w, due := b.ToClose(startedAt, now); due {
					r := finalize(w, holder)
					if rapid.Bool().Draw(t, "fixed, answer lost") {
						continue // the next tick tries again
					}
					b.Finalized(r)
				}
				if r, due := b.ToSend(now); due {
					outcome := rapid.SampledFrom([]string{"accepted", "refused", "lost"}).Draw(t, "outcome")
					if outcome != "refused" {
						if earlier, ok := accepted[r.Window]; ok && earlier != r.FinalizedBy {
							t.Fatalf("window %d reported as finalized by %s and by %s, want one content", r.Window, earlier, r.FinalizedBy)
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
		b := usage.Reporter{Schedule: schedule}
		b.Restore(rows, startedAt, now)
		for range 400 { // without failures
			now = now.Add(250 * time.Millisecond)
			if w, due := b.ToClose(startedAt, now); due {
				b.Finalized(finalize(w, "last"))
			}
			if r, due := b.ToSend(now); due {
				accepted[r.Window] = r.FinalizedBy
				b.SendEnded(r, true, now)
			}
		}
		for w := schedule.WindowAt(startedAt); schedule.Due(w).Before(now); w++ {
			if _, ok := accepted[w]; !ok {
				t.Fatalf("window %d was never reported, although it is due", w)
			}
		}
	})
}
