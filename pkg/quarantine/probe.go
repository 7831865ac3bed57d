package quarantine

import (
	"context"
	"slices"
	"strconv"
	"strings"
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
	sentAt      time.Time     // when the last request was sent that the upstream may have been running; zero if none may
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

// interrupt adds contents that lost their connection to the upstream at now.
func (p *probe) interrupt(contents []Interrupted, now time.Time) {
	p.interrupted = append(p.interrupted, contents...)
	for _, in := range contents {
		if sentAt := now.Add(-in.RanFor); in.RanFor >= minCrashTime && sentAt.After(p.sentAt) {
			p.sentAt = sentAt
		}
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
// waits until these probes are done or ctx is. A crash does not count against the content of
// an exempt attempt, but as one of an upstream that did not run the contents of others.
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
	g.startProbe(a.to, Interrupted{Content: f, RanFor: ranFor, Exempt: a.exempt})
	if a.exempt {
		g.mu.Unlock()
		return
	}
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
		if slices.ContainsFunc(p.interrupted, func(in Interrupted) bool { return in.Content == f && !in.Exempt }) {
			out = append(out, p)
		}
	}
	return out
}

// startProbe starts a probe of an upstream, or joins the one in progress. If the
// upstream has crashed, the crash counts against the interrupted contents.
func (g *Guard) startProbe(to upstream.Entry, interrupted ...Interrupted) {
	process, now := processID(to), time.Now()
	p := g.probes[process]
	if p != nil {
		p.interrupt(interrupted, now)
		return
	}
	p = &probe{startedAt: now, waiting: make(chan struct{}), done: make(chan struct{})}
	p.interrupt(interrupted, now)
	g.probes[process] = p
	g.probeCount.Add(1)
	g.cfg.Go(func() error {
		g.finishProbe(to, p, g.runProbe(to, p))
		return nil
	})
}

// runProbe reports whether nothing listens at the upstream's address. It waits for
// probeDelay, or until the probe is expedited, and makes no connection if the upstream
// has answered meanwhile or the guard is stopped.
func (g *Guard) runProbe(to upstream.Entry, p *probe) bool {
	t := time.NewTimer(probeDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.waiting:
	case <-g.probeCtx.Done():
		return false
	}
	g.mu.Lock()
	answered := p.answered
	g.mu.Unlock()
	if answered {
		return false
	}
	ctx, cancel := context.WithTimeout(g.probeCtx, probeTimeout)
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
	for _, r := range g.abandoned[process] {
		if now.Before(r.until) {
			p.interrupt([]Interrupted{{Content: r.content, RanFor: now.Sub(r.sentAt)}}, now)
		}
	}
	delete(g.abandoned, process)
	for _, in := range p.interrupted {
		if in.Exempt {
			g.cfg.OnEvent(Event{What: "upstream ended under an exempt request", Content: in.Content, Upstream: to.ID})
		}
	}
	for _, f := range g.tracker.RecordCrash(p.interrupted, g.recordCrash(process, p.sentAt, now), now) {
		g.cfg.OnEvent(Event{What: "upstream ended under a request", Content: f, Upstream: to.ID, Crashes: g.tracker.Crashes(f), UnexplainedCrashes: g.tracker.unexplainedCrashes(f)})
	}
	g.onTrackerChanged()
}

// processCrashes is what is known of the crashes of an upstream under one process ID.
// There may be several, as the ID of a restarted upstream is learned only from the store,
// if it changes at all.
type processCrashes struct {
	last      int       // number of the last crash, from 1 on
	foundAt   time.Time // when this instance last found a crash; zero for never
	learnedAt time.Time // when it last learned of a crash that another had found; zero for never
}

// isRecent reports whether a request sent at sentAt may have been lost to the last
// crash rather than to one of a later process.
func (e processCrashes) isRecent(sentAt time.Time) bool {
	return sentAt.After(e.foundAt) && sentAt.Sub(e.foundAt) < staleConnectionWindow
}

// crashID returns the ID of a process's crash with the given number.
func crashID(process string, number int) string {
	if number == 1 {
		return process
	}
	return process + "~" + strconv.Itoa(number)
}

// parseCrashID returns the process and the number of a crash with the given ID.
func parseCrashID(id string) (process string, number int) {
	if i := strings.LastIndexByte(id, '~'); i >= 0 {
		if n, err := strconv.Atoi(id[i+1:]); err == nil {
			return id[:i], n
		}
	}
	return id, 1
}

// recordCrash records a crash of a process, found at now, and returns an ID that is unique
// among all crashes. sentAt is when the last request was sent that the crash may have
// interrupted. A crash that another instance found is a different one if the request was
// sent after this instance had learned of it, as the process had restarted by then.
func (g *Guard) recordCrash(process string, sentAt, now time.Time) string {
	for other, e := range g.crashes {
		if now.Sub(e.foundAt) > crashRetention && now.Sub(e.learnedAt) > crashRetention {
			delete(g.crashes, other)
		}
	}
	e := g.crashes[process]
	if now.Sub(e.foundAt) >= staleConnectionWindow {
		if e.learnedAt.IsZero() || sentAt.After(e.learnedAt) {
			e.last++
			for g.tracker.knowsCrash(crashID(process, e.last)) {
				e.last++
			}
		}
		e.foundAt = now
		g.crashes[process] = e
	}
	return crashID(process, e.last)
}

// learnCrash records that this instance learned at now of a crash that another had found.
func (g *Guard) learnCrash(id string, now time.Time) {
	process, number := parseCrashID(id)
	if e := g.crashes[process]; number > e.last {
		e.last, e.learnedAt = number, now
		g.crashes[process] = e
	}
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
