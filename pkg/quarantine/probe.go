package quarantine

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// probeTimeout bounds one probe connection.
	probeTimeout = 500 * time.Millisecond
	// probeDelay is the time between a lost connection and the probe of its upstream,
	// unless a request waits for the result. Mostly the upstream still runs and answers
	// another request within that time, which makes the probe unnecessary.
	probeDelay = 50 * time.Millisecond
	// staleConnectionWindow is how long after a crash was found requests may still be
	// sent on connections to the crashed process and be lost to that crash. The loss of
	// a request sent later shows the crash of a new process that is not known yet, as
	// happens while the store is unavailable.
	staleConnectionWindow = 100 * time.Millisecond
	// crashRetention is how long the crashes of an upstream process are kept to tell
	// several crashes under one process ID apart.
	crashRetention = 10 * time.Minute
	// abandonedRetention is how long an abandoned request counts as running at its
	// upstream, which may continue with it.
	abandonedRetention = 2 * time.Second
	// maxAbandoned bounds the abandoned requests kept for one upstream.
	maxAbandoned = 64
)

// probe is a check of whether an upstream has crashed. All requests that lose their
// connection to the upstream meanwhile share it.
type probe struct {
	startedAt   time.Time
	interrupted []Interrupted
	waiting     chan struct{} // closed once a request waits for the result
	done        chan struct{}
	expedited   bool
	answered    bool // whether the upstream has answered a request sent after startedAt
}

// expedite makes the probe run without waiting for probeDelay.
func (p *probe) expedite() {
	if !p.expedited {
		p.expedited = true
		close(p.waiting)
	}
}

// abandonedRequest is a request that was given up at an upstream and counts as running
// there until a time.
type abandonedRequest struct {
	content Fingerprint
	sentAt  time.Time
	until   time.Time
}

// noteResponse records that the upstream of a has answered, which ends a probe that
// began before a was sent.
func (g *Guard) noteResponse(a *Attempt) {
	if g.probeCount.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.probes[processID(a.to)]; p != nil && a.startedAt.After(p.startedAt) {
		p.answered = true
	}
}

// onConnectionLost starts a probe of the upstream at which a lost its connection. If
// crashes found by the probes in progress could put the content of a in quarantine, it
// waits until these probes are done or ctx is.
func (g *Guard) onConnectionLost(ctx context.Context, a *Attempt) {
	if g.cfg.IsLeaving(a.to) {
		return // a planned stop is no crash
	}
	f, ranFor := a.content.Fingerprint(), time.Since(a.startedAt)
	g.mu.Lock()
	if g.crashes[processID(a.to)].isRecent(a.startedAt) {
		g.mu.Unlock()
		return
	}
	g.startProbe(a.to, Interrupted{Content: f, RanFor: ranFor})
	probes := g.probesOf(f)
	wait := g.tracker.Crashes(f)+len(probes) >= quarantineThreshold
	for _, p := range probes {
		if wait {
			p.expedite()
		}
	}
	g.mu.Unlock()
	if !wait {
		return
	}
	for _, p := range probes {
		select {
		case <-p.done:
		case <-ctx.Done():
		}
	}
}

// probesOf returns the probes whose result concerns a content.
func (g *Guard) probesOf(f Fingerprint) []*probe {
	var out []*probe
	for _, p := range g.probes {
		if slices.ContainsFunc(p.interrupted, func(in Interrupted) bool { return in.Content == f }) {
			out = append(out, p)
		}
	}
	return out
}

// startProbe starts a probe of an upstream, or joins the one in progress. If the
// upstream has crashed, the crash counts against the interrupted contents.
func (g *Guard) startProbe(to upstream.Entry, interrupted ...Interrupted) {
	process := processID(to)
	if p := g.probes[process]; p != nil {
		p.interrupted = append(p.interrupted, interrupted...)
		return
	}
	p := &probe{startedAt: time.Now(), interrupted: interrupted, waiting: make(chan struct{}), done: make(chan struct{})}
	g.probes[process] = p
	g.probeCount.Add(1)
	g.cfg.Go(func() error {
		g.finishProbe(to, p, g.runProbe(to, p))
		return nil
	})
}

// runProbe reports whether nothing listens at the upstream's address. It waits for
// probeDelay, or until the probe is expedited, and makes no connection if the upstream
// has answered meanwhile.
func (g *Guard) runProbe(to upstream.Entry, p *probe) bool {
	t := time.NewTimer(probeDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.waiting:
	}
	g.mu.Lock()
	answered := p.answered
	g.mu.Unlock()
	if answered {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return g.cfg.NotListening(ctx, to)
}

// finishProbe records the result of a probe.
func (g *Guard) finishProbe(to upstream.Entry, p *probe, crashed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer close(p.done)
	process, now := processID(to), time.Now()
	delete(g.probes, process)
	g.probeCount.Add(-1)
	if !crashed {
		return
	}
	crash := g.crashID(process, now)
	interrupted := p.interrupted
	for _, r := range g.abandoned[process] {
		if now.Before(r.until) {
			interrupted = append(interrupted, Interrupted{Content: r.content, RanFor: now.Sub(r.sentAt)})
		}
	}
	delete(g.abandoned, process)
	for _, f := range g.tracker.RecordCrash(interrupted, crash, now) {
		g.cfg.OnEvent(Event{What: "upstream ended under a request", Content: f, Upstream: to.ID, Crashes: g.tracker.Crashes(f), UnexplainedCrashes: g.tracker.unexplainedCrashes(f)})
	}
	g.onTrackerChanged()
}

// processCrashes holds the crashes found under one process ID. There may be several, as
// the ID of a restarted upstream is learned only from the store.
type processCrashes struct {
	lastAt time.Time
	count  int
}

// isRecent reports whether a request sent at sentAt may have been lost to the last
// crash rather than to one of a later process.
func (e processCrashes) isRecent(sentAt time.Time) bool {
	return sentAt.After(e.lastAt) && sentAt.Sub(e.lastAt) < staleConnectionWindow
}

// crashID records a crash of a process, found at now, and returns an ID that is unique
// among all crashes. It also drops the crashes older than crashRetention.
func (g *Guard) crashID(process string, now time.Time) string {
	for other, e := range g.crashes {
		if now.Sub(e.lastAt) > crashRetention {
			delete(g.crashes, other)
		}
	}
	e := g.crashes[process]
	if e.count == 0 || now.Sub(e.lastAt) >= staleConnectionWindow {
		e = processCrashes{lastAt: now, count: e.count + 1}
		g.crashes[process] = e
	}
	if e.count == 1 {
		return process
	}
	return process + "~" + strconv.Itoa(e.count)
}

// noteAbandoned records a request that was given up at an upstream, which may continue
// with it.
func (g *Guard) noteAbandoned(a *Attempt, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for process, requests := range g.abandoned {
		if !now.Before(requests[len(requests)-1].until) {
			delete(g.abandoned, process)
		}
	}
	process := processID(a.to)
	if len(g.abandoned[process]) < maxAbandoned {
		g.abandoned[process] = append(g.abandoned[process], abandonedRequest{content: a.content.Fingerprint(), sentAt: a.startedAt, until: now.Add(abandonedRetention)})
	}
}

// onUnreachable has an upstream that accepts no connection probed if a request was
// abandoned there lately.
func (g *Guard) onUnreachable(to upstream.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.abandoned[processID(to)]) > 0 && !g.cfg.IsLeaving(to) {
		g.startProbe(to)
	}
}
