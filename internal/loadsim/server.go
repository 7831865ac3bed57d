package loadsim

import (
	"errors"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// errTimeout ends an attempt that got no answer in its time.
var errTimeout = errors.New("loadsim: no answer in time")

// job is an attempt at an upstream. answer is called once, unless the job is
// still worked on when nobody waits any more.
type job struct {
	until  time.Time // nobody waits after it
	answer func(now time.Time, load upstream.Load, ran bool)
}

// server is an upstream: it serves some requests at once, lets some wait, and
// turns the rest away.
type server struct {
	site    *site
	lost    bool // takes no connection for the time that the load tells
	slow    bool
	running int
	waiting []*job
	owed    time.Duration // that attempts have cost and no job has paid yet
}

// away reports whether the upstream takes no connection at now.
func (u *server) away(now time.Time) bool {
	l, after := u.site.load, now.Sub(u.site.start)
	return u.lost && after >= l.OutageStart && after < l.OutageStart+l.OutageDuration
}

func (u *server) load() upstream.Load {
	return upstream.Load{Running: u.running, Queued: len(u.waiting), Slots: u.site.load.Slots}
}

// take takes an attempt that arrives at now.
func (u *server) take(now time.Time, j *job) {
	u.owed += attemptCost
	switch l := u.site.load; {
	case u.running < l.Slots:
		u.run(now, j)
	case len(u.waiting) < l.QueueLimit:
		u.waiting = append(u.waiting, j)
	default:
		j.answer(now, u.load(), false)
	}
}

func (u *server) run(now time.Time, j *job) {
	u.running++
	work := time.Duration(u.site.rand.ExpFloat64()*float64(u.site.load.ServiceTime)) + u.owed
	if u.slow {
		work = time.Duration(u.site.load.SlowFactor * float64(work))
	}
	u.owed = 0
	u.site.at(now.Add(work), func(now time.Time) {
		u.running--
		j.answer(now, u.load(), true)
		u.next(now)
	})
}

// next runs the first of the waiting jobs that somebody still waits for.
func (u *server) next(now time.Time) {
	for len(u.waiting) > 0 {
		j := u.waiting[0]
		u.waiting = u.waiting[1:]
		if now.Before(j.until) {
			u.run(now, j)
			return
		}
		j.answer(now, u.load(), false)
	}
}
