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
	paces      *health.TokenTimes

	mu    sync.Mutex
	byID  map[string]*known
	pools map[string]*pool
	parts map[string]*part // by model
}

// pool is the upstreams of one pool.
type pool struct {
	members []*known        // in order of ID
	paced   map[string]bool // IDs of those of which a pace has been observed
	staying *staying        // nil if it is to be worked out
}

// staying is the upstreams of a pool that do not leave.
type staying struct {
	ids   []string // in order
	slots int      // of all
}

// part is the upstreams that a model is dealt.
type part struct {
	ids     []string
	members []*known // of ids, those that there are; nil if they are to be looked up
}

// Changes are what became of upstreams' entries.
type Changes struct {
	Updated []*Entry // new, or changed; not changed any more
	Removed []string // IDs
	// Reset means that Put holds all entries.
	Reset bool
}

// known is one upstream. Of the thousands of a large site an instance uses a few, and
// has nothing to keep of the others.
type known struct {
	*Entry        // not changed; shared with who told it
	use    *usage // nil while nothing has been sent to it
}

// usage is what an instance knows of an upstream that it has sent requests to.
type usage struct {
	inFlight  int // of this process
	others    int // requests of others, when last told
	othersAt  time.Time
	busyUntil time.Time
	doubted   bool      // it had no room when last asked, and is asked by one request at a time
	asking    bool      // such a request is under way
	askedAt   time.Time // whether it still holds an old version
	gone      bool      // another upstream has its address
	// confirmed are the versions that answers have shown, by model.
	confirmed map[string]uint64
}

// unused is the usage of upstreams that nothing has been sent to. It is not changed.
var unused usage

// seen returns what is known of k, not to be changed.
func (k *known) seen() *usage {
	if k.use == nil {
		return &unused
	}
	return k.use
}

// used returns what is known of k, to be changed.
func (k *known) used() *usage {
	if k.use == nil {
		k.use = &usage{}
	}
	return k.use
}

// NewRegistry returns an empty Registry of an instance in dataCentre.
func NewRegistry(dataCentre string) *Registry {
	return &Registry{dataCentre: dataCentre, byID: map[string]*known{}, pools: map[string]*pool{},
		health: health.NewTracker(health.Config{FailureThreshold: 2, EjectionTime: firstEjection, MaxEjectionTime: maxEjection}),
		paces:  health.NewTokenTimes(0)}
}

// Set replaces the upstreams by entries.
func (r *Registry) Set(entries []Entry) {
	c := Changes{Reset: true}
	for _, e := range entries {
		c.Updated = append(c.Updated, &e)
	}
	r.Apply(c)
}

// Apply takes up changes of entries, at a cost that grows with them and not with
// the upstreams that there are. What is known of one that has started again under its
// ID is forgotten.
func (r *Registry) Apply(c Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Reset {
		r.keepOnly(c.Updated)
	}
	for _, id := range c.Removed {
		r.remove(id)
	}
	for _, e := range c.Updated {
		r.put(e)
	}
}

// keepOnly removes the upstreams that are not among entries.
func (r *Registry) keepOnly(entries []*Entry) {
	kept := make(map[string]bool, len(entries))
	for _, e := range entries {
		kept[e.ID] = true
	}
	for id := range r.byID {
		if !kept[id] {
			r.remove(id)
		}
	}
}

func (r *Registry) put(e *Entry) {
	k := r.byID[e.ID]
	if k != nil && k.SameProcess(*e) {
		if k.Draining != e.Draining || k.Slots != e.Slots {
			r.pools[e.Pool].staying = nil
		}
		k.Entry = e
		return
	}
	r.remove(e.ID)
	r.health.RecordSuccess(e.ID)
	k = &known{Entry: e}
	r.byID[e.ID] = k
	p := r.pools[e.Pool]
	if p == nil {
		p = &pool{paced: map[string]bool{}}
		r.pools[e.Pool] = p
	}
	i, _ := p.find(e.ID)
	p.members = slices.Insert(p.members, i, k)
	p.staying = nil
	r.forgetMembers()
}

func (r *Registry) remove(id string) {
	k := r.byID[id]
	if k == nil {
		return
	}
	delete(r.byID, id)
	p := r.pools[k.Pool]
	if i, found := p.find(id); found {
		p.members = slices.Delete(p.members, i, i+1)
	}
	p.staying = nil
	delete(p.paced, id)
	if len(p.members) == 0 {
		delete(r.pools, k.Pool)
	}
	r.forgetMembers()
}

