package upstream

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/health"
)

const (
	// loadBelief is how long the load that an upstream told is believed. It
	// changes with each request, tens of them a second.
	loadBelief = 500 * time.Millisecond
	// askAgainAfter is how soon an upstream is asked again whether its weights
	// are new enough; it takes a round trip of a millisecond or two.
	askAgainAfter = 100 * time.Millisecond
	// askWithin is how many versions too old an upstream may be believed to be
	// and still be asked: one that is moved from version to version is no further
	// behind.
	askWithin = 2
	// firstEjection is how long an upstream that failed is left alone; short,
	// as the platform removes crashed ones after three of its heartbeats and
	// others recover within seconds.
	firstEjection = 400 * time.Millisecond
	// maxEjection bounds the doubling of firstEjection, so that an upstream
	// that has recovered is used again within a second or two.
	maxEjection = 2 * time.Second
)

// Registry knows the upstreams of all pools. It is safe for concurrent use.
type Registry struct {
	dataCentre string
	health     *health.Tracker
	paces      *health.Paces

	mu    sync.Mutex
	byID  map[string]*known
	pools map[string][]*known // in order of ID
	parts map[string]part     // by model
}

// part is the upstreams that a model is dealt.
type part map[string]bool

// known is one upstream.
type known struct {
	Entry
	inFlight  int // of this process
	others    int // requests of others, when last told
	othersAt  time.Time
	busyUntil time.Time
	doubted   bool      // it had no room when last asked, and is asked by one request at a time
	asking    bool      // such a request is under way
	askedAt   time.Time // whether it still holds an old version
	gone      bool      // another upstream has its address
	confirmed map[string]uint64
}

// NewRegistry returns an empty Registry of an instance in dataCentre.
func NewRegistry(dataCentre string) *Registry {
	return &Registry{dataCentre: dataCentre, byID: map[string]*known{}, pools: map[string][]*known{},
		health: health.NewTracker(health.Config{Failures: 2, EjectFor: firstEjection, MaxEjectFor: maxEjection}),
		paces:  health.NewPaces(0)}
}

// Set replaces the upstreams by entries. What is known of one that has
// started again under its ID is forgotten.
func (r *Registry) Set(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byID := make(map[string]*known, len(entries))
	pools := map[string][]*known{}
	for _, e := range entries {
		k := r.byID[e.ID]
		if k == nil || !k.SameStart(e) {
			k = &known{confirmed: map[string]uint64{}}
			r.health.Succeeded(e.ID)
		}
		k.Entry = e
		byID[e.ID] = k
		pools[e.Pool] = append(pools[e.Pool], k)
	}
	for _, ks := range pools {
		slices.SortFunc(ks, func(a, b *known) int { return strings.Compare(a.ID, b.ID) })
	}
	r.byID, r.pools = byID, pools
}

// SetParts tells which upstreams each model is dealt, by ID. Requests for a model
// go to its own as long as one of them may take requests at all, so that the
// instances that run a model's requests keep connections to few upstreams.
func (r *Registry) SetParts(parts map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = make(map[string]part, len(parts))
	for model, ids := range parts {
		p := make(part, len(ids))
		for _, id := range ids {
			p[id] = true
		}
		r.parts[model] = p
	}
}

// Entries returns the upstreams of a pool, in order of ID, with the weight
// versions that answers have shown since they told them.
func (r *Registry) Entries(pool string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Entry, 0, len(r.pools[pool]))
	for _, k := range r.pools[pool] {
		out = append(out, k.entry())
	}
	return out
}

// Entry returns the upstream with an ID, if it is known.
func (r *Registry) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.byID[id]
	if k == nil {
		return Entry{}, false
	}
	return k.entry(), true
}

// Staying returns the IDs of a pool's upstreams that do not leave, in order, and
// how many requests they serve at once together.
func (r *Registry) Staying(pool string) (ids []string, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.pools[pool] {
		if !k.Draining {
			ids = append(ids, k.ID)
			slots += k.Slots
		}
	}
	return ids, slots
}

// entry returns k's entry with the weight versions that answers have shown since.
func (k *known) entry() Entry {
	e := k.Entry
	e.Versions = k.versions()
	return e
}

// version returns the newest version of a model that k is known to hold.
func (k *known) version(model string) uint64 { return max(k.Versions[model], k.confirmed[model]) }

// versions returns the newest weight versions that k is known to hold. The map
// may be the entry's own, which nobody changes.
func (k *known) versions() map[string]uint64 {
	var newer map[string]uint64
	for m, n := range k.confirmed {
		if n <= k.Versions[m] {
			continue
		}
		if newer == nil {
			newer = make(map[string]uint64, len(k.Versions)+1)
			maps.Copy(newer, k.Versions)
		}
		newer[m] = n
	}
	if newer != nil {
		return newer
	}
	return k.Versions
}

// Ticket is one request's place at an upstream. Its holder calls Done once.
type Ticket struct {
	Entry
	registry *Registry
	known    *known
}

