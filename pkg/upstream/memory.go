package upstream

import (
	"errors"
	"maps"
	"math"
	"time"
)

const (
	// memoryShare is the share of an upstream's memory up to which it is sent requests.
	// Texts that exceed their expected length take up the rest.
	memoryShare = 0.95
	// hintMargin is how many times its length hint a text is expected to take up at most.
	// About half of the hints are off by a factor of 1.6 or more either way.
	hintMargin = 1.5
	// meanWindow is the number of requests over which their mean use of memory is taken.
	meanWindow = 64
	// maxOvertakings is how many requests an upstream takes in a row that go ahead of
	// the first one that waits for memory there.
	maxOvertakings = 3
	// maxHold is how long an upstream is then kept free for it, and again after each
	// further one that goes ahead. It is short compared to a text of seconds, because the
	// slots and the memory that are free stay unused.
	maxHold = time.Second
	// drainTime is how long an upstream takes, besides, only requests of up to half of the
	// memory that has become free since it took the last one. What is in use there thus
	// shrinks, and the waiting request fits at the latest when those that were in flight
	// have ended; the longest texts take 7.1 s. Being kept free for a second at a time
	// does not suffice: at an engine with 6 slots and memory for 62,540 tokens, texts of
	// 9,500 tokens take 5 s, and one of them a second never leaves room for 14,000.
	drainTime = 8 * time.Second
)

// ErrTooLarge means that a request may take up more memory than any upstream of its pool
// has.
var ErrTooLarge = errors.New("upstream: request larger than the memory of its pool's upstreams")

// TokenUse is what a request may take up of an upstream's memory, in tokens. Its zero
// value means that this is not known.
type TokenUse struct {
	Prompt int `json:"prompt,omitempty"`
	Output int `json:"output,omitempty"` // most that is generated
}

// Total returns the most that the request may take up.
func (t TokenUse) Total() int { return t.Prompt + t.Output }

// Expected returns what the request is expected to take up, given the sender's estimate of
// the length of its text, 0 for none.
func (t TokenUse) Expected(hint int) int {
	if hint <= 0 {
		return t.Total()
	}
	return t.Prompt + int(min(float64(t.Output), hintMargin*float64(hint)))
}

// memoryRoom returns how many tokens a request may have that is sent to an upstream with
// the given memory, where this instance's requests in flight take up own tokens and there
// are others of mean size. It may be negative.
func memoryRoom(memory, own, others int, mean float64) int {
	return int(memoryShare*float64(memory) - float64(own) - float64(others)*mean)
}

// tokenMean is the mean use of memory of recent requests.
type tokenMean struct {
	mean float64
	n    int
}

func (m *tokenMean) observe(tokens int) {
	m.n = min(m.n+1, meanWindow)
	m.mean += (float64(tokens) - m.mean) / float64(m.n)
}

// overtakings tracks the requests that are the first of those that wait and find no
// memory, by request, so that smaller requests do not go ahead of them forever.
type overtakings map[string]*overtaken

type overtaken struct {
	since     time.Time                // when the request began to wait
	expires   time.Time                // when the request is no longer taken to wait
	counted   bool                     // MemoryRefusals counts the request
	upstreams map[string]*overtakingAt // that had too little memory for it or were kept free, by ID
}

type overtakingAt struct {
	expires    time.Time // when the request is no longer taken to wait for this upstream
	times      int       // requests that it took ahead of the waiting one
	heldUntil  time.Time // until when it takes no others
	drainUntil time.Time // until when it takes only smaller ones than have ended; see drainTime
	ended      int       // tokens of the requests that have ended since it took the last one
}

// waits records that a request waits for memory at upstreams, and returns what is known of
// it, or nil if it does not wait. It goes on waiting at those where it did before if they
// are still usable for it. Others, such as those that have been assigned to another model,
// are not kept free for it for longer than maxHold.
func (o overtakings) waits(request string, upstreams []string, usable []*upstreamState, now time.Time) *overtaken {
	w := o[request]
	if w == nil {
		if len(upstreams) == 0 {
			return nil
		}
		w = &overtaken{since: now, upstreams: map[string]*overtakingAt{}}
		o[request] = w
	}
	w.expires = now.Add(maxHold)
	for _, id := range upstreams {
		if w.upstreams[id] == nil {
			w.upstreams[id] = &overtakingAt{}
		}
	}
	for _, s := range usable {
		if at := w.upstreams[s.ID]; at != nil {
			at.expires = w.expires
		}
	}
	return w
}

