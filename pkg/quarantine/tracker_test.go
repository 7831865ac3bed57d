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

var startTime = time.Unix(1_800_000_000, 0)

func fingerprint(name string) quarantine.Fingerprint {
	return quarantine.Content{URI: name}.Fingerprint()
}

// interrupted returns contents that had been running for 100 ms when their upstream
// crashed.
func interrupted(fs ...quarantine.Fingerprint) []quarantine.Interrupted {
	out := make([]quarantine.Interrupted, len(fs))
	for i, f := range fs {
		out[i] = quarantine.Interrupted{Content: f, RanFor: 100 * time.Millisecond}
	}
	return out
}

// table holds the rows that instances share.
type table struct {
	rows    map[quarantine.Fact]uint64
	version uint64
}

// write writes the pending rows of a tracker.
func (t *table) write(tr *quarantine.CrashTracker, now time.Time) {
	for _, r := range tr.DueRows(now) {
		t.put(r.Fact)
		tr.MarkShared(r.Fact, t.rows[r.Fact], now)
	}
	for _, r := range tr.InvalidRows() {
		delete(t.rows, r.Fact)
		tr.Apply([]quarantine.Row{{Fact: r.Fact, Deleted: true}}, false, now)
	}
}

// share writes the pending rows of a tracker and makes it read all rows.
func (t *table) share(tr *quarantine.CrashTracker, now time.Time) {
	t.write(tr, now)
	rows := make([]quarantine.Row, 0, len(t.rows))
	for f, v := range t.rows {
		rows = append(rows, quarantine.Row{Fact: f, Version: v})
	}
	tr.Apply(rows, true, now)
}

// put writes a fact and reports whether the table did not have it.
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

// crashes returns the number of crashes of a content that are in the table or known to
// one of the trackers.
func (t *table) crashes(f quarantine.Fingerprint, trackers []*quarantine.CrashTracker) int {
	known := map[quarantine.Fact]bool{}
	for fact := range t.rows {
		known[fact] = fact.Kind == quarantine.Crash
	}
	for _, tr := range trackers {
		for _, r := range tr.DueRows(startTime.Add(time.Hour)) {
			known[r.Fact] = r.Kind == quarantine.Crash
		}
	}
	n := 0
	for fact, isCrash := range known {
		if isCrash && fact.Content == f {
			n++
		}
	}
	return n
}

// A request that crashes each upstream that runs it arrives at random instances, which
// write their due rows, read all rows each second, and sometimes restart. Once all
// instances must know of three crashes, the request runs at most twice more, however
// long it arrives. A crash known only to an instance that restarted is lost and does
// not count.
func TestQuarantineAcrossInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const syncedWithin = time.Second
		var shared table
		f := fingerprint("poison")
		trackers := make([]*quarantine.CrashTracker, rapid.IntRange(1, 20).Draw(t, "instances"))
		syncAt := make([]time.Time, len(trackers))
		for i := range trackers {
			trackers[i] = quarantine.NewCrashTracker()
		}
		now, crashes, late := startTime, 0, 0
		var third time.Time
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond)
			for i, tr := range trackers {
				shared.write(tr, now)
				if now.Sub(syncAt[i]) >= syncedWithin {
					shared.share(tr, now)
					syncAt[i] = now
				}
			}
			i := rapid.IntRange(0, len(trackers)-1).Draw(t, "instance")
			if rapid.IntRange(0, 30).Draw(t, "restart") == 17 {
				trackers[i] = quarantine.NewCrashTracker()
				shared.share(trackers[i], now)
			}
			if shared.crashes(f, trackers) < 3 {
				third = time.Time{}
			}
			d := trackers[i].Decide(f, now)
			if !d.RefusedUntil.IsZero() {
				if !d.RefusedUntil.After(now) {
					t.Fatalf("refused at %v: got %v as the next time, want a later one", now, d.RefusedUntil)
				}
				continue
			}
			if d.Trial > 0 {
				fact := quarantine.Fact{Content: f, Kind: quarantine.Trial, Subject: fmt.Sprint(d.Trial)}
				claimed := shared.put(fact)
				trackers[i].RecordTrial(f, d.Trial, shared.rows[fact], now)
				if !claimed {
					continue
				}
			}
			if !third.IsZero() && now.Sub(third) > 2*syncedWithin {
				late++
			}
			crashes++
			trackers[i].RecordCrash(interrupted(f), fmt.Sprintf("i-%d", crashes), now)
			if third.IsZero() && shared.crashes(f, trackers) >= 3 {
				third = now
			}
		}
		if late > 2 {
			t.Fatalf("runs after all instances knew of three crashes: got %d, want at most 2; %d runs in total", late, crashes)
		}
	})
}