// Acquire chooses an upstream for a request and counts it there. It reports
// false if no upstream may take it now.
func (r *Registry) Acquire(w Want) (*Ticket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ks := r.usablePart(w)
	i := Choose(r.candidates(ks, w), w)
	if i < 0 {
		return nil, false
	}
	k := ks[i]
	k.inFlight++
	k.asking = k.doubted
	if w.Outdated {
		k.askedAt = w.At
	}
	r.health.Trying(k.ID, w.At)
	return &Ticket{Entry: k.entry(), registry: r, known: k}, true
}

// usablePart returns the upstreams that may take a request: of those that its
// model is dealt if there are any.
func (r *Registry) usablePart(w Want) []*known {
	p := r.parts[w.Model]
	if len(p) == 0 {
		return r.usableOf(w, func(*known) bool { return true })
	}
	own := r.usableOf(w, func(k *known) bool { return p[k.ID] })
	if len(own) > 0 || w.Outdated {
		return own // others are not moved to the model's versions
	}
	return r.usableOf(w, func(*known) bool { return true })
}

func (r *Registry) usableOf(w Want, among func(*known) bool) []*known {
	out := make([]*known, 0, len(r.pools[w.Pool]))
	for _, k := range r.pools[w.Pool] {
		if among(k) && r.usable(k, w) {
			out = append(out, k)
		}
	}
	return out
}

// candidates returns what Choose is to know of ks, which are of w's pool.
func (r *Registry) candidates(ks []*known, w Want) []Candidate {
	slowness := r.slowness(w.Pool, w.At)
	out := make([]Candidate, 0, len(ks))
	for _, k := range ks {
		out = append(out, Candidate{ID: k.ID, Load: k.load(w.At), InFlight: k.inFlight, Slots: max(k.Slots, 1),
			Slowness: max(slowness[k.ID], 1), Near: k.DataCentre == r.dataCentre})
	}
	return out
}

// slowness returns, by ID, how many times the usual time the upstreams of a pool
// take, of those that take longer. All of them are compared, so that those that
// may take a request are not taken for usual when all of them are slow.
func (r *Registry) slowness(pool string, now time.Time) map[string]float64 {
	if !r.paces.Any() {
		return nil
	}
	ks := r.pools[pool]
	ids := make([]string, len(ks))
	for i, k := range ks {
		ids[i] = k.ID
	}
	out := map[string]float64{}
	for i, times := range r.paces.Slowness(ids, now) {
		if times > 1 {
			out[ids[i]] = times
		}
	}
	return out
}

func (r *Registry) usable(k *known, w Want) bool {
	switch {
	case k.Draining, k.gone, k.asking, w.At.Before(k.busyUntil), slices.Contains(w.Except, k.ID), !r.health.Usable(k.ID, w.At):
		return false
	case w.Model == "":
		return true
	case w.Outdated:
		v := k.version(w.Model)
		return v < w.MinVersion && v+askWithin >= w.MinVersion && w.At.Sub(k.askedAt) >= askAgainAfter
	}
	return k.version(w.Model) >= w.MinVersion
}

// load returns how many requests k is believed to hold.
func (k *known) load(now time.Time) int {
	if now.Sub(k.othersAt) > loadBelief {
		return k.inFlight
	}
	return k.inFlight + k.others
}

// Done ends the ticket's request and tells how it went.
func (t *Ticket) Done(rep Report) {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	t.known.inFlight--
	r.learn(t.known, rep)
}

// Release ends a ticket whose request was not sent.
func (t *Ticket) Release() {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	t.known.inFlight--
	t.known.asking = false
}

// Better reports whether the ticket's upstream has been from times slower than
// usual, while another that may take its request, w, is not and has a free slot.
func (t *Ticket) Better(w Want, from float64) bool {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowness(t.Pool, w.At)[t.ID] < from {
		return false
	}
	return slices.ContainsFunc(r.candidates(r.usablePart(w), w), func(c Candidate) bool {
		return c.ID != t.ID && c.Slowness < from && c.Load < c.Slots
	})
}

// Observe tells what was seen while the ticket's request still runs.
func (t *Ticket) Observe(rep Report) {
	t.registry.mu.Lock()
	defer t.registry.mu.Unlock()
	t.registry.learn(t.known, rep)
}

func (r *Registry) learn(k *known, rep Report) {
	if rep.Load != nil {
		k.others = max(0, rep.Load.Running+rep.Load.Waiting-k.inFlight)
		k.othersAt = rep.At
	}
	k.asking = false
	if rep.Busy {
		k.busyUntil, k.doubted = rep.BusyUntil, true
	} else if !rep.OtherVersion {
		k.doubted = false
	}
	k.gone = k.gone || rep.Gone
	for m, v := range rep.Versions {
		k.confirmed[m] = max(k.confirmed[m], v)
	}
	if rep.Pace > 0 {
		r.paces.Observe(k.ID, rep.Pace, rep.At)
	}
	switch {
	case rep.Failed || rep.Unreachable:
		r.health.Failed(k.ID, rep.At, rep.Unreachable)
	case !rep.Busy && !rep.Gone && !rep.OtherVersion:
		r.health.Succeeded(k.ID)
	}
}
