package loadsim

import (
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// errTimeout is the error of an attempt without an answer by its deadline.
var errTimeout = errors.New("loadsim: no answer by the deadline of the attempt")

// job is an attempt at an upstream. answer is called once: when the request has run,
// or when it is refused or dropped from the queue, with ran false.
type job struct {
	until  time.Time // deadline of the attempt; a queued job is dropped after it
	answer func(now time.Time, load upstream.Load, ran bool)
}

// server is an upstream: it runs requests in its slots, queues some, and refuses the
// rest.
type server struct {
	site        *site
	hasOutage   bool // accepts no connection during the load's outage
	slow        bool
	running     int
	queued      []*job
	pendingCost time.Duration // cost of attempts, to be added to the next job's time
}

// unreachable reports whether the upstream accepts no connection at now.
func (u *server) unreachable(now time.Time) bool {
	l, after := u.site.load, now.Sub(u.site.start)
	return u.hasOutage && after >= l.OutageStart && after < l.OutageStart+l.OutageDuration
}

// load returns the load that the upstream reports with an answer.
func (u *server) load() upstream.Load {
	return upstream.Load{Running: u.running, Queued: len(u.queued), Slots: u.site.load.Slots}
}

// accept runs, queues or refuses an attempt that arrives at now.
func (u *server) accept(now time.Time, j *job) {
	u.pendingCost += attemptCost
	switch l := u.site.load; {
	case u.running < l.Slots:
		u.run(now, j)
	case len(u.queued) < l.QueueLimit:
		u.queued = append(u.queued, j)
	default:
		j.answer(now, u.load(), false)
	}
}

// run runs j in a free slot.
func (u *server) run(now time.Time, j *job) {
	u.running++
	work := time.Duration(u.site.rand.ExpFloat64()*float64(u.site.load.ServiceTime)) + u.pendingCost
	if u.slow {
		work = time.Duration(u.site.load.SlowFactor * float64(work))
	}
	u.pendingCost = 0
	u.site.schedule(now.Add(work), func(now time.Time) {
		u.running--
		j.answer(now, u.load(), true)
		u.next(now)
	})
}

// next runs the first queued job whose deadline has not passed, and drops those
// before it.
func (u *server) next(now time.Time) {
	for len(u.queued) > 0 {
		j := u.queued[0]
		u.queued = u.queued[1:]
		if now.Before(j.until) {
			u.run(now, j)
			return
		}
		j.answer(now, u.load(), false)
	}
}