// A content that is answered runs normally again, also after it was in quarantine, and
// later crashes are counted from zero.
func TestAnswerLiftsQuarantine(t *testing.T) {
	tr, f, now := quarantine.NewCrashTracker(), fingerprint("a"), startTime
	var shared table
	for round := range 3 {
		for i := range 3 {
			if d := tr.Decide(f, now); d != (quarantine.Decision{}) {
				t.Fatalf("round %d, decision after %d crashes: got %+v, want no limit", round, i, d)
			}
			tr.RecordCrash(interrupted(f), fmt.Sprintf("i-%d-%d", round, i), now)
		}
		shared.share(tr, now.Add(200*time.Millisecond))
		if len(shared.rows) != 3 {
			t.Fatalf("round %d: got %d rows, want the three crashes", round, len(shared.rows))
		}
		if d := tr.Decide(f, now); d.RefusedUntil.IsZero() {
			t.Fatalf("round %d: request not refused after three crashes", round)
		}
		now = now.Add(time.Second)
		if d := tr.Decide(f, now); d.Trial != 1 {
			t.Fatalf("round %d, decision after a second: got %+v, want the first trial", round, d)
		}
		tr.RecordAnswer(f)
		shared.share(tr, now)
		if len(shared.rows) != 0 || tr.Len() != 0 {
			t.Fatalf("round %d, after an answer: got %d rows and %d contents, want none", round, len(shared.rows), tr.Len())
		}
	}
}

// One request crashes the three upstreams of a service again and again, and another
// request is retried at each of them together with it. That one was running at three
// crashes, the cause at these and one before. Only the cause is quarantined.
func TestBystanderIsNotQuarantined(t *testing.T) {
	tr, cause, bystander, now := quarantine.NewCrashTracker(), fingerprint("cause"), fingerprint("bystander"), startTime
	tr.RecordCrash(interrupted(cause), "i-0", now)
	for _, start := range []string{"i-1", "i-2", "i-3"} {
		now = now.Add(time.Second)
		tr.RecordCrash(interrupted(cause, bystander), start, now)
	}
	if d := tr.Decide(cause, now); d.RefusedUntil.IsZero() {
		t.Error("the cause is not refused")
	}
	if d := tr.Decide(bystander, now); d != (quarantine.Decision{}) {
		t.Errorf("decision for the bystander: got %+v, want no limit", d)
	}
	tr.RecordCrash(interrupted(bystander), "i-4", now.Add(time.Second))
	if d := tr.Decide(bystander, now); d.RefusedUntil.IsZero() {
		t.Error("a content with four crashes, one of them without the cause, is not refused")
	}
}

// A site loses a third of its upstreams at one moment, several times, and a long
// generation is running at one of them each time. The crashes of the others, which did
// not run it, explain its crashes, also to instances that read them from rows. After
// six crashes it is quarantined all the same, so that the number of its crashes is
// bounded.
func TestSimultaneousCrashesAreExplained(t *testing.T) {
	tr, other, f, now := quarantine.NewCrashTracker(), quarantine.NewCrashTracker(), fingerprint("a"), startTime
	for round := range 6 {
		if d := tr.Decide(f, now); d != (quarantine.Decision{}) {
			t.Fatalf("decision after %d crashes: got %+v, want no limit", round, d)
		}
		now = now.Add(2 * time.Second)
		tr.RecordCrash(interrupted(f, fingerprint("b")), fmt.Sprintf("i-%d", round), now)
		tr.RecordCrash(interrupted(fingerprint("c")), fmt.Sprintf("j-%d", round), now.Add(60*time.Millisecond))
		rows := tr.DueRows(now.Add(time.Second))
		for i := range rows {
			rows[i].Version = uint64(i + 1)
		}
		other.Apply(rows, false, now)
		if d := other.Decide(f, now); round < 5 && d != (quarantine.Decision{}) {
			t.Fatalf("decision after %d crashes at an instance that reads the rows: got %+v, want no limit", round+1, d)
		}
	}
	if d := tr.Decide(f, now.Add(time.Minute)); d.RefusedUntil.IsZero() {
		t.Error("not refused after six crashes")
	}
}

