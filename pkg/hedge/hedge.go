// Package hedge decides when a second copy of a call is sent because the first takes
// longer than usual. The time that calls usually take is known by route, and the number
// of copies is limited, so that they do not overload a service that is slow as a whole.
package hedge

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/zinnialadder/zinnialadder/pkg/retry"
)

const (
	// percentile of the times of recent calls after which a copy is sent. Calls beyond
	// it are within what the budget allows.
	percentile = 95
	// minCalls is the number of recent calls that must be known before a copy is sent.
	// The 95th percentile of fewer is the longest of them.
	minCalls = 20
	// minObjectiveShare is the least delay of a copy as a fraction of the route's latency
	// objective. A call that took as long as that is still answered well in time.
	minObjectiveShare = 0.25
	// copyRatio is the number of copies allowed per call.
	copyRatio = 0.1
	// savedCopies is the number of copies that may be saved up. An upstream that stops
	// answering delays several calls of an instance at once.
	savedCopies = 3
	// windowDuration is the time after which calls begin to be forgotten. They are
	// forgotten entirely after twice that time. It spans many of the disturbances that
	// last less than a second.
	windowDuration = 15 * time.Second
	// refreshInterval is the number of calls after which the delay is computed again.
	refreshInterval = 10
	// resolution is the unit of the recorded times.
	resolution = 100 * time.Microsecond
	// maxRecorded is the longest recorded time. Longer calls count as that long.
	maxRecorded = time.Minute
	// significantFigures is the precision of the recorded times.
	significantFigures = 2
)

// Config configures a Policy.
type Config struct {
	// Objective is the latency objective of the route; 0 if it has none.
	Objective time.Duration
}

// Policy decides when copies of one route's calls are sent. It is safe for concurrent
// use. Use New to create one.
type Policy struct {
	cfg    Config
	budget *retry.Budget

	mu        sync.Mutex
	times     *hdrhistogram.WindowedHistogram // in units of resolution
	rotatedAt time.Time
	unmerged  int           // calls recorded since delay was computed
	known     int64         // calls from which delay and mean were computed
	mean      time.Duration // valid if known is at least minCalls
	delay     time.Duration // valid if known is at least minCalls
}

// New returns a Policy that knows no calls.
func New(cfg Config) *Policy {
	return &Policy{cfg: cfg, budget: retry.NewBudget(copyRatio, savedCopies),
		times: hdrhistogram.NewWindowed(2, 1, int64(maxRecorded/resolution), significantFigures)}
}

// Begin counts a call that starts at now. It returns how long the call runs before a copy
// is sent, and false if too few calls are known for that.
func (p *Policy) Begin(now time.Time) (time.Duration, bool) {
	p.budget.Deposit()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now)
	if p.unmerged >= refreshInterval || p.known < minCalls {
		p.refresh()
	}
	return p.delay, p.known >= minCalls
}

// Mean returns the mean time of recent calls, the latency objective if too few are known
// and 0 if there is none either.
func (p *Policy) Mean() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known < minCalls {
		return p.cfg.Objective
	}
	return p.mean
}

// Copy takes the budget of one copy. It reports false if the budget is spent.
func (p *Policy) Copy() bool { return p.budget.Withdraw() }

// Refund returns the budget of a copy that was not sent.
func (p *Policy) Refund() { p.budget.Refund() }

// Observe records the time that a call took, or that it had taken when it was cancelled:
// without the cancelled ones, the calls would seem shorter the more copies are sent.
func (p *Policy) Observe(took time.Duration, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(at)
	units := int64(max(0, min(took, maxRecorded)) / resolution)
	if p.times.Current.RecordValue(units) == nil {
		p.unmerged++
	}
}

// forget discards the calls that are too old at now. p.mu must be held.
func (p *Policy) forget(now time.Time) {
	if p.rotatedAt.IsZero() {
		p.rotatedAt = now
	}
	age := now.Sub(p.rotatedAt)
	if age < windowDuration {
		return
	}
	p.times.Rotate()
	if age >= 2*windowDuration {
		p.times.Rotate() // the calls of the later window are too old as well
	}
	p.rotatedAt = now
	p.refresh()
}

// refresh computes the delay. p.mu must be held.
func (p *Policy) refresh() {
	if p.known+int64(p.unmerged) < minCalls {
		return
	}
	merged := p.times.Merge()
	p.known, p.unmerged = merged.TotalCount(), 0
	p.mean = time.Duration(merged.Mean() * float64(resolution))
	p.delay = max(time.Duration(merged.ValueAtQuantile(percentile))*resolution, time.Duration(minObjectiveShare*float64(p.cfg.Objective)))
}

// Policies holds the Policy of each route. Its zero value is ready for use. It is safe
// for concurrent use.
type Policies struct {
	mu      sync.Mutex
	byRoute map[string]*Policy
}

// Of returns the Policy of the named route. A route whose configuration has changed gets
// a new one.
func (p *Policies) Of(route string, cfg Config) *Policy {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRoute == nil {
		p.byRoute = map[string]*Policy{}
	}
	policy := p.byRoute[route]
	if policy == nil || policy.cfg != cfg {
		policy = New(cfg)
		p.byRoute[route] = policy
	}
	return policy
}
