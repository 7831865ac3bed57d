package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shareAfter is how long an end is not shared: most contents are answered elsewhere
	// by then, and it is known whether other upstreams have ended at the same moment.
	shareAfter = 200 * time.Millisecond
	// keepFor is how long a content is remembered after the last that was learned of it,
	// and so refused once its trials are used up.
	keepFor = 24 * time.Hour
	// readTime bounds how long reading all rows takes.
	readTime = 2 * time.Second
	// maxContents bounds the contents that are remembered.
	maxContents = 1024
	// maxFacts bounds the facts of one content. More than maxEnds and maxRetries come
	// only from instances that could not ask the store.
	maxFacts = 32
)

// CrashTracker counts the upstreams that ended under contents. It is not safe for
// concurrent use. Its times are those at which facts were learned here, so that
// instances' clocks need not agree.
type CrashTracker struct {
	contents map[Fingerprint]*content
	under    map[string][]Fingerprint // contents, by the start of the upstream that ended under them
	lately   map[string]time.Time     // when upstreams ended, by their start, as found here within sameMoment
	evicted  []Row                    // of contents for which there was no room
}

// content is what is known of one.
type content struct {
	facts      map[Fact]*standing
	lastAt     time.Time // when the last of them was learned
	trialAfter time.Time // no trial is claimed before
}

// standing is where a fact stands.
type standing struct {
	version  uint64    // of its row; 0 if it is not known to have one
	shareAt  time.Time // when it is to be shared
	sharedAt time.Time // when it was known to have a row
	void     bool      // the content has been answered since
	tooSoon  bool      // the upstream can hardly have run the content
	unlikely bool      // it ran for too short or too long to be likely to have ended the upstream
	apart    []string  // starts that ended at the same moment and did not run the content, as found here
}

// NewCrashTracker returns an empty Ledger.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{contents: map[Fingerprint]*content{}, under: map[string][]Fingerprint{}, lately: map[string]time.Time{}}
}

// Len returns how many contents are remembered.
func (l *CrashTracker) Len() int { return len(l.contents) }

// Interrupted is a content that was at an upstream when that ended.
type Interrupted struct {
	Content Fingerprint
	RanFor  time.Duration // since it was sent there
}

// RecordCrash tells that the start of an upstream was found at now to have ended, and which
// contents were there. It returns those of which that was not known.
func (l *CrashTracker) RecordCrash(lost []Interrupted, start string, now time.Time) []Fingerprint {
	for other, at := range l.lately {
		if now.Sub(at) > sameMoment {
			delete(l.lately, other)
		}
	}
	l.lately[start] = now
	var added []Fingerprint
	for _, c := range lost {
		if s, ok := l.add(Fact{Content: c.Content, Kind: Crash, Subject: start}, now); ok {
			s.shareAt = now.Add(shareAfter)
			s.tooSoon = c.RanFor < minCrashTime
			s.unlikely = s.tooSoon || c.RanFor > maxCrashTime
			added = append(added, c.Content)
		}
	}
	l.compare()
	return added
}

// RecordTrial tells that a trial of a content was claimed for this instance at now.
func (l *CrashTracker) RecordTrial(f Fingerprint, number int, version uint64, now time.Time) {
	s, _ := l.add(trial(f, number), now)
	s.version, s.sharedAt = version, now
}

// ReturnTrial tells that the request of a trial was not sent.
func (l *CrashTracker) ReturnTrial(f Fingerprint, number int) {
	if c := l.contents[f]; c != nil && c.facts[trial(f, number)] != nil {
		c.facts[trial(f, number)].void = true
	}
}

// PostponeTrial tells that a trial of a content could not be claimed, and that the next
// may be no sooner than until.
func (l *CrashTracker) PostponeTrial(f Fingerprint, until time.Time) {
	if c := l.contents[f]; c != nil {
		c.trialAfter = until
	}
}

// RecordAnswer tells that an upstream has answered a content, and reports whether
// anything was known of it.
func (l *CrashTracker) RecordAnswer(f Fingerprint) bool {
	c := l.contents[f]
	if c == nil {
		return false
	}
	for fact, s := range c.facts {
		if s.version == 0 {
			l.drop(fact)
			continue
		}
		s.void = true
	}
	return true
}

// Apply takes rows read at now. Reset means that they are all that there are.
func (l *CrashTracker) Apply(rows []Row, reset bool, now time.Time) {
	if reset {
		l.keepOnly(rows, now)
	}
	for _, r := range rows {
		if r.Deleted {
			l.drop(r.Fact)
			continue
		}
		s, _ := l.add(r.Fact, now)
		s.version, s.sharedAt, s.unlikely = r.Version, now, s.unlikely || r.UnlikelyCause
		if len(s.apart) == 0 {
			s.apart = r.UnrelatedCrashes[:min(len(r.UnrelatedCrashes), maxApart)]
		}
	}
}

