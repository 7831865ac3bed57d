package loadsim

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// callSigma is the standard deviation of the logarithm of the service times of a Load with
// LogNormal.
const callSigma = 0.6

// errTimeout is the error of an attempt without an answer by its deadline.
var errTimeout = errors.New("loadsim: no answer by the deadline of the attempt")

// job is an attempt at an upstream. answer is called once: when the request has run,
// or when it is refused or dropped from the queue, with ran false.
type job struct {
	until   time.Time // deadline of the attempt; a queued job is dropped after it
	running bool
	failed  bool // answered with an error
	answer  func(now time.Time, load upstream.Load, ran bool)
}

// cancel ends a job whose sender has closed the connection.
func (s *server) cancel(now time.Time, j *job) {
	s.queued = slices.DeleteFunc(s.queued, func(o *job) bool { return o == j })
	if j.running {
		s.stop(now, j)
	}
}

// stop frees the slot of a job.
func (s *server) stop(now time.Time, j *job) {
	j.running = false
	s.running--
	s.next(now)
}

// server is an upstream: it runs requests in its slots, queues some, and refuses the
// rest.
type server struct {
	site        *site
	id          string
	hasOutage   bool // accepts no connection during the load's outage
	slow        bool
	failing     bool          // answers some requests with an error
	arrivedAt   time.Time     // last arrival of an attempt
	longestGap  time.Duration // longest time between two arrivals
	coming      int           // attempts that have been sent and not arrived
	running     int
	queued      []*job
	pendingCost time.Duration // cost of attempts, to be added to the next job's time
	work        time.Duration // usual time of the jobs run so far
	dataCentre  int
}

// unreachable reports whether the upstream accepts no connection at now.
func (s *server) unreachable(now time.Time) bool {
	l, after := s.site.load, now.Sub(s.site.start)
	return s.hasOutage && after >= l.OutageStart && after < l.OutageStart+l.OutageDuration
}

// slowness returns how long work takes in the upstream's data centre relative to the usual.
func (s *server) slowness(now time.Time) float64 {
	return s.site.load.DataCentres.slowness(s.dataCentre, now.Sub(s.site.start))
}

// load returns the load that the upstream reports with an answer.
func (s *server) load(now time.Time) upstream.Load {
	l := upstream.Load{Running: s.running, Queued: len(s.queued), Slots: s.site.load.Slots}
	if s.site.policy.Contended {
		l.Pace = s.site.machines.passing(s.id, now) * s.slowness(now)
	}
	return l
}

// accept runs, queues or refuses an attempt that arrives at now.
func (s *server) accept(now time.Time, j *job) {
	s.pendingCost += attemptCost
	s.longestGap, s.arrivedAt = max(s.longestGap, now.Sub(s.arrivedAt)), now
	switch l := s.site.load; {
	case s.running < l.Slots:
		s.run(now, j)
	case len(s.queued) < l.QueueLimit:
		s.queued = append(s.queued, j)
	default:
		j.answer(now, s.load(now), false)
	}
}

// run runs j in a free slot.
func (s *server) run(now time.Time, j *job) {
	s.running++
	j.running = true
	work := s.serviceTime() + s.pendingCost
	if j.failed = s.failing && s.site.rand.Float64() < s.site.load.FailureShare; j.failed {
		work = time.Duration(s.site.load.FailureTime * float64(work))
	}
	s.work += work
	work = time.Duration(s.site.machines.pace(s.id, now) * s.slowness(now) * float64(work))
	if s.slow {
		work = time.Duration(s.site.load.SlowFactor * float64(work))
	}
	s.pendingCost = 0
	s.site.schedule(now.Add(work), func(now time.Time) {
		if !j.running {
			return
		}
		load := s.load(now)
		load.Running--
		j.answer(now, load, true)
		s.stop(now, j)
	})
}

// serviceTime returns the usual time of a job.
func (s *server) serviceTime() time.Duration {
	l := s.site.load
	var factor float64
	if l.LogNormal {
		factor = math.Exp(callSigma*s.site.rand.NormFloat64()-callSigma*callSigma/2) / (1 + l.LongShare*(l.LongFactor-1))
	} else {
		factor = s.site.rand.ExpFloat64()
	}
	if l.LongShare > 0 && s.site.rand.Float64() < l.LongShare {
		factor *= l.LongFactor
	}
	return time.Duration(factor * float64(l.ServiceTime))
}

// next runs the first queued job whose deadline has not passed, and drops those
// before it.
func (s *server) next(now time.Time) {
	for len(s.queued) > 0 {
		j := s.queued[0]
		s.queued = s.queued[1:]
		if now.Before(j.until) {
			s.run(now, j)
			return
		}
		j.answer(now, s.load(now), false)
	}
}
