package quarantine

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of crashes that put a content in quarantine.
	// With a lower threshold a request would be quarantined that was merely running at
	// two upstreams that crashed, as happens to one that is retried at another upstream
	// after the first crashed.
	quarantineThreshold = 3
	// maxRetries is how often a content may run after quarantineThreshold crashes, in
	// trials or while its crashes have another explanation.
	maxRetries = 3
	// firstTrialDelay is the time from the last crash to the first trial. Each further
	// trial waits trialBackoffFactor times longer than the one before. Upstreams take
	// seconds to restart, and a request that was not the cause should not wait much
	// longer than that.
	firstTrialDelay    = time.Second
	trialBackoffFactor = 4
	// minCrashTime is how long an upstream must have had a content for the content to
	// be a possible cause of its crash. A connection that is lost earlier shows an
	// older crash.
	minCrashTime = 5 * time.Millisecond
	// maxCrashTime is how long an upstream may have had a content, its time in the
	// upstream's queue included, for the content to be a likely cause. Long
	// generations, which take seconds, often run at upstreams that crash for other
	// reasons.
	maxCrashTime = time.Second
	// correlationWindow is the largest time between the crashes, as found by this
	// instance, of upstreams that crash for a common reason, such as the loss of a
	// rack.
	correlationWindow = 150 * time.Millisecond
	// maxUnrelatedCrashes bounds the unrelated crashes kept for one crash.
	maxUnrelatedCrashes = 4
)

// Decision tells what may be done with a request.
type Decision struct {
	// Trial is the number of the trial that must be claimed before the request runs; 0
	// if it needs none.
	Trial int
	// RefusedUntil is the time until which the request is refused; zero if it may run
	// now.
	RefusedUntil time.Time
}

// unexplainedCrashes returns the number of crashes that a content is likely to have
// caused. A crash does not count if the content ran too short or too long, or if an
// upstream that did not run it crashed at the same moment. It does not count either if
// another content was running that has at least quarantineThreshold crashes and more
// than this one, which tells the content that crashes upstreams from those that were
// retried together with it.
func (t *CrashTracker) unexplainedCrashes(f Fingerprint) int {
	own, n := t.Crashes(f), 0
	for fact, s := range t.contents[f].facts {
		if fact.Kind != Crash || s.invalid || !t.isLikelyCause(f, s) {
			continue
		}
		explained := slices.ContainsFunc(t.contentsByProcess[fact.Subject], func(other Fingerprint) bool {
			crashes := t.Crashes(other)
			return crashes >= quarantineThreshold && crashes > own
		})
		if !explained {
			n++
		}
	}
	return n
}

func (t *CrashTracker) inQuarantine(f Fingerprint) bool {
	crashes := t.Crashes(f)
	return crashes >= quarantineThreshold+maxRetries || crashes >= quarantineThreshold && t.unexplainedCrashes(f) >= quarantineThreshold
}

// Decide returns what may be done at now with a request of a content. A request that
// crashes every upstream that runs it, and arrives again at any instance, runs at most
// maxRetries times after quarantineThreshold crashes.
func (t *CrashTracker) Decide(f Fingerprint, now time.Time) Decision {
	if !t.inQuarantine(f) {
		return Decision{}
	}
	c, trials := t.contents[f], t.Trials(f)
	expiresAt := c.updatedAt.Add(retention)
	switch {
	case !now.Before(expiresAt):
		return Decision{}
	case t.Crashes(f)-quarantineThreshold+trials >= maxRetries:
		return Decision{RefusedUntil: expiresAt}
	}
	pause := firstTrialDelay
	for range trials {
		pause *= trialBackoffFactor
	}
	next := c.updatedAt.Add(pause)
	if c.noTrialBefore.After(next) {
		next = c.noTrialBefore
	}
	if now.Before(next) {
		return Decision{RefusedUntil: next}
	}
	return Decision{Trial: trials + 1}
}

// correlateCrashes adds to each recent crash of a content the other upstream processes
// that crashed within correlationWindow and did not run the content.
func (t *CrashTracker) correlateCrashes() {
	for process := range t.recentCrashes {
		for _, f := range t.contentsByProcess[process] {
			s := t.contents[f].facts[Fact{Content: f, Kind: Crash, Subject: process}]
			for other := range t.recentCrashes {
				if len(s.unrelatedCrashes) < maxUnrelatedCrashes && !t.mayHaveRunAt(f, other) && !slices.Contains(s.unrelatedCrashes, other) {
					s.unrelatedCrashes = append(s.unrelatedCrashes, other)
				}
			}
		}
	}
}

// isLikelyCause reports whether a content is likely to have caused the crash with state
// s. It checks again whether the content ran at the unrelated processes, as rows from
// other instances may have shown since that it did.
func (t *CrashTracker) isLikelyCause(f Fingerprint, s *factState) bool {
	return !s.unlikelyCause && !slices.ContainsFunc(s.unrelatedCrashes, func(process string) bool { return !t.mayHaveRunAt(f, process) })
}

// mayHaveRunAt reports whether a content may have run at an upstream process that
// crashed.
func (t *CrashTracker) mayHaveRunAt(f Fingerprint, process string) bool {
	s := t.contents[f].facts[Fact{Content: f, Kind: Crash, Subject: process}]
	return s != nil && !s.ranTooShort
}