// Two copies of one request run at once, sent by two instances. Each instance finds two
// upstreams that crash at one moment and knows of the request at only one of them. Once
// the instances have shared their rows, neither crash explains the other.
func TestCopiesAtTwoInstancesDoNotExplainEachOther(t *testing.T) {
	f, other, now := fingerprint("poison"), fingerprint("other"), startTime
	a, b := quarantine.NewCrashTracker(), quarantine.NewCrashTracker()
	var shared []quarantine.Row
	for i := range 2 {
		now = now.Add(4 * time.Second)
		first, second := fmt.Sprintf("i-%d", i), fmt.Sprintf("j-%d", i)
		a.RecordCrash(interrupted(f), first, now)
		a.RecordCrash(interrupted(other), second, now)
		b.RecordCrash(interrupted(other), first, now)
		b.RecordCrash(interrupted(f), second, now)
		for _, tr := range []*quarantine.CrashTracker{a, b} {
			for _, r := range tr.DueRows(now.Add(time.Second)) {
				r.Version = uint64(len(shared) + 1)
				shared = append(shared, r)
			}
			tr.RecordAnswer(other)
		}
		a.Apply(shared, false, now)
		b.Apply(shared, false, now)
	}
	for name, tr := range map[string]*quarantine.CrashTracker{"a": a, "b": b} {
		if d := tr.Decide(f, now); d.RefusedUntil.IsZero() {
			t.Errorf("instance %s: request not refused after %d crashes", name, tr.Crashes(f))
		}
	}
	if a.Crashes(f) != 4 {
		t.Errorf("got %d crashes, want the 4 that both instances found", a.Crashes(f))
	}
}

// Contents were running at upstreams that crashed: for seconds; for 100 ms and then for
// less than a millisecond at another upstream that had crashed at the same moment; and
// both. They ran too long or too short to be a likely cause. They are quarantined after
// six crashes all the same, as a request that crashes its upstreams late must be.
func TestLongAndShortRunsAreUnlikelyCauses(t *testing.T) {
	const long, short, usual = 2900 * time.Millisecond, 700 * time.Microsecond, 100 * time.Millisecond
	for name, runs := range map[string][]time.Duration{
		"long": {long, long, long, long, long, long}, "sent on at once": {usual, short, usual, short, usual, short}, "both": {long, short, long, short, long, short},
	} {
		tr, f, now := quarantine.NewCrashTracker(), fingerprint("a"), startTime
		for i, ranFor := range runs {
			if d := tr.Decide(f, now); d != (quarantine.Decision{}) {
				t.Fatalf("%s: decision after %d crashes: got %+v, want no limit", name, i, d)
			}
			if ranFor != short {
				now = now.Add(2 * time.Second)
			}
			tr.RecordCrash([]quarantine.Interrupted{{Content: f, RanFor: ranFor}}, fmt.Sprintf("i-%d", i), now)
		}
		if d := tr.Decide(f, now); d.RefusedUntil.IsZero() {
			t.Errorf("%s: request not refused after six crashes", name)
		}
	}
}

// The number of contents and of facts about one content is bounded, and the contents
// with the most crashes are kept.
func TestCrashTrackerIsBounded(t *testing.T) {
	tr, f := quarantine.NewCrashTracker(), fingerprint("poison")
	for i := range 4 {
		tr.RecordCrash(interrupted(f), fmt.Sprintf("i-%d", i), startTime)
	}
	for i := range 5000 {
		now := startTime.Add(time.Duration(i) * time.Second)
		tr.RecordCrash(interrupted(fingerprint(fmt.Sprint(i))), fmt.Sprintf("i-%d", i), now)
		for j := range 50 {
			tr.RecordCrash(interrupted(f), fmt.Sprintf("j-%d-%d", i, j), now)
		}
	}
	if tr.Len() > 1024 || tr.Crashes(f) > 32 || tr.Decide(f, startTime).RefusedUntil.IsZero() {
		t.Errorf("got %d contents, %d crashes of one and decision %+v, want at most 1024, at most 32 and a refusal", tr.Len(), tr.Crashes(f), tr.Decide(f, startTime))
	}
}

