// Package loadsim replays loads against the decisions of package forward and
// package upstream in simulated time: which upstream a request is sent to, what
// is turned away and when its caller comes back. Seconds of traffic take
// milliseconds, so that policies are compared over many seeds.
package loadsim

import (
	"math/rand/v2"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Load is a load and the site that it meets.
type Load struct {
	Instances        int
	Upstreams        int
	Slots            int           // requests that an upstream serves at once
	QueueLimit       int           // requests that wait at an upstream before it turns others away
	ServiceTime      time.Duration // mean time of a request at an upstream, exponentially distributed
	LatencyObjective time.Duration
	Timeout          time.Duration // callers wait so long
	MaxAttempts      int           // of a caller, the first included

	Rate            float64       // requests offered, in parts of what the upstreams can serve
	BurstRate       float64       // Rate from BurstAt on for BurstTime
	BurstStart      time.Duration // after the start
	BurstDuration   time.Duration
	OutageUpstreams int           // upstreams that take no connection from LostAt on for LostTime
	OutageStart     time.Duration // after the start
	OutageDuration  time.Duration
	SlowUpstreams   int // upstreams whose work takes SlowFactor times as long
	SlowFactor      float64
	Duration        time.Duration // callers' first attempts stop after it; longer than Timeout
	Seed            uint64
}

// Minho is the load of a plain service of the brief's smaller deployment.
var Minho = Load{Instances: 10, Upstreams: 3, Slots: 6, QueueLimit: 3, ServiceTime: 40 * time.Millisecond,
	LatencyObjective: 150 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 4, Rate: 0.7, Duration: 10 * time.Second, Seed: 1}

// capacity is how many requests a second the upstreams serve at the most.
func (l Load) capacity() float64 {
	return float64(l.Upstreams*l.Slots) / l.ServiceTime.Seconds()
}

// rate returns the requests offered a second at a time after the start.
func (l Load) rate(after time.Duration) float64 {
	if l.BurstRate > 0 && after >= l.BurstStart && after < l.BurstStart+l.BurstDuration {
		return l.BurstRate * l.capacity()
	}
	return l.Rate * l.capacity()
}

// Policy is a way to turn requests away.
type Policy struct {
	Name string
	// RetryAt returns when the caller of a rejected request comes back.
	RetryAt func(r *forward.RetryScheduler, now, deadline time.Time, draw float64) time.Time
	// WaitForSlot has requests that find no room wait for it until their deadline.
	WaitForSlot bool
}

// constantReturn is the pause of the Constant policy.
const constantReturn = 300 * time.Millisecond

// The policies: the product's, an earlier version of it, and the plain way.
var (
	SpreadRetries = Policy{Name: "spread", RetryAt: func(r *forward.RetryScheduler, now, deadline time.Time, draw float64) time.Time {
		return r.Reject(pool, now, deadline, draw)
	}}
	ConstantBackoff = Policy{Name: "constant", RetryAt: func(_ *forward.RetryScheduler, now, _ time.Time, _ float64) time.Time {
		return now.Add(constantReturn)
	}}
	WaitAtInstance = Policy{Name: "hold", WaitForSlot: true, RetryAt: ConstantBackoff.RetryAt}
	Policies       = []Policy{SpreadRetries, ConstantBackoff, WaitAtInstance}
)

// Result is what callers saw.
type Result struct {
	Policy          string
	Rate            float64 // offered, in parts of the capacity
	Goodput         float64 // requests answered in their time, in parts of the capacity, once returning callers are among them
	WithinObjective float64 // share of the requests offered that were answered within the objective
	Answered        float64 // share answered within the caller's time
	P50, P99        time.Duration
	Attempts        float64       // at upstreams, for each request offered
	WorstSecond     float64       // least share answered of the requests that came in one second
	MaxWait         time.Duration // longest time that an attempt was held and then turned away untried
}

// Run plays load under policy.
func Run(load Load, p Policy) Result {
	s := newSite(load, p)
	s.arrive(s.start)
	s.play()
	return s.meter.result(load, p)
}

const pool = "pool"

// route is the route of all requests.
func (l Load) route() routetable.Route {
	return routetable.Route{Name: "load", Kind: routetable.Idempotent, Timeout: l.Timeout, LatencyObjective: l.LatencyObjective, MaxAttempts: 2,
		Shares: []routetable.Share{{Pool: pool, Weight: 1}}}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
