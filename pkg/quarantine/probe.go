package quarantine

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

const (
	// probeTime bounds finding out whether an upstream has ended.
	probeTime = 500 * time.Millisecond
	// probeDelay is how long an upstream to which a connection broke is not asked
	// whether it has ended, unless a request waits for that: mostly it goes on, and
	// answers others meanwhile.
	probeDelay = 50 * time.Millisecond
	// staleFor is how long after an upstream was found to have ended requests may still
	// break off that were sent on connections from before. Later ones end a start that
	// is not known yet, as while the store is away.
	staleFor = 100 * time.Millisecond
	// endedFor is how long an upstream's ends are remembered apart from the ledger.
	endedFor = 10 * time.Minute
	// leftFor is how long a request counts as at an upstream after it was given up here
	// without an answer, as the upstream may go on with it.
	leftFor = 2 * time.Second
	// maxLeft bounds the requests that count so at one upstream.
	maxLeft = 64
)

// probe is a check of whether an upstream has ended, which all requests share whose
// connections to it broke meanwhile.
type probe struct {
	begunAt  time.Time
	lost     []Interrupted
	urgent   chan struct{} // closed once a request waits for it
	done     chan struct{}
	hurried  bool
	answered bool // the upstream has answered a request that was sent later
}

// hurry has the probe made at once.
func (p *probe) hurry() {
	if !p.hurried {
		p.hurried = true
		close(p.urgent)
	}
}

type leftRequest struct {
	content Fingerprint
	sentAt  time.Time
	till    time.Time
}

// heard tells that a's upstream has answered.
func (g *Guard) heard(a *Attempt) {
	if g.probing.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.probes[startOf(a.to)]; p != nil && a.begunAt.After(p.begunAt) {
		p.answered = true
	}
}

func (g *Guard) broken(ctx context.Context, a *Attempt) {
	if g.cfg.IsLeaving(a.to) {
		return // it ends for a reason of its own
	}
	f, ranFor := a.content.Fingerprint(), time.Since(a.begunAt)
	g.mu.Lock()
	if g.ended[startOf(a.to)].recent(a.begunAt) {
		g.mu.Unlock()
		return
	}
	g.probe(a.to, Interrupted{Content: f, RanFor: ranFor})
	probes := g.probesFor(f)
	wait := g.ledger.Crashes(f)+len(probes) >= maxEnds
	for _, p := range probes {
		if wait {
			p.hurry()
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

// probesFor returns the probes whose outcome concerns a content.
func (g *Guard) probesFor(f Fingerprint) []*probe {
	var out []*probe
	for _, p := range g.probes {
		if slices.ContainsFunc(p.lost, func(l Interrupted) bool { return l.Content == f }) {
			out = append(out, p)
		}
	}
	return out
}

// probe finds out whether an upstream has ended, and has its end count against what was
// lost there.
func (g *Guard) probe(to upstream.Entry, lost ...Interrupted) {
	start := startOf(to)
	if p := g.probes[start]; p != nil {
		p.lost = append(p.lost, lost...)
		return
	}
	p := &probe{begunAt: time.Now(), lost: lost, urgent: make(chan struct{}), done: make(chan struct{})}
	g.probes[start] = p
	g.probing.Add(1)
	g.cfg.Go(func() error {
		g.probed(to, p, g.isGone(to, p))
		return nil
	})
}

// isGone carries out a probe.
func (g *Guard) isGone(to upstream.Entry, p *probe) bool {
	t := time.NewTimer(probeDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.urgent:
	}
	g.mu.Lock()
	answered := p.answered
	g.mu.Unlock()
	if answered {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	return g.cfg.NotListening(ctx, to)
}

// probed tells the outcome of a probe.
func (g *Guard) probed(to upstream.Entry, p *probe, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer close(p.done)
	start, now := startOf(to), time.Now()
	delete(g.probes, start)
	g.probing.Add(-1)
	if !gone {
		return
	}
	end := g.endedAt(start, now)
	lost := p.lost
	for _, l := range g.left[start] {
		if now.Before(l.till) {
			lost = append(lost, Interrupted{Content: l.content, RanFor: now.Sub(l.sentAt)})
		}
	}
	delete(g.left, start)
	for _, f := range g.ledger.RecordCrash(lost, end, now) {
		g.cfg.OnEvent(Event{What: "upstream ended under a request", Content: f, Upstream: to.ID, Crashes: g.ledger.Crashes(f), Unexplained: g.ledger.unexplained(f)})
	}
	g.settle()
}

// startEnds are the ends of what an upstream's entry tells as one start.
type startEnds struct {
	lastAt time.Time
	count  int
}

// recent reports whether a request that was sent at a time may have met the last end,
// and not a start after it.
func (e startEnds) recent(sentAt time.Time) bool {
	return sentAt.After(e.lastAt) && sentAt.Sub(e.lastAt) < staleFor
}

// endedAt takes an end of a start, found at now, and returns its name among all ends.
// It forgets those of long ago.
func (g *Guard) endedAt(start string, now time.Time) string {
	for other, e := range g.ended {
		if now.Sub(e.lastAt) > endedFor {
			delete(g.ended, other)
		}
	}
	e := g.ended[start]
	if e.count == 0 || now.Sub(e.lastAt) >= staleFor {
		e = startEnds{lastAt: now, count: e.count + 1}
		g.ended[start] = e
	}
	if e.count == 1 {
		return start
	}
	return start + "~" + strconv.Itoa(e.count)
}

// leave keeps in mind a request that was given up at an upstream, which may go on
// with it.
func (g *Guard) leave(a *Attempt, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for start, ls := range g.left {
		if !now.Before(ls[len(ls)-1].till) {
			delete(g.left, start)
		}
	}
	start := startOf(a.to)
	if len(g.left[start]) < maxLeft {
		g.left[start] = append(g.left[start], leftRequest{content: a.content.Fingerprint(), sentAt: a.begunAt, till: now.Add(leftFor)})
	}
}

// unreachable has an upstream checked that takes no connection, if a request was
// given up there lately.
func (g *Guard) unreachable(to upstream.Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.left[startOf(to)]) > 0 && !g.cfg.IsLeaving(to) {
		g.probe(to)
	}
}
