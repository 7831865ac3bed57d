package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/zinnialadder/zinnialadder/internal/rapidseed"
	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
)

func TestMain(m *testing.M) { rapidseed.Main(m, 100) }

var begun = time.Unix(1_800_000_000, 0)

func fingerprint(name string) quarantine.Fingerprint {
	return quarantine.Content{URI: name}.Fingerprint()
}

// lost returns contents that an upstream had for a tenth of a second.
func lost(fs ...quarantine.Fingerprint) []quarantine.Interrupted {
	out := make([]quarantine.Interrupted, len(fs))
	for i, f := range fs {
		out[i] = quarantine.Interrupted{Content: f, RanFor: 100 * time.Millisecond}
	}
	return out
}

// table is the rows that instances share.
type table struct {
	rows    map[quarantine.Fact]uint64
	version uint64
}

// write writes what a ledger has pending.
func (t *table) write(l *quarantine.CrashTracker, now time.Time) {
	for _, r := range l.DueRows(now) {
		t.put(r.Fact)
		l.MarkShared(r.Fact, t.rows[r.Fact], now)
	}
	for _, r := range l.InvalidRows() {
		delete(t.rows, r.Fact)
		l.Apply([]quarantine.Row{{Fact: r.Fact, Deleted: true}}, false, now)
	}
}

// share writes what a ledger has pending, and has it read all rows.
func (t *table) share(l *quarantine.CrashTracker, now time.Time) {
	t.write(l, now)
	rows := make([]quarantine.Row, 0, len(t.rows))
	for f, v := range t.rows {
		rows = append(rows, quarantine.Row{Fact: f, Version: v})
	}
	l.Apply(rows, true, now)
}

// put writes a fact and reports whether it was not there.
func (t *table) put(f quarantine.Fact) bool {
	if t.rows == nil {
		t.rows = map[quarantine.Fact]uint64{}
	}
	if _, ok := t.rows[f]; ok {
		return false
	}
	t.version++
	t.rows[f] = t.version
	return true
}

// ends returns how many ends of a content are in the table or known to one of ledgers.
func (t *table) ends(f quarantine.Fingerprint, ledgers []*quarantine.CrashTracker) int {
	known := map[quarantine.Fact]bool{}
	for fact := range t.rows {
		known[fact] = fact.Kind == quarantine.Crash
	}
	for _, l := range ledgers {
		for _, r := range l.DueRows(begun.Add(time.Hour)) {
			known[r.Fact] = r.Kind == quarantine.Crash
		}
	}
	n := 0
	for fact, end := range known {
		if end && fact.Content == f {
			n++
		}
	}
	return n
}

// A request that ends each upstream that runs it comes at any of many instances, each
// of which writes the shared rows that are due and reads them each second, or starts
// anew. Once all must know of three ends it runs twice more at the most, however long
// it comes. An end that only an instance knew that was lost is not known to any.
func TestQuarantineHoldsAmongInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const syncedWithin = time.Second
		var shared table
		f := fingerprint("poison")
		ledgers := make([]*quarantine.CrashTracker, rapid.IntRange(1, 20).Draw(t, "instances"))
		syncAt := make([]time.Time, len(ledgers))
		for i := range ledgers {
			ledgers[i] = quarantine.NewCrashTracker()
		}
		now, ends, late := begun, 0, 0
		var third time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond)
			for i, l := range ledgers {
				shared.write(l, now)
				if now.Sub(syncAt[i]) >= syncedWithin {
					shared.share(l, now)
					syncAt[i] = now
				}
			}
			i := rapid.IntRange(0, len(ledgers)-1).Draw(t, "instance")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 17 {
				ledgers[i] = quarantine.NewCrashTracker()
				shared.share(ledgers[i], now)
			}
			if shared.ends(f, ledgers) < 3 {
				third = time.Time{}
			}
			d := ledgers[i].Decide(f, now)
			if !d.RefusedUntil.IsZero() {
				if !d.RefusedUntil.After(now) {
					t.Fatalf("refused until %v at %v", d.RefusedUntil, now)
				}
				continue
			}
			if d.Trial > 0 {
				fact := quarantine.Fact{Content: f, Kind: quarantine.Trial, Subject: fmt.Sprint(d.Trial)}
				claimed := shared.put(fact)
				ledgers[i].RecordTrial(f, d.Trial, shared.rows[fact], now)
				if !claimed {
					continue
				}
			}
			if !third.IsZero() && now.Sub(third) > 2*syncedWithin {
				late++
			}
			ends++
			ledgers[i].RecordCrash(lost(f), fmt.Sprintf("i-%d", ends), now)
			if third.IsZero() && shared.ends(f, ledgers) >= 3 {
				third = now
			}
		}
		if late > 2 {
			t.Fatalf("ran %d times once all knew that it had ended three upstreams, %d in all", late, ends)
		}
	})
}

