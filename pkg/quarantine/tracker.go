package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shareDelay is the time after which a crash is shared. By then most contents have
	// been answered by another upstream, and it is known whether other upstreams
	// crashed at the same moment.
	shareDelay = 200 * time.Millisecond
	// retention is how long a content is kept after the last fact about it was learned.
	// A content without trials left is refused for that long.
	retention = 24 * time.Hour
	// maxReadTime bounds the duration of a full read of the rows.
	maxReadTime = 2 * time.Second
	// maxContents bounds the number of contents kept.
	maxContents = 1024
	// maxFacts bounds the facts about one content. More than quarantineThreshold
	// crashes and maxRetries trials come only from instances that could not reach the
	// store.
	maxFacts = 32
)

// CrashTracker counts the crashes of upstreams by the contents that they were running.
// It is not safe for concurrent use. Its times are those at which this instance learned
// of facts, so the clocks of instances need not agree.
type CrashTracker struct {
	contents          map[Fingerprint]*contentState
	contentsByProcess map[string][]Fingerprint // contents that were running at an upstream process that crashed
	recentCrashes     map[string]time.Time     // when this instance found upstream processes to have crashed, within correlationWindow
	evicted           []Row                    // rows of contents dropped because of maxContents, to be deleted
}

// contentState is what is known of one content.
type contentState struct {
	facts         map[Fact]*factState
	updatedAt     time.Time // when the last fact was learned
	noTrialBefore time.Time // earliest time of the next trial claim
}

// factState is the state of one fact.
type factState struct {
	version          uint64    // version of its row; 0 if it has none as far as known
	shareAt          time.Time // when its row is to be written
	sharedAt         time.Time // when it was last known to have a row
	invalid          bool      // whether the content has been answered since, or the trial returned
	ranTooShort      bool      // whether the upstream can hardly have run the content
	unlikelyCause    bool      // whether the content ran too short or too long to be a likely cause
	unrelatedCrashes []string  // processes that crashed at the same moment and did not run the content, as far as known here
}

// NewCrashTracker returns an empty CrashTracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{contents: map[Fingerprint]*contentState{}, contentsByProcess: map[string][]Fingerprint{}, recentCrashes: map[string]time.Time{}}
}

// Len returns the number of contents kept.
func (t *CrashTracker) Len() int { return len(t.contents) }

// Interrupted is a content that was running at an upstream when it crashed.
type Interrupted struct {
	Content Fingerprint
	RanFor  time.Duration // time since it was sent to the upstream
	Exempt  bool          // the crash does not count against it
}

// RecordCrash records that an upstream process was found at now to have crashed, and
// the contents that it was running. It returns the contents for which this crash was
// not known.
func (t *CrashTracker) RecordCrash(interrupted []Interrupted, process string, now time.Time) []Fingerprint {
	for other, at := range t.recentCrashes {
		if now.Sub(at) > correlationWindow {
			delete(t.recentCrashes, other)
		}
	}
	t.recentCrashes[process] = now
	var added []Fingerprint
	for _, in := range interrupted {
		if in.Exempt {
			continue
		}
		if s, ok := t.add(Fact{Content: in.Content, Kind: Crash, Subject: process}, now); ok {
			s.shareAt = now.Add(shareDelay)
			s.ranTooShort = in.RanFor < minCrashTime
			s.unlikelyCause = s.ranTooShort || in.RanFor > maxCrashTime
			added = append(added, in.Content)
		}
	}
	t.correlateCrashes()
	return added
}

// RecordTrial records that a trial of a content was claimed at now. version is that of
// its row.
func (t *CrashTracker) RecordTrial(f Fingerprint, number int, version uint64, now time.Time) {
	s, _ := t.add(trial(f, number), now)
	s.version, s.sharedAt = version, now
}

// ReturnTrial records that the request of a claimed trial was not sent. The trial
// counts no more and its row is to be deleted.
func (t *CrashTracker) ReturnTrial(f Fingerprint, number int) {
	if c := t.contents[f]; c != nil && c.facts[trial(f, number)] != nil {
		c.facts[trial(f, number)].invalid = true
	}
}

// PostponeTrial records that a trial of a content could not be claimed and that the
// next claim may be made at until at the earliest.
func (t *CrashTracker) PostponeTrial(f Fingerprint, until time.Time) {
	if c := t.contents[f]; c != nil {
		c.noTrialBefore = until
	}
}

// RecordAnswer records that an upstream has answered a content, which makes all facts
// about it invalid. It reports whether there were any.
func (t *CrashTracker) RecordAnswer(f Fingerprint) bool {
	c := t.contents[f]
	if c == nil {
		return false
	}
	for fact, s := range c.facts {
		if s.version == 0 {
			t.dropFact(fact)
			continue
		}
		s.invalid = true
	}
	return true
}

// Apply takes rows read at now, and returns the facts that were not known. full means that
// rows are all the rows of the store: shared facts without a row are dropped.
func (t *CrashTracker) Apply(rows []Row, full bool, now time.Time) []Fact {
	if full {
		t.dropMissing(rows, now)
	}
	var learned []Fact
	for _, r := range rows {
		if r.Deleted {
			t.dropFact(r.Fact)
			continue
		}
		s, added := t.add(r.Fact, now)
		if added {
			learned = append(learned, r.Fact)
		}
		s.version, s.sharedAt, s.unlikelyCause = r.Version, now, s.unlikelyCause || r.UnlikelyCause
		if len(s.unrelatedCrashes) == 0 {
			s.unrelatedCrashes = r.UnrelatedCrashes[:min(len(r.UnrelatedCrashes), maxUnrelatedCrashes)]
		}
	}
	return learned
}