// overtaking is a request that an upstream took ahead of a waiting one.
type overtaking struct {
	at            *overtakingAt
	before, after overtakingAt // at, before and after it
}

// took records that an upstream took a request, and returns which waiting ones that went
// ahead of; request is empty if it is not the first of those that wait.
func (o overtakings) took(upstream, request string, now time.Time) []overtaking {
	if len(o) == 0 {
		return nil
	}
	delete(o, request)
	maps.DeleteFunc(o, func(_ string, w *overtaken) bool { return !now.Before(w.expires) })
	var out []overtaking
	for _, w := range o {
		at := w.upstreams[upstream]
		if at == nil {
			continue
		}
		if !now.Before(at.expires) {
			delete(w.upstreams, upstream)
			continue
		}
		before := *at
		at.ended = 0
		if at.times >= maxOvertakings && !now.Before(at.drainUntil) {
			at.times = 0 // it may be requests of others that leave no room
		}
		if at.times++; at.times == maxOvertakings {
			at.drainUntil = now.Add(drainTime)
		}
		if at.times >= maxOvertakings {
			at.heldUntil = now.Add(maxHold)
		}
		out = append(out, overtaking{at, before, *at})
	}
	return out
}

// undo removes the overtaking, because its request was not sent.
func (o overtaking) undo() {
	at := o.at
	if at.times == o.after.times && at.heldUntil.Equal(o.after.heldUntil) { // it was the last one
		at.times, at.heldUntil, at.drainUntil = o.before.times, o.before.heldUntil, o.before.drainUntil
		at.ended += o.before.ended
		return
	}
	if at.times = max(at.times-1, 0); at.times < maxOvertakings {
		at.heldUntil, at.drainUntil = time.Time{}, time.Time{}
	}
}

// ended records that a request has ended at an upstream.
func (o overtakings) ended(upstream string, tokens int) {
	for _, w := range o {
		if at := w.upstreams[upstream]; at != nil {
			at.ended += tokens
		}
	}
}

// room returns how many tokens a request may have that an upstream takes ahead of another,
// if the upstream has as many for any. It is negative if the upstream is kept free. A
// request that waits is not held up by those that have waited for less time: two that fit
// would otherwise keep the upstream free from each other.
func (o overtakings) room(upstream, request string, most int, now time.Time) int {
	own := o[request]
	for other, w := range o {
		at := w.upstreams[upstream]
		if at == nil || other == request || !now.Before(at.expires) {
			continue
		}
		if own != nil && now.Before(own.expires) && (own.since.Before(w.since) || own.since.Equal(w.since) && request < other) {
			continue
		}
		switch {
		case now.Before(at.heldUntil):
			return -1
		case at.times >= maxOvertakings && now.Before(at.drainUntil):
			most = min(most, at.ended/2)
		}
	}
	return most
}

// memoryState is what a Registry knows of the memory of upstreams and its use. It is
// guarded by Registry.mu.
type memoryState struct {
	tokens      map[string]int        // memory of each upstream, in tokens, by pool
	means       map[string]*tokenMean // by pool
	overtakings overtakings
	refusals    int64
}

// SetMemory sets the memory of the upstreams of each pool, in tokens. In contended pools,
// an upstream is then sent only requests that fit into it. Pools that are left out have
// no limit. The map must not be modified afterwards.
func (r *Registry) SetMemory(tokens map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.tokens = tokens
}

// TooLarge reports whether a request that may take up the given number of tokens fits into
// no upstream of a contended pool, whatever else runs there.
func (r *Registry) TooLarge(pool string, tokens int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	memory := r.limitedMemory(pool)
	return memory > 0 && tokens > memory
}

// MemoryRefusals returns how many times a request found upstreams with free slots and none
// of them with enough memory. Upstreams that are kept free for another request do not count
// as ones without memory. Of requests that wait for free slots, it counts the first ones
// only (Requirements.First), once each.
func (r *Registry) MemoryRefusals() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.refusals
}

// MemoryRoom reports whether a request that found no upstream lacks only memory, or an
// upstream that is not kept free for another request, and how many tokens it may have to fit.
func (r *Registry) MemoryRoom(req Requirements) (tokens int, lacking bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limitedMemory(req.Pool) == 0 {
		return 0, false
	}
	l := r.lackMemory(r.usableFor(req), req)
	return l.room, len(l.upstreams) > 0
}

// MemoryLimited reports whether requests must fit into the memory of a pool's upstreams.
func (r *Registry) MemoryLimited(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limitedMemory(pool) > 0
}

