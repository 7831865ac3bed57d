package quarantine

import (
	"slices"
	"time"
)

const (
	// maxEnds is how many upstreams may end under a content before it is in
	// quarantine. Fewer would hold a request that was merely there twice, as happens
	// where it is sent on from one upstream that ends to the next.
	maxEnds = 3
	// maxRetries is how often a content may run once maxEnds upstreams have ended under
	// it, in trials or as long as something else explains the ends.
	maxRetries = 3
	// firstTrialAfter is how long after the last end, or trial, the first trial may be.
	// Each further one waits trialGrowth times longer. Upstreams take seconds to start
	// again, and bystanders are not to wait for much longer.
	firstTrialAfter = time.Second
	trialGrowth     = 4
	// minCrashTime is how long an upstream must have had a content to have ended under
	// it. In less the connection tells of an end from before.
	minCrashTime = 5 * time.Millisecond
	// maxCrashTime is how long an upstream may have had a content that is likely to have
	// ended it, its wait there included: long texts that are whole in seconds are at
	// several upstreams that end by themselves.
	maxCrashTime = time.Second
	// sameMoment is how close together upstreams end that end for a common reason, such
	// as the loss of a rack, as it is found here.
	sameMoment = 150 * time.Millisecond
	// maxApart bounds the upstreams that are noted to have ended at the same moment.
	maxApart = 4
)

// Decision is what may be done with a request.
type Decision struct {
	// Trial is the number of the trial that the request may be run as, once it is
	// claimed; 0 if it needs none.
	Trial int
	// RefusedUntil is when it may be tried next; zero if it may be now.
	RefusedUntil time.Time
}

// unexplained returns how many of a content's ends it is likely to have caused. It is
// not where it ran too short or too long, or where another upstream that did not run it
// ended at the same moment; nor where another content did that has ended maxEnds upstreams
// and more than this one: so requests that were sent on together with one that crashes
// upstreams are told from it.
func (l *CrashTracker) unexplained(f Fingerprint) int {
	own, n := l.Crashes(f), 0
	for fact, s := range l.contents[f].facts {
		if fact.Kind != Crash || s.void || !l.likely(f, s) {
			continue
		}
		explained := slices.ContainsFunc(l.under[fact.Subject], func(other Fingerprint) bool {
			ends := l.Crashes(other)
			return ends >= maxEnds && ends > own
		})
		if !explained {
			n++
		}
	}
	return n
}

func (l *CrashTracker) inQuarantine(f Fingerprint) bool {
	ends := l.Crashes(f)
	return ends >= maxEnds+maxRetries || ends >= maxEnds && l.unexplained(f) >= maxEnds
}

// Decide returns what may be done at now with a request of a content. It answers the
// load of a request that crashes the upstreams that run it and comes again at any
// instance: after maxEnds of them it runs maxRetries times more at the most.
func (l *CrashTracker) Decide(f Fingerprint, now time.Time) Decision {
	if !l.inQuarantine(f) {
		return Decision{}
	}
	c, trials := l.contents[f], l.Trials(f)
	expiresAt := c.lastAt.Add(keepFor)
	switch {
	case !now.Before(expiresAt):
		return Decision{}
	case l.Crashes(f)-maxEnds+trials >= maxRetries:
		return Decision{RefusedUntil: expiresAt}
	}
	pause := firstTrialAfter
	for range trials {
		pause *= trialGrowth
	}
	next := c.lastAt.Add(pause)
	if c.trialAfter.After(next) {
		next = c.trialAfter
	}
	if now.Before(next) {
		return Decision{RefusedUntil: next}
	}
	return Decision{Trial: trials + 1}
}

// compare notes, of each content under which an upstream has ended lately, the other
// upstreams that have ended at the same moment.
func (l *CrashTracker) compare() {
	for start := range l.lately {
		for _, f := range l.under[start] {
			s := l.contents[f].facts[Fact{Content: f, Kind: Crash, Subject: start}]
			for other := range l.lately {
				if len(s.apart) < maxApart && !l.ranAt(f, other) && !slices.Contains(s.apart, other) {
					s.apart = append(s.apart, other)
				}
			}
		}
	}
}

// likely reports whether a content is likely to have caused the end that s stands for.
// Other instances may have told since that it ran at an upstream that ended at the same
// moment.
func (l *CrashTracker) likely(f Fingerprint, s *standing) bool {
	return !s.unlikely && !slices.ContainsFunc(s.apart, func(start string) bool { return !l.ranAt(f, start) })
}

// ranAt reports whether a content may have run at a start that has ended.
func (l *CrashTracker) ranAt(f Fingerprint, start string) bool {
	s := l.contents[f].facts[Fact{Content: f, Kind: Crash, Subject: start}]
	return s != nil && !s.tooSoon
}