// A content that is answered is tried as before, also after it was in quarantine, and
// what ends later counts anew.
func TestAnswerLiftsQuarantine(t *testing.T) {
	l, f, now := quarantine.NewCrashTracker(), fingerprint("a"), begun
	var shared table
	for round := range 3 {
		for i := range 3 {
			if d := l.Decide(f, now); d != (quarantine.Decision{}) {
				t.Fatalf("round %d, %d upstreams ended: %+v", round, i, d)
			}
			l.RecordCrash(lost(f), fmt.Sprintf("i-%d-%d", round, i), now)
		}
		shared.share(l, now.Add(200*time.Millisecond))
		if len(shared.rows) != 3 {
			t.Fatalf("round %d: %d rows, want the three ends", round, len(shared.rows))
		}
		if d := l.Decide(f, now); d.RefusedUntil.IsZero() {
			t.Fatalf("round %d: not refused after three ends", round)
		}
		now = now.Add(time.Second)
		if d := l.Decide(f, now); d.Trial != 1 {
			t.Fatalf("round %d: %+v after a second, want the first trial", round, d)
		}
		l.RecordAnswer(f)
		shared.share(l, now)
		if len(shared.rows) != 0 || l.Len() != 0 {
			t.Fatalf("round %d: %d rows and %d contents are left", round, len(shared.rows), l.Len())
		}
	}
}

// Replays the load of one service whose three upstreams one request ended again and
// again, while a scorer's call was sent on from each to the next with it: the call was
// at three ends and the request at these and one before. Only the request is held.
func TestBystanderIsNotHeld(t *testing.T) {
	l, cause, bystander, now := quarantine.NewCrashTracker(), fingerprint("cause"), fingerprint("bystander"), begun
	l.RecordCrash(lost(cause), "i-0", now)
	for _, start := range []string{"i-1", "i-2", "i-3"} {
		now = now.Add(time.Second)
		l.RecordCrash(lost(cause, bystander), start, now)
	}
	if d := l.Decide(cause, now); d.RefusedUntil.IsZero() {
		t.Error("the cause is not refused")
	}
	if d := l.Decide(bystander, now); d != (quarantine.Decision{}) {
		t.Errorf("the bystander: %+v", d)
	}
	l.RecordCrash(lost(bystander), "i-4", now.Add(time.Second))
	if d := l.Decide(bystander, now); d.RefusedUntil.IsZero() {
		t.Error("what has ended four upstreams, one of them alone, is not refused")
	}
}