// A full read does not drop a fact that was shared while the read may have been in
// progress. It drops a fact without a row that was shared long before.
func TestFullReadKeepsNewerFacts(t *testing.T) {
	tr, f := quarantine.NewCrashTracker(), fingerprint("a")
	tr.RecordCrash(interrupted(f), "i-1", startTime)
	for _, r := range tr.DueRows(startTime.Add(time.Second)) {
		tr.MarkShared(r.Fact, 1, startTime.Add(time.Second))
	}
	tr.Apply(nil, true, startTime.Add(2*time.Second))
	if tr.Crashes(f) != 1 {
		t.Error("fact dropped by a full read that may have begun before it was shared")
	}
	tr.Apply(nil, true, startTime.Add(10*time.Second))
	if tr.Crashes(f) != 0 {
		t.Error("fact kept although its row is deleted")
	}
}

// A crash is not shared during the time in which an answer from another upstream may
// invalidate it.
func TestCrashesAreSharedAfterDelay(t *testing.T) {
	tr, f := quarantine.NewCrashTracker(), fingerprint("a")
	tr.RecordCrash(interrupted(f), "i-1", startTime)
	if n := len(tr.DueRows(startTime.Add(150 * time.Millisecond))); n != 0 {
		t.Errorf("facts due 150 ms after a crash: got %d, want 0", n)
	}
	if n := len(tr.DueRows(startTime.Add(200 * time.Millisecond))); n != 1 {
		t.Errorf("facts due 200 ms after a crash: got %d, want 1", n)
	}
	tr.RecordAnswer(f)
	if n := len(tr.DueRows(startTime.Add(time.Hour))); n != 0 {
		t.Errorf("facts due after an answer: got %d, want 0", n)
	}
}

// A content that has used up its trials is refused until its retention has passed. Then
// it is unknown, and its rows expire.
func TestQuarantineExpires(t *testing.T) {
	tr, f, now := quarantine.NewCrashTracker(), fingerprint("a"), startTime
	for i := range 3 {
		tr.RecordCrash(interrupted(f), fmt.Sprintf("i-%d", i), now)
	}
	var shared table
	shared.share(tr, now.Add(time.Second))
	for n := 1; n <= 3; n++ {
		now = now.Add(16 * time.Second)
		tr.RecordTrial(f, n, 100+uint64(n), now)
	}
	if d := tr.Decide(f, now.Add(23*time.Hour)); d.RefusedUntil != now.Add(24*time.Hour) {
		t.Errorf("decision after 23 h: got %+v, want a refusal for 24 h in all", d)
	}
	if d := tr.Decide(f, now.Add(24*time.Hour)); d != (quarantine.Decision{}) {
		t.Errorf("decision after 24 h: got %+v, want no limit", d)
	}
	if n := len(tr.ExpiredRows(now.Add(23 * time.Hour))); n != 0 {
		t.Errorf("rows expired after 23 h: got %d, want 0", n)
	}
	if n := len(tr.ExpiredRows(now.Add(24 * time.Hour))); n != 6 {
		t.Errorf("rows expired after 24 h: got %d, want 6: three crashes and three trials", n)
	}
}

func TestParseKey(t *testing.T) {
	want := quarantine.Fact{Content: fingerprint("a"), Kind: quarantine.Crash, Subject: "i-1@17/x"}
	if got, err := quarantine.ParseKey(want.Key()); err != nil || got != want {
		t.Errorf("ParseKey(%q): got %v, %v, want %v", want.Key(), got, err, want)
	}
	for _, key := range []string{"", "x/end/i", want.Content.String() + "/end/", want.Content.String() + "/other/i", want.Content.String()} {
		if _, err := quarantine.ParseKey(key); err == nil {
			t.Errorf("ParseKey(%q): got nil error, want one", key)
		}
	}
}