// find returns where the upstream with an ID stands among p's members, or would.
func (p *pool) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.members, id, func(k *known, id string) int { return strings.Compare(k.ID, id) })
}

// members returns the upstreams of a pool.
func (r *Registry) members(name string) []*known {
	if p := r.pools[name]; p != nil {
		return p.members
	}
	return nil
}

// forgetMembers has the members of parts looked up again.
func (r *Registry) forgetMembers() {
	for _, p := range r.parts {
		p.members = nil
	}
}

// SetAssignments tells which upstreams each model is dealt, by ID. Requests for a model
// go to its own as long as one of them may take requests at all, so that the
// instances that run a model's requests keep connections to few upstreams.
func (r *Registry) SetAssignments(parts map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts = make(map[string]*part, len(parts))
	for model, ids := range parts {
		r.parts[model] = &part{ids: ids}
	}
}

// dealt returns the upstreams of a pool that a model is dealt.
func (r *Registry) dealt(model, pool string) []*known {
	p := r.parts[model]
	if p == nil {
		return nil
	}
	if p.members == nil {
		p.members = make([]*known, 0, len(p.ids))
		for _, id := range p.ids {
			if k := r.byID[id]; k != nil && k.Pool == pool {
				p.members = append(p.members, k)
			}
		}
	}
	return p.members
}