// limitedMemory returns the memory of each upstream of a pool if requests must fit into
// it, and otherwise 0.
func (r *Registry) limitedMemory(pool string) int {
	if !r.isContended(pool) {
		return 0
	}
	return r.memory.tokens[pool]
}

// roomAt returns how many tokens a request may have that is sent to s, which has the given
// memory. It is negative if s is kept free for another request.
func (r *Registry) roomAt(s *upstreamState, memory int, req Requirements) int {
	return r.memory.overtakings.room(s.ID, req.First, r.freeMemory(s, memory, req.Now), req.Now)
}

// freeMemory returns how many tokens fit into the memory of s, which has the given size. A
// request may exceed the memory if it is the only one.
func (r *Registry) freeMemory(s *upstreamState, memory int, now time.Time) int {
	local, load := s.localOrZero(), s.load(now)
	if load == 0 {
		return math.MaxInt
	}
	mean := 0.0
	if m := r.memory.means[s.Pool]; m != nil {
		mean = m.mean
	}
	return max(memoryRoom(memory, local.tokens, load-local.inFlight, mean), 0)
}

// withMemory returns the upstreams among states that have the memory for a request.
func (r *Registry) withMemory(states []*upstreamState, req Requirements) []*upstreamState {
	memory := r.limitedMemory(req.Pool)
	if memory == 0 {
		return states
	}
	out := make([]*upstreamState, 0, len(states))
	for _, s := range states {
		if req.Tokens <= r.roomAt(s, memory, req) {
			out = append(out, s)
		}
	}
	return out
}

// memoryLack tells which upstreams do not take a request for lack of room.
type memoryLack struct {
	upstreams []string // IDs of those that would take it if they had room for it
	room      int      // most tokens that it may have to fit at one of them
	keptFree  bool     // one of them has the memory, but is kept free for another request
}

// noMemory reports whether the request would have been sent if there were more memory.
func (l memoryLack) noMemory() bool { return len(l.upstreams) > 0 && !l.keptFree }

// lackMemory returns which upstreams among states do not take a request for lack of room.
func (r *Registry) lackMemory(states []*upstreamState, req Requirements) memoryLack {
	var l memoryLack
	memory := r.limitedMemory(req.Pool)
	if memory == 0 || req.Tokens == 0 {
		return l
	}
	for _, s := range states {
		room := r.roomAt(s, memory, req)
		c := Candidate{Load: s.load(req.Now), InFlight: s.localOrZero().inFlight, Slots: r.slots(s)}
		if req.Tokens > room && !c.full(req) {
			l.upstreams, l.room = append(l.upstreams, s.ID), max(l.room, room)
			l.keptFree = l.keptFree || req.Tokens <= r.freeMemory(s, memory, req.Now)
		}
	}
	return l
}

// recordNoUpstream records that a request found none of the usable upstreams, states, with
// room for it.
func (r *Registry) recordNoUpstream(states []*upstreamState, req Requirements) {
	if req.Outdated {
		return // the request has been recorded without it
	}
	l := r.lackMemory(states, req)
	switch {
	case req.First != "":
		if w := r.memory.overtakings.waits(req.First, l.upstreams, states, req.Now); w != nil && l.noMemory() && !w.counted {
			w.counted = true
			r.memory.refusals++
		}
	case l.noMemory() && !req.NeedFreeSlot:
		r.memory.refusals++
	}
}

// memoryUse is what a request counts as among those that use and wait for memory.
type memoryUse struct {
	tokens   int
	overtook []overtaking
}

// addMemoryUse counts a request that is sent to s, and returns as what. One whose use of
// memory is not known counts as a mean one.
func (r *Registry) addMemoryUse(s *upstreamState, req Requirements) memoryUse {
	tokens, m := req.Tokens, r.memory.means[s.Pool]
	switch {
	case tokens > 0 && m == nil:
		m = &tokenMean{}
		r.memory.means[s.Pool] = m
		fallthrough
	case tokens > 0:
		m.observe(tokens)
	case m != nil:
		tokens = int(m.mean)
	}
	s.ensureLocal().tokens += tokens
	return memoryUse{tokens, r.memory.overtakings.took(s.ID, req.First, req.Now)}
}

// removeFromLoad ends the counting of rsv's request at its upstream. sent tells whether it
// was sent.
func (rsv *Reservation) removeFromLoad(sent bool) {
	local := rsv.state.ensureLocal()
	local.inFlight--
	local.tokens -= rsv.memory.tokens
	if sent {
		rsv.registry.memory.overtakings.ended(rsv.ID, rsv.memory.tokens)
		return
	}
	for _, o := range rsv.memory.overtook {
		o.undo()
	}
}
