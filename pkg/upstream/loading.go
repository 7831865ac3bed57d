package upstream

import "time"

const (
	// defaultLoadTime is the least time that an engine that is told to load weights
	// accepts no request. It is used until this instance has seen shorter or longer loads.
	defaultLoadTime = 900 * time.Millisecond
	// minLoadsSeen is the number of loads from which on the shortest of them may count as
	// longer than defaultLoadTime. One alone may have been unusually long.
	minLoadsSeen = 4
	// loadRetryInterval is the interval at which an engine is tried, with one request,
	// once its load can have ended.
	loadRetryInterval = 130 * time.Millisecond
	// versionRefusalTime is how long an engine that refused a request for its version gets
	// no other that allows only that version. Its entry, which says that it holds the
	// version, is corrected within a heartbeat.
	versionRefusalTime = time.Second
	// maxLoadMemory is how long after its last refusal an engine is still taken to be
	// in the same load. It may have ended unnoticed while nothing was sent to the engine.
	maxLoadMemory = 3 * time.Second
)

// FreeSlot reports whether the upstream ran fewer requests than it has slots. One that
// refused a request nevertheless was loading weights.
func (l *Load) FreeSlot() bool { return l != nil && l.Running < l.Slots }

// loading is what this instance knows of the load of weights that an engine is carrying
// out. Its zero value means that the engine is not known to load.
type loading struct {
	refusedAt time.Time // first refusal
	lastAt    time.Time // last refusal
	notBefore time.Time // the load began after this time; zero if unknown
	model     string
	version   uint64 // the load has ended once the engine holds this version
}

// leads reports whether the engine is loading a newer version than a request allows.
func (l loading) leads(req Requirements) bool {
	return req.MaxVersion != 0 && l.model == req.Model && l.version > req.MaxVersion && !l.refusedAt.IsZero() && req.Now.Sub(l.lastAt) <= maxLoadMemory
}

// versionRefusal is an upstream's refusal of a request that allows only one weight version,
// which the upstream's entry says that it holds. Its zero value means that there was none.
type versionRefusal struct {
	model   string
	version uint64
	until   time.Time // when such a request may be tried again
}

// covers reports whether the refusal holds for a request.
func (v versionRefusal) covers(req Requirements) bool {
	return req.MaxVersion != 0 && v.model == req.Model && v.version == req.MaxVersion && req.Now.Before(v.until)
}

// loadTimes holds what this instance has seen of loads of weights.
type loadTimes struct {
	shortest time.Duration // 0 for none
	seen     int           // number of loads whose begin and end were seen
}

// atLeast returns the time that a load is expected to take at least.
func (t loadTimes) atLeast() time.Duration {
	switch {
	case t.shortest == 0:
		return defaultLoadTime
	case t.seen < minLoadsSeen:
		return min(t.shortest, defaultLoadTime)
	}
	return t.shortest
}

// observe records the load l, whose end was seen at a time.
func (t *loadTimes) observe(l loading, endedAt time.Time) {
	took := endedAt.Sub(l.notBefore)
	if l.notBefore.IsZero() || took <= 0 {
		return
	}
	begin, end := l.refusedAt.Sub(l.notBefore), endedAt.Sub(l.lastAt)
	if max(begin, end) <= 2*loadRetryInterval {
		t.seen++
		took -= (begin + end) / 2 // it began and ended within these times
	} else if took >= t.atLeast() {
		return // it may have been much shorter
	}
	if t.shortest == 0 || took < t.shortest {
		t.shortest = took
	}
}

// recordLoading records that the engine refused rsv's request because it was loading
// weights or still had to. The engine is left out until its load can have ended.
func (r *Registry) recordLoading(rsv *Reservation, result AttemptResult) {
	local := rsv.state.ensureLocal()
	if result.VersionRefused {
		local.oldVersionAt, local.oldVersionModel, local.answeredAt = rsv.acquiredAt, rsv.model, result.At
		r.loadingPauses.Add(1)
		return
	}
	l := &local.loading
	if l.refusedAt.IsZero() || result.At.Sub(l.lastAt) > maxLoadMemory || l.model != rsv.model {
		*l = loading{refusedAt: result.At, notBefore: local.oldVersionAt, model: rsv.model, version: max(rsv.state.version(rsv.model)+1, rsv.minVersion)}
	}
	l.lastAt = result.At
	local.busyUntil, local.singleRequest = result.At.Add(loadRetryInterval), true
	if end := l.notBefore.Add(r.loadTimes.atLeast()); end.After(local.busyUntil) {
		local.busyUntil = end
		r.loadingPauses.Add(1)
	}
}

// recordAccepted records that the engine accepted rsv's request, so that it was not
// loading weights when the request was sent. at is the time of its answer, or of a later
// event of its stream.
func (r *Registry) recordAccepted(rsv *Reservation, at time.Time) {
	r.endLoading(rsv.state, rsv.acquiredAt)
	local := rsv.state.ensureLocal()
	local.loading = loading{}
	if !rsv.answered {
		rsv.answered, local.answeredAt = true, at
	}
	if rsv.acquiredAt.After(local.oldVersionAt) {
		local.oldVersionAt, local.oldVersionModel = rsv.acquiredAt, rsv.model
	}
}

// endLoading ends the pause of an engine if it holds the version that it was loading.
// endedAt is when that was seen, zero if unknown.
func (r *Registry) endLoading(s *upstreamState, endedAt time.Time) {
	if s.local == nil {
		return
	}
	l := s.local.loading
	if l.refusedAt.IsZero() || s.version(l.model) < l.version {
		return
	}
	r.loadTimes.observe(l, endedAt)
	s.local.loading, s.local.busyUntil = loading{}, time.Time{}
	s.local.singleRequest, s.local.singleInFlight = false, false
}

// mayBeLoading reports whether an engine may have begun to load a newer version, unnoticed,
// since it last answered this instance. It is sent one request until it has accepted that.
func (r *Registry) mayBeLoading(s *upstreamState, req Requirements) bool {
	return s.version(req.Model) < req.Newest && r.isContended(s.Pool) && req.Now.Sub(s.localOrZero().answeredAt) >= loadRetryInterval
}

// mayHaveLoaded reports whether an engine that held an old version of the requested model
// when it last answered this instance can have loaded a newer one since.
func (r *Registry) mayHaveLoaded(s *upstreamState, req Requirements) bool {
	local := s.localOrZero()
	return local.oldVersionModel != req.Model || !r.isContended(s.Pool) || !req.Now.Before(local.oldVersionAt.Add(r.loadTimes.atLeast()))
}

// LoadingPauses returns how many times an engine that loaded weights, or still had to,
// was left out for longer than the interval at which it is otherwise tried.
func (r *Registry) LoadingPauses() int64 { return r.loadingPauses.Load() }