// Replays the load of a site that loses a third of its upstreams at one moment, again
// and again, while a long text is made: it is at one of them each time. Its ends are
// explained by those of the others, which did not run it, and so is known to instances
// that read of it; but not without bound.
func TestUpstreamsThatEndTogetherAreNotItsDoing(t *testing.T) {
	l, other, f, now := quarantine.NewCrashTracker(), quarantine.NewCrashTracker(), fingerprint("a"), begun
	for round := range 6 {
		if d := l.Decide(f, now); d != (quarantine.Decision{}) {
			t.Fatalf("%+v after %d ends", d, round)
		}
		now = now.Add(2 * time.Second)
		l.RecordCrash(lost(f, fingerprint("b")), fmt.Sprintf("i-%d", round), now)
		l.RecordCrash(lost(fingerprint("c")), fmt.Sprintf("j-%d", round), now.Add(60*time.Millisecond))
		rows := l.DueRows(now.Add(time.Second))
		for i := range rows {
			rows[i].Version = uint64(i + 1)
		}
		other.Apply(rows, false, now)
		if d := other.Decide(f, now); round < 5 && d != (quarantine.Decision{}) {
			t.Fatalf("%+v after %d ends at one that reads of it", d, round+1)
		}
	}
	if d := l.Decide(f, now.Add(time.Minute)); d.RefusedUntil.IsZero() {
		t.Error("not refused after six ends")
	}
}

// Replays one request that came twice at a time, at two instances: each found two
// upstreams to end at one moment, and knew of its request at one of them only. Once they
// have told each other, neither end is taken for the other's doing.
func TestCopiesAtTwoInstancesDoNotExcuseEachOther(t *testing.T) {
	f, other, now := fingerprint("poison"), fingerprint("other"), begun
	a, b := quarantine.NewCrashTracker(), quarantine.NewCrashTracker()
	var shared []quarantine.Row
	for i := range 2 {
		now = now.Add(4 * time.Second)
		first, second := fmt.Sprintf("i-%d", i), fmt.Sprintf("j-%d", i)
		a.RecordCrash(lost(f), first, now)
		a.RecordCrash(lost(other), second, now)
		b.RecordCrash(lost(other), first, now)
		b.RecordCrash(lost(f), second, now)
		for _, l := range []*quarantine.CrashTracker{a, b} {
			for _, r := range l.DueRows(now.Add(time.Second)) {
				r.Version = uint64(len(shared) + 1)
				shared = append(shared, r)
			}
			l.RecordAnswer(other)
		}
		a.Apply(shared, false, now)
		b.Apply(shared, false, now)
	}
	for name, l := range map[string]*quarantine.CrashTracker{"a": a, "b": b} {
		if d := l.Decide(f, now); d.RefusedUntil.IsZero() {
			t.Errorf("%s: not refused after %d ends", name, l.Crashes(f))
		}
	}
	if a.Crashes(f) != 4 {
		t.Errorf("%d ends, want those that both found", a.Crashes(f))
	}
}

// Replays texts that were at upstreams which ended: for seconds; for a while, and then for
// less than a millisecond at another that had ended at the same moment; and both. They ran
// too long or hardly at all to be the cause. They are held after six ends all the same, as
// a request is that crashes its upstreams late.
func TestRunsTooLongOrTooShortAreNotLikely(t *testing.T) {
	const long, short, usual = 2900 * time.Millisecond, 700 * time.Microsecond, 100 * time.Millisecond
	for name, runs := range map[string][]time.Duration{
		"long": {long, long, long, long, long, long}, "sent on at once": {usual, short, usual, short, usual, short}, "both": {long, short, long, short, long, short},
	} {
		l, f, now := quarantine.NewCrashTracker(), fingerprint("a"), begun
		for i, ranFor := range runs {
			if d := l.Decide(f, now); d != (quarantine.Decision{}) {
				t.Fatalf("%s: %+v after %d ends", name, d, i)
			}
			if ranFor != short {
				now = now.Add(2 * time.Second)
			}
			l.RecordCrash([]quarantine.Interrupted{{Content: f, RanFor: ranFor}}, fmt.Sprintf("i-%d", i), now)
		}
		if d := l.Decide(f, now); d.RefusedUntil.IsZero() {
			t.Errorf("%s: not refused after six ends", name)
		}
	}
}