// dropMissing drops the shared facts that are not among rows, which were read
// completely at now. It keeps facts whose rows may have been written after that read
// began.
func (t *CrashTracker) dropMissing(rows []Row, now time.Time) {
	kept := make(map[Fact]bool, len(rows))
	for _, r := range rows {
		kept[r.Fact] = true
	}
	for _, c := range t.contents {
		for fact, s := range c.facts {
			if s.version != 0 && !kept[fact] && now.Sub(s.sharedAt) >= maxReadTime {
				t.dropFact(fact)
			}
		}
	}
}

// add adds a fact learned at now, unless it is known, and returns its state. For a
// content that has maxFacts already the state is not kept.
func (t *CrashTracker) add(fact Fact, now time.Time) (s *factState, added bool) {
	c := t.contents[fact.Content]
	if c == nil {
		t.evictContent()
		c = &contentState{facts: map[Fact]*factState{}}
		t.contents[fact.Content] = c
	}
	if s := c.facts[fact]; s != nil {
		return s, false
	}
	s = &factState{}
	if len(c.facts) >= maxFacts {
		return s, false // maxFacts are enough for quarantine
	}
	c.facts[fact], c.updatedAt = s, now
	if fact.Kind == Crash {
		t.contentsByProcess[fact.Subject] = append(t.contentsByProcess[fact.Subject], fact.Content)
	}
	return s, true
}

// evictContent drops a content if there are maxContents: the one with the fewest
// crashes, and of several the one updated the longest ago.
func (t *CrashTracker) evictContent() {
	if len(t.contents) < maxContents {
		return
	}
	var least Fingerprint
	var found *contentState
	for f, c := range t.contents {
		if found == nil || cmp.Or(cmp.Compare(t.Crashes(f), t.Crashes(least)), c.updatedAt.Compare(found.updatedAt)) < 0 {
			least, found = f, c
		}
	}
	for fact, s := range found.facts {
		if s.version != 0 && len(t.evicted) < maxContents {
			t.evicted = append(t.evicted, Row{Fact: fact, Version: s.version})
		}
		t.dropFact(fact)
	}
}

func (t *CrashTracker) dropFact(fact Fact) {
	c := t.contents[fact.Content]
	if c == nil || c.facts[fact] == nil {
		return
	}
	delete(c.facts, fact)
	if len(c.facts) == 0 {
		delete(t.contents, fact.Content)
	}
	if fact.Kind != Crash {
		return
	}
	t.contentsByProcess[fact.Subject] = slices.DeleteFunc(t.contentsByProcess[fact.Subject], func(f Fingerprint) bool { return f == fact.Content })
	if len(t.contentsByProcess[fact.Subject]) == 0 {
		delete(t.contentsByProcess, fact.Subject)
	}
}

// knowsCrash reports whether there is a fact about the crash with the given ID.
func (t *CrashTracker) knowsCrash(id string) bool { return len(t.contentsByProcess[id]) > 0 }

// countFacts returns the number of valid facts of kind k about a content.
func (t *CrashTracker) countFacts(f Fingerprint, k Kind) int {
	c := t.contents[f]
	if c == nil {
		return 0
	}
	n := 0
	for fact, s := range c.facts {
		if fact.Kind == k && !s.invalid {
			n++
		}
	}
	return n
}

// Crashes returns the number of crashes of a content since it was last answered.
func (t *CrashTracker) Crashes(f Fingerprint) int { return t.countFacts(f, Crash) }

// Trials returns the number of claimed trials of a content since it was last answered.
func (t *CrashTracker) Trials(f Fingerprint) int { return t.countFacts(f, Trial) }

// DueRows returns the facts to be shared at now, as rows without a version.
func (t *CrashTracker) DueRows(now time.Time) []Row {
	var out []Row
	for _, c := range t.contents {
		for fact, s := range c.facts {
			if s.version == 0 && !now.Before(s.shareAt) {
				out = append(out, Row{Fact: fact, UnlikelyCause: s.unlikelyCause, UnrelatedCrashes: slices.Clone(s.unrelatedCrashes)})
			}
		}
	}
	return out
}

// nextShare returns the earliest time after now at which a fact is to be shared, or
// zero if there is none.
func (t *CrashTracker) nextShare(now time.Time) time.Time {
	var next time.Time
	for _, c := range t.contents {
		for _, s := range c.facts {
			if s.version == 0 && s.shareAt.After(now) && (next.IsZero() || s.shareAt.Before(next)) {
				next = s.shareAt
			}
		}
	}
	return next
}

// MarkShared records that a fact was known at now to have a row with the given version.
func (t *CrashTracker) MarkShared(fact Fact, version uint64, now time.Time) {
	if c := t.contents[fact.Content]; c != nil && c.facts[fact] != nil {
		c.facts[fact].version, c.facts[fact].sharedAt = version, now
	}
}

// InvalidRows returns the rows of facts that are no longer valid, to be deleted.
func (t *CrashTracker) InvalidRows() []Row {
	return t.rows(func(_ *contentState, s *factState) bool { return s.invalid })
}

// ExpiredRows returns the rows of contents whose retention has passed at now or that
// were evicted, to be deleted.
func (t *CrashTracker) ExpiredRows(now time.Time) []Row {
	out := t.rows(func(c *contentState, _ *factState) bool { return now.Sub(c.updatedAt) >= retention })
	out = append(out, t.evicted...)
	t.evicted = nil
	return out
}

// rows returns the rows of the shared facts for which keep reports true.
func (t *CrashTracker) rows(keep func(*contentState, *factState) bool) []Row {
	var out []Row
	for _, c := range t.contents {
		for fact, s := range c.facts {
			if s.version != 0 && keep(c, s) {
				out = append(out, Row{Fact: fact, Version: s.version})
			}
		}
	}
	return out
}
