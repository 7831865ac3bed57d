// Package loadsim simulates load on the decisions of packages forward, upstream and
// submission: which upstream a request is sent to, which requests are rejected, when
// their callers retry, and in which order the items of a step are generated. Seconds
// of traffic are simulated in milliseconds, so that policies can be compared over
// many seeds.
package loadsim

import (
	"math/rand/v2"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
)

// Load describes the load of callers and the site that serves it.
type Load struct {
	Instances        int
	Upstreams        int
	Slots            int           // requests that an upstream runs at once
	QueueLimit       int           // requests that an upstream queues; it refuses further ones
	ServiceTime      time.Duration // mean service time of a request, exponentially distributed
	LogNormal        bool          // service times are log-normally distributed, with a mean of ServiceTime including long ones
	LatencyObjective time.Duration
	Timeout          time.Duration // time that a caller waits for its answer
	MaxAttempts      int           // attempts of a caller, including the first

	Rate            float64       // offered requests as a fraction of the capacity
	BurstRate       float64       // Rate during a burst; 0 for no burst
	BurstStart      time.Duration // after the start
	BurstDuration   time.Duration
	OutageUpstreams int           // upstreams that accept no connection during the outage
	OutageStart     time.Duration // after the start
	OutageDuration  time.Duration
	SlowUpstreams   int // upstreams whose requests take SlowFactor times as long
	SlowFactor      float64
	Machines        Machines
	DataCentres     DataCentres
	ReportDelay     time.Duration // age of upstreams' reports of their load
	LongShare       float64       // share of the requests that take LongFactor times as long
	LongFactor      float64
	Customers       int           // that share the requests; 0 for one
	HeavyFactor     float64       // requests of the first customer relative to those of each other one; 0 for the same
	UrgentShare     float64       // share of the requests with urgentPriority instead of otherPriority
	Duration        time.Duration // callers arrive until then; longer than Timeout
	Seed            uint64

	FailingUpstreams int     // upstreams that answer some requests with an error
	FailureShare     float64 // share of the requests to one of them that it answers so
	FailureTime      float64 // time after which it does, relative to that of the request; 0 for at once
}

// Minho is the load of a plain service in the deployment of that name.
var Minho = Load{Instances: 10, Upstreams: 3, Slots: 6, QueueLimit: 3, ServiceTime: 40 * time.Millisecond,
	LatencyObjective: 150 * time.Millisecond, Timeout: 2 * time.Second, MaxAttempts: 4, Rate: 0.7, Duration: 10 * time.Second, Seed: 1}

// capacity returns the requests per second that the upstreams can serve.
func (l Load) capacity() float64 {
	return float64(l.Upstreams*l.Slots) / l.ServiceTime.Seconds()
}

// rate returns the offered requests per second at a time after the start.
func (l Load) rate(after time.Duration) float64 {
	if l.BurstRate > 0 && after >= l.BurstStart && after < l.BurstStart+l.BurstDuration {
		return l.BurstRate * l.capacity()
	}
	return l.Rate * l.capacity()
}

// Policy is a way to treat requests that find no free slot.
type Policy struct {
	Name string
	// RetryAt returns when the caller of a rejected request retries. The caller waits until
	// deadline; draw is a random number in [0, 1).
	RetryAt func(r *forward.RetryScheduler, now, deadline time.Time, draw float64) time.Time
	// WaitForSlot has requests wait for a free slot until their deadline.
	WaitForSlot bool
	Contended   bool // the pool is contended; upstreams report the pace of their machine
	// Hedge has a copy of a request sent if the first takes longer than usual.
	Hedge bool
	// Queue has requests wait in an ordered queue instead of polling.
	Queue bool
	// IgnoreDataCentres hides from instances in which data centre upstreams are.
	IgnoreDataCentres bool
	// NoFailureRates withholds the failed requests from the estimates of failure rates.
	NoFailureRates bool
	// Oracle has requests that wait in the queue, and copies, placed by what upstreams truly
	// have and how fast they truly are.
	Oracle bool
}

// constantBackoff is the backoff of ConstantBackoff.
const constantBackoff = 300 * time.Millisecond