// What is known is bounded, and the contents that ended the most are kept.
func TestLedgerIsBounded(t *testing.T) {
	l, f := quarantine.NewCrashTracker(), fingerprint("poison")
	for i := range 4 {
		l.RecordCrash(lost(f), fmt.Sprintf("i-%d", i), begun)
	}
	for i := range 5000 {
		now := begun.Add(time.Duration(i) * time.Second)
		l.RecordCrash(lost(fingerprint(fmt.Sprint(i))), fmt.Sprintf("i-%d", i), now)
		for j := range 50 {
			l.RecordCrash(lost(f), fmt.Sprintf("j-%d-%d", i, j), now)
		}
	}
	if l.Len() > 1024 || l.Crashes(f) > 32 || l.Decide(f, begun).RefusedUntil.IsZero() {
		t.Errorf("%d contents, %d ends of one, %+v", l.Len(), l.Crashes(f), l.Decide(f, begun))
	}
}

// What was shared while all rows were being read is not taken for deleted, and what was
// shared long before is.
func TestReadingDoesNotDropWhatIsNewer(t *testing.T) {
	l, f := quarantine.NewCrashTracker(), fingerprint("a")
	l.RecordCrash(lost(f), "i-1", begun)
	for _, r := range l.DueRows(begun.Add(time.Second)) {
		l.MarkShared(r.Fact, 1, begun.Add(time.Second))
	}
	l.Apply(nil, true, begun.Add(2*time.Second))
	if l.Crashes(f) != 1 {
		t.Error("dropped by a reading that may have begun before")
	}
	l.Apply(nil, true, begun.Add(10*time.Second))
	if l.Crashes(f) != 0 {
		t.Error("kept although its row is gone")
	}
}

// An end is not shared while an answer elsewhere may take it back.
func TestEndsAreSharedOnceTheyTell(t *testing.T) {
	l, f := quarantine.NewCrashTracker(), fingerprint("a")
	l.RecordCrash(lost(f), "i-1", begun)
	if n := len(l.DueRows(begun.Add(150 * time.Millisecond))); n != 0 {
		t.Errorf("%d facts to be shared after one end", n)
	}
	if n := len(l.DueRows(begun.Add(200 * time.Millisecond))); n != 1 {
		t.Errorf("%d facts to be shared later, want the end", n)
	}
	l.RecordAnswer(f)
	if n := len(l.DueRows(begun.Add(time.Hour))); n != 0 {
		t.Errorf("%d facts to be shared after an answer", n)
	}
}

// What is remembered is forgotten in the end, and until then refused.
func TestQuarantineExpires(t *testing.T) {
	l, f, now := quarantine.NewCrashTracker(), fingerprint("a"), begun
	for i := range 3 {
		l.RecordCrash(lost(f), fmt.Sprintf("i-%d", i), now)
	}
	var shared table
	shared.share(l, now.Add(time.Second))
	for n := 1; n <= 3; n++ {
		now = now.Add(16 * time.Second)
		l.RecordTrial(f, n, 100+uint64(n), now)
	}
	if d := l.Decide(f, now.Add(23*time.Hour)); d.RefusedUntil != now.Add(24*time.Hour) {
		t.Errorf("%+v, want it refused for a day", d)
	}
	if d := l.Decide(f, now.Add(24*time.Hour)); d != (quarantine.Decision{}) {
		t.Errorf("%+v after a day", d)
	}
	if n := len(l.ExpiredRows(now.Add(23 * time.Hour))); n != 0 {
		t.Errorf("%d rows expired early", n)
	}
	if n := len(l.ExpiredRows(now.Add(24 * time.Hour))); n != 6 {
		t.Errorf("%d rows expired, want three ends and three trials", n)
	}
}

func TestParseKey(t *testing.T) {
	want := quarantine.Fact{Content: fingerprint("a"), Kind: quarantine.Crash, Subject: "i-1@17/x"}
	if got, err := quarantine.ParseKey(want.Key()); err != nil || got != want {
		t.Errorf("%v, %v", got, err)
	}
	for _, key := range []string{"", "x/end/i", want.Content.String() + "/end/", want.Content.String() + "/other/i", want.Content.String()} {
		if _, err := quarantine.ParseKey(key); err == nil {
			t.Errorf("%q is read as a fact", key)
		}
	}
}