// Entries returns the upstreams of a pool, in order of ID, with the weight
// versions that answers have shown since they told them.
func (r *Registry) Entries(pool string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	ks := r.members(pool)
	out := make([]Entry, 0, len(ks))
	for _, k := range ks {
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

// NonDraining returns the IDs of a pool's upstreams that do not leave, in order, and
// how many requests they serve at once together. The IDs are not to be changed.
func (r *Registry) NonDraining(pool string) (ids []string, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	if p == nil {
		return nil, 0
	}
	if p.staying == nil {
		p.staying = &staying{}
		for _, k := range p.members {
			if !k.Draining {
				p.staying.ids = append(p.staying.ids, k.ID)
				p.staying.slots += k.Slots
			}
		}
	}
	return p.staying.ids, p.staying.slots
}

// entry returns k's entry with the weight versions that answers have shown since.
func (k *known) entry() Entry {
	e := *k.Entry
	e.Versions = k.versions()
	return e
}

// version returns the newest version of a model that k is known to hold.
func (k *known) version(model string) uint64 {
	return max(k.Versions[model], k.seen().confirmed[model])
}

// versions returns the newest weight versions that k is known to hold. The map
// may be the entry's own, which nobody changes.
func (k *known) versions() map[string]uint64 {
	var newer map[string]uint64
	for m, n := range k.seen().confirmed {
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

// Reservation is one request's place at an upstream. Its holder calls Done once.
type Reservation struct {
	Entry
	registry *Registry
	known    *known
}

// Acquire chooses an upstream for a request and counts it there. It reports
// false if no upstream may take it now.
func (r *Registry) Acquire(w Requirements) (*Reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ks := r.usablePart(w)
	i := Choose(r.candidates(ks, w), w)
	if i < 0 {
		return nil, false
	}
	k := ks[i]
	u := k.used()
	u.inFlight++
	u.asking = u.doubted
	if w.Outdated {
		u.askedAt = w.Now
	}
	r.health.RecordAttempt(k.ID, w.Now)
	return &Reservation{Entry: k.entry(), registry: r, known: k}, true
}

// usablePart returns the upstreams that may take a request: of those that its
// model is dealt if there are any.
func (r *Registry) usablePart(w Requirements) []*known {
	dealt := r.parts[w.Model] != nil && len(r.parts[w.Model].ids) > 0
	if !dealt {
		return r.usableOf(w, r.members(w.Pool))
	}
	own := r.usableOf(w, r.dealt(w.Model, w.Pool))
	if len(own) > 0 || w.Outdated {
		return own // others are not moved to the model's versions
	}
	return r.usableOf(w, r.members(w.Pool))
}

// usableOf returns those of ks that may take a request.
func (r *Registry) usableOf(w Requirements, ks []*known) []*known {
	out := make([]*known, 0, len(ks))
	for _, k := range ks {
		if r.usable(k, w) {
			out = append(out, k)
		}
	}
	return out
}

// candidates returns what Choose is to know of ks, which are of w's pool.
func (r *Registry) candidates(ks []*known, w Requirements) []Candidate {
	slowness := r.slowness(w.Pool, w.Now)
	out := make([]Candidate, 0, len(ks))
	for _, k := range ks {
		out = append(out, Candidate{ID: k.ID, Load: k.load(w.Now), InFlight: k.seen().inFlight, Slots: max(k.Slots, 1),
			Slowness: max(slowness[k.ID], 1), Local: k.DataCentre == r.dataCentre})
	}
	return out
}

// slowness returns, by ID, how many times the usual time the upstreams of a pool
// take, of those that take longer. All whose pace is known are compared, so that those
// that may take a request are not taken for usual when all of them are slow.
func (r *Registry) slowness(pool string, now time.Time) map[string]float64 {
	p := r.pools[pool]
	if p == nil || len(p.paced) == 0 {
		return nil
	}
	ids := make([]string, 0, len(p.paced))
	for id := range p.paced {
		ids = append(ids, id)
	}
	out := map[string]float64{}
	for i, times := range r.paces.Slowness(ids, now) {
		if times > 1 {
			out[ids[i]] = times
		}
	}
	return out
}

func (r *Registry) usable(k *known, w Requirements) bool {
	u := k.seen()
	switch {
	case k.Draining, u.gone, u.asking, w.Now.Before(u.busyUntil), slices.Contains(w.Exclude, k.ID), !r.health.Usable(k.ID, w.Now):
		return false
	case w.Model == "":
		return true
	case w.Outdated:
		v := k.version(w.Model)
		return v < w.MinVersion && v+askWithin >= w.MinVersion && w.Now.Sub(u.askedAt) >= askAgainAfter
	}
	return k.version(w.Model) >= w.MinVersion
}

// load returns how many requests k is believed to hold.
func (k *known) load(now time.Time) int {
	u := k.seen()
	if now.Sub(u.othersAt) > loadBelief {
		return u.inFlight
	}
	return u.inFlight + u.others
}

// Done ends the ticket's request and tells how it went.
func (t *Reservation) Done(rep AttemptResult) {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	t.known.used().inFlight--
	r.learn(t.known, rep)
}

// Release ends a ticket whose request was not sent.
func (t *Reservation) Release() {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	u := t.known.used()
	u.inFlight--
	u.asking = false
}

// FasterAvailable reports whether the ticket's upstream has been from times slower than
// usual, while another that may take its request, w, is not and has a free slot.
func (t *Reservation) FasterAvailable(w Requirements, from float64) bool {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowness(t.Pool, w.Now)[t.ID] < from {
		return false
	}
	return slices.ContainsFunc(r.candidates(r.usablePart(w), w), func(c Candidate) bool {
		return c.ID != t.ID && c.Slowness < from && c.Load < c.Slots
	})
}

// Observe tells what was seen while the ticket's request still runs.
func (t *Reservation) Observe(rep AttemptResult) {
	t.registry.mu.Lock()
	defer t.registry.mu.Unlock()
	t.registry.learn(t.known, rep)
}

func (r *Registry) learn(k *known, rep AttemptResult) {
	u := k.used()
	if rep.Load != nil {
		u.others = max(0, rep.Load.Running+rep.Load.Queued-u.inFlight)
		u.othersAt = rep.At
	}
	u.asking = false
	if rep.Busy {
		u.busyUntil, u.doubted = rep.BusyUntil, true
	} else if !rep.VersionRefused {
		u.doubted = false
	}
	u.gone = u.gone || rep.AddressReused
	for m, v := range rep.Versions {
		if u.confirmed == nil {
			u.confirmed = map[string]uint64{}
		}
		u.confirmed[m] = max(u.confirmed[m], v)
	}
	if rep.TimePerUnit > 0 {
		r.paces.Observe(k.ID, rep.TimePerUnit, rep.At)
		if p := r.pools[k.Pool]; p != nil && r.byID[k.ID] == k {
			p.paced[k.ID] = true
		}
	}
	switch {
	case rep.Failed || rep.Unreachable:
		r.health.RecordFailure(k.ID, rep.At, rep.Unreachable)
	case !rep.Busy && !rep.AddressReused && !rep.VersionRefused:
		r.health.RecordSuccess(k.ID)
	}
}