// The policies: the one in use, an earlier version of it, a baseline without early
// rejection, and what is in use where the pool is contended: the copies and the queue, one
// by one and together.
var (
	SpreadRetries = Policy{Name: "spread", RetryAt: func(r *forward.RetryScheduler, now, deadline time.Time, draw float64) time.Time {
		return r.Reject(pool, now, deadline, draw)
	}}
	ConstantBackoff = Policy{Name: "constant", RetryAt: func(_ *forward.RetryScheduler, now, _ time.Time, _ float64) time.Time {
		return now.Add(constantBackoff)
	}}
	WaitAtInstance = Policy{Name: "hold", WaitForSlot: true, RetryAt: ConstantBackoff.RetryAt}
	Hedged         = Policy{Name: "hedged", Contended: true, Hedge: true, RetryAt: SpreadRetries.RetryAt}
	Queued         = Policy{Name: "queued", Contended: true, Queue: true, RetryAt: SpreadRetries.RetryAt}
	HedgedQueued   = Policy{Name: "both", Contended: true, Hedge: true, Queue: true, RetryAt: SpreadRetries.RetryAt}
	Policies       = []Policy{SpreadRetries, ConstantBackoff, WaitAtInstance}
	// BySoonest is SpreadRetries with the placement of contended pools.
	BySoonest = Policy{Name: "by pace", RetryAt: SpreadRetries.RetryAt, Contended: true}

	// IgnoringDataCentres is HedgedQueued without regard to data centres.
	IgnoringDataCentres = Policy{Name: "ignoring data centres", Contended: true, Hedge: true, Queue: true, IgnoreDataCentres: true, RetryAt: SpreadRetries.RetryAt}

	// ContendedPolicies are the policies for contended pools, and the one of other pools.
	ContendedPolicies = []Policy{SpreadRetries, BySoonest, Hedged, Queued, HedgedQueued}
)

// Result is the outcome of a load under a policy.
type Result struct {
	Policy string
	Rate   float64 // offered requests as a fraction of the capacity
	// Goodput is the rate of requests answered within the caller's timeout, as a fraction
	// of the capacity. It is measured from the load's Timeout to its Duration, when
	// retries are part of the load.
	Goodput         float64
	WithinObjective float64 // share of offered requests answered within the latency objective
	Answered        float64 // share of offered requests answered within the caller's timeout
	P50, P99        time.Duration
	Mean            time.Duration // mean time from a caller's first attempt to its answer
	// FirstSendP99 is the 99th percentile of the time from a caller's first attempt until its
	// request was first sent to an upstream, of the requests that were sent.
	FirstSendP99 time.Duration
	// AnsweredUrgent and AnsweredOther are Answered of the urgent requests, 0 if there is
	// none, and of the others.
	AnsweredUrgent, AnsweredOther float64
	Attempts                      float64 // attempts at upstreams per offered request
	Copies                        float64 // hedged copies per offered request
	// Fairness is Jain's index of what each customer was served, relative to its max-min
	// fair share of the capacity. It is 1 if all got their share.
	Fairness     float64
	WorstSecond  float64       // lowest share answered of the requests that arrived in one second
	MaxWait      time.Duration // longest wait of an attempt that was rejected without being sent
	BusiestShare float64       // work of the upstream with the most, relative to the mean
	Failed       float64       // attempts answered with an error, per offered request
	LongestGap   time.Duration // longest time for which one of the FailingUpstreams got no request
	CrossShare   float64       // share of the attempts that were sent to another data centre
	// CrossChange is the largest change of CrossShare in one data centre from one second to
	// the next.
	CrossChange float64
}

// Run simulates load under policy p.
func Run(load Load, p Policy) Result {
	s := newSite(load, p)
	for dataCentre := range max(load.DataCentres.Count, 1) {
		s.arrive(dataCentre, s.start)
	}
	s.runEvents()
	r := s.meter.result(load, p)
	r.BusiestShare, r.LongestGap = s.busiestShare(), s.longestGap()
	r.CrossShare, r.CrossChange = s.crossings.share(load)
	return r
}

const pool = "pool"

// route returns the route of all requests.
func (l Load) route() routetable.Route {
	return routetable.Route{Name: "load", Kind: routetable.Idempotent, Timeout: l.Timeout, LatencyObjective: l.LatencyObjective, MaxAttempts: 2,
		Shares: []routetable.Share{{Pool: pool, Weight: 1}}}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