// keepOnly drops the shared facts that are not among rows, unless their rows may have
// been written after the reading began that ended at now.
func (l *CrashTracker) keepOnly(rows []Row, now time.Time) {
	kept := make(map[Fact]bool, len(rows))
	for _, r := range rows {
		kept[r.Fact] = true
	}
	for _, c := range l.contents {
		for fact, s := range c.facts {
			if s.version != 0 && !kept[fact] && now.Sub(s.sharedAt) >= readTime {
				l.drop(fact)
			}
		}
	}
}

// add adds a fact learned at now, unless it is known.
func (l *CrashTracker) add(fact Fact, now time.Time) (s *standing, added bool) {
	c := l.contents[fact.Content]
	if c == nil {
		l.makeRoom()
		c = &content{facts: map[Fact]*standing{}}
		l.contents[fact.Content] = c
	}
	if s := c.facts[fact]; s != nil {
		return s, false
	}
	s = &standing{}
	if len(c.facts) >= maxFacts {
		return s, false // it is in quarantine as it is
	}
	c.facts[fact], c.lastAt = s, now
	if fact.Kind == Crash {
		l.under[fact.Subject] = append(l.under[fact.Subject], fact.Content)
	}
	return s, true
}

// makeRoom forgets a content, if there is no room for another: of those with the
// fewest ends the one that was learned of first.
func (l *CrashTracker) makeRoom() {
	if len(l.contents) < maxContents {
		return
	}
	var least Fingerprint
	var found *content
	for f, c := range l.contents {
		if found == nil || cmp.Or(cmp.Compare(l.Crashes(f), l.Crashes(least)), c.lastAt.Compare(found.lastAt)) < 0 {
			least, found = f, c
		}
	}
	for fact, s := range found.facts {
		if s.version != 0 && len(l.evicted) < maxContents {
			l.evicted = append(l.evicted, Row{Fact: fact, Version: s.version})
		}
		l.drop(fact)
	}
}

func (l *CrashTracker) drop(fact Fact) {
	c := l.contents[fact.Content]
	if c == nil || c.facts[fact] == nil {
		return
	}
	delete(c.facts, fact)
	if len(c.facts) == 0 {
		delete(l.contents, fact.Content)
	}
	if fact.Kind != Crash {
		return
	}
	l.under[fact.Subject] = slices.DeleteFunc(l.under[fact.Subject], func(f Fingerprint) bool { return f == fact.Content })
	if len(l.under[fact.Subject]) == 0 {
		delete(l.under, fact.Subject)
	}
}

// count returns how many facts of a kind hold of a content.
func (l *CrashTracker) count(f Fingerprint, k Kind) int {
	c := l.contents[f]
	if c == nil {
		return 0
	}
	n := 0
	for fact, s := range c.facts {
		if fact.Kind == k && !s.void {
			n++
		}
	}
	return n
}

// Crashes returns how many upstreams have ended under a content since it was answered last.
func (l *CrashTracker) Crashes(f Fingerprint) int { return l.count(f, Crash) }

// Trials returns how many trials of a content were claimed since it was answered last.
func (l *CrashTracker) Trials(f Fingerprint) int { return l.count(f, Trial) }

// DueRows returns the facts that are to be shared at now, as rows without a version.
func (l *CrashTracker) DueRows(now time.Time) []Row {
	var out []Row
	for _, c := range l.contents {
		for fact, s := range c.facts {
			if s.version == 0 && !now.Before(s.shareAt) {
				out = append(out, Row{Fact: fact, UnlikelyCause: s.unlikely, UnrelatedCrashes: slices.Clone(s.apart)})
			}
		}
	}
	return out
}

// nextShare returns when the next fact that is not due at now is to be shared; zero if
// there is none.
func (l *CrashTracker) nextShare(now time.Time) time.Time {
	var next time.Time
	for _, c := range l.contents {
		for _, s := range c.facts {
			if s.version == 0 && s.shareAt.After(now) && (next.IsZero() || s.shareAt.Before(next)) {
				next = s.shareAt
			}
		}
	}
	return next
}

// MarkShared tells that a fact was known at now to have a row of the version given.
func (l *CrashTracker) MarkShared(fact Fact, version uint64, now time.Time) {
	if c := l.contents[fact.Content]; c != nil && c.facts[fact] != nil {
		c.facts[fact].version, c.facts[fact].sharedAt = version, now
	}
}

// InvalidRows returns the rows of the facts that hold no more.
func (l *CrashTracker) InvalidRows() []Row {
	return l.rows(func(_ *content, s *standing) bool { return s.void })
}

// ExpiredRows returns the rows of the contents that are not to be remembered at now any
// longer, or for which there was no room.
func (l *CrashTracker) ExpiredRows(now time.Time) []Row {
	out := l.rows(func(c *content, _ *standing) bool { return now.Sub(c.lastAt) >= keepFor })
	out = append(out, l.evicted...)
	l.evicted = nil
	return out
}

// rows returns the rows of the shared facts for which keep reports true.
func (l *CrashTracker) rows(keep func(*content, *standing) bool) []Row {
	var out []Row
	for _, c := range l.contents {
		for fact, s := range c.facts {
			if s.version != 0 && keep(c, s) {
				out = append(out, Row{Fact: fact, Version: s.version})
			}
		}
	}
	return out
}
