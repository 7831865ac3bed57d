package upstream

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/health"
	"github.com/zinnialadder/zinnialadder/pkg/pace"
)

const (
	// loadMaxAge is how long the load that an upstream sent is used. The load changes
	// with each request, tens of times a second.
	loadMaxAge = 500 * time.Millisecond
	// recheckInterval is the minimum time between two checks whether the weights of an
	// upstream have become new enough. A check takes a round trip of a millisecond or
	// two.
	recheckInterval = 100 * time.Millisecond
	// maxRecheckLag is the largest number of versions below the required one at which
	// an upstream is still checked: an engine that loads one version after another is
	// never further behind.
	maxRecheckLag = 2
	// firstEjection is how long an upstream that failed is first ejected. It is short
	// because the platform removes crashed upstreams after three missed heartbeats, and
	// others recover within seconds.
	firstEjection = 400 * time.Millisecond
	// maxEjection limits the doubling of firstEjection, so that an upstream that has
	// recovered is used again within a second or two.
	maxEjection = 2 * time.Second
)

// Registry holds the upstreams of all pools. It is safe for concurrent use.
type Registry struct {
	dataCentre string
	health     *health.Tracker
	tokenTimes *health.TokenTimes   // for pools that are not contended
	pace       *pace.Tracker        // for contended pools
	failures   *health.FailureRates // for contended pools

	loadingPauses atomic.Int64 // see LoadingPauses

	mu          sync.Mutex
	byID        map[string]*upstreamState
	pools       map[string]*pool
	assignments map[string]*assignment // by model
	contended   bool                   // the capacity of all pools is contended
	loadTimes   loadTimes
	paceReports int64             // reports of upstreams' pace so far
	failing     []failingUpstream // see FailureChanges
	memory      memoryState
	slotLimits  map[string]int    // by pool; see SetSlotLimits
	onRelease   func(pool string) // nil for none
}

// pool holds the upstreams of one pool.
type pool struct {
	members     []*upstreamState // sorted by ID
	measured    map[string]bool  // IDs of members whose time per unit has been measured
	paced       []string         // IDs of members whose pace has been observed or reported
	nonDraining *nonDraining     // nil if it must be recomputed
	contended   bool             // an upstream has told the pace of its machine
	others      [2]meanOthers    // requests of other senders, by localityIndex
}

// nonDraining holds the upstreams of a pool that do not drain.
type nonDraining struct {
	ids   []string // sorted
	slots int      // total of all
}

// assignment holds the upstreams assigned to a model.
type assignment struct {
	ids     []string
	members []*upstreamState // registered upstreams among ids; nil if they must be looked up
}

// Changes are changes to the entries of upstreams.
type Changes struct {
	Updated []*Entry // new or changed entries; must not be modified afterwards
	Removed []string // IDs
	// Reset means that Updated holds all entries.
	Reset bool
}

// upstreamState is the state of one upstream. An instance uses a few of the thousands
// of upstreams of a large site, so local state is allocated only for those.
type upstreamState struct {
	*Entry             // never modified; shared with the caller of Apply
	local  *localState // nil until a request is sent to it
}

// localState is what this instance has learned about an upstream by sending requests to
// it.
type localState struct {
	inFlight         int // requests of this process
	tokens           int // of these requests
	otherLoad        int // requests of other senders, by the last load received
	otherLoadAt      time.Time
	busyUntil        time.Time
	singleRequest    bool      // had no free slot at the last attempt, so gets one request at a time
	singleInFlight   bool      // such a request is in flight
	singleAt         time.Time // when that was sent
	versionCheckedAt time.Time // last check whether it still holds an old version
	addressReused    bool      // another upstream has the address
	answeredSentAt   time.Time // when the latest request was sent of those that it has answered
	// oldVersionAt is when the latest request was sent that showed that it had not begun
	// the next load of weights: it accepted the request, or refused it for its version.
	oldVersionAt    time.Time
	oldVersionModel string // model of that request
	// answeredAt is when the latest answer came that showed that. The events of a stream are
	// no answers, since streams go on during a load.
	answeredAt time.Time
	loading    loading
	refusal    versionRefusal
	// observedVersions are the weight versions that responses have shown, by model.
	observedVersions map[string]uint64
}

// zeroLocalState is the local state of upstreams that nothing has been sent to. It is
// never modified.
var zeroLocalState localState

// localOrZero returns s's local state for reading.
func (s *upstreamState) localOrZero() *localState {
	if s.local == nil {
		return &zeroLocalState
	}
	return s.local
}

// ensureLocal returns s's local state for writing, allocating it if needed.
func (s *upstreamState) ensureLocal() *localState {
	if s.local == nil {
		s.local = &localState{}
	}
	return s.local
}

// NewRegistry returns an empty Registry for an instance in dataCentre.
func NewRegistry(dataCentre string) *Registry {
	return &Registry{dataCentre: dataCentre, byID: map[string]*upstreamState{}, pools: map[string]*pool{},
		health:     health.NewTracker(health.Config{FailureThreshold: 2, EjectionTime: firstEjection, MaxEjectionTime: maxEjection}),
		tokenTimes: health.NewTokenTimes(0), pace: pace.New(pace.Config{}), failures: health.NewFailureRates(health.FailureRatesConfig{}),
		memory: memoryState{means: map[string]*tokenMean{}, overtakings: overtakings{}}}
}

// SetContended sets whether the capacity of all pools is contended.
func (r *Registry) SetContended(all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contended = all
}

// SetSlotLimits sets how many slots an upstream of each pool has at most. One whose entry names
// more counts as having that many. Pools that limits does not name, or names with 0, have no limit.
func (r *Registry) SetSlotLimits(limits map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slotLimits = limits
	for _, p := range r.pools {
		p.nonDraining = nil
	}
}

// slots returns how many requests s serves concurrently.
func (r *Registry) slots(s *upstreamState) int {
	if limit := r.slotLimits[s.Pool]; limit > 0 {
		return min(max(s.Slots, 1), limit)
	}
	return max(s.Slots, 1)
}

// OnRelease has f called, without a lock held, after each reservation that ends, with the
// pool of its upstream.
func (r *Registry) OnRelease(f func(pool string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onRelease = f
}

// BusyUntil returns the earliest time after now at which the pause of an upstream of the
// pool ends that had no capacity, and whether there is one.
func (r *Registry) BusyUntil(pool string, now time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var earliest time.Time
	for _, s := range r.members(pool) {
		until := s.localOrZero().busyUntil
		if !s.Draining && until.After(now) && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}

// Contended reports whether the capacity of a pool is contended: its callers may ask for
// more than it serves, or its upstreams share their machines with others, so that what
// they serve changes from moment to moment.
func (r *Registry) Contended(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isContended(pool)
}

// isContended is Contended with r.mu held.
func (r *Registry) isContended(pool string) bool {
	p := r.pools[pool]
	return r.contended || p != nil && p.contended
}

// Set replaces all upstreams by entries.
func (r *Registry) Set(entries []Entry) {
	c := Changes{Reset: true}
	for _, e := range entries {
		c.Updated = append(c.Updated, &e)
	}
	r.Apply(c)
}

// Apply applies changes of entries, at a cost proportional to the changes and not to
// the number of upstreams. It discards the state of an upstream that has restarted
// under the same ID.
func (r *Registry) Apply(c Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Reset {
		r.removeAllExcept(c.Updated)
	}
	for _, id := range c.Removed {
		r.remove(id)
	}
	for _, e := range c.Updated {
		r.put(e)
	}
}

// removeAllExcept removes the upstreams that are not in entries.
func (r *Registry) removeAllExcept(entries []*Entry) {
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
	s := r.byID[e.ID]
	if s != nil && s.SameProcess(*e) {
		if s.Draining != e.Draining || s.Slots != e.Slots {
			r.pools[e.Pool].nonDraining = nil
		}
		s.Entry = e
		r.endLoading(s, time.Time{}) // the entry does not tell when the load ended
		return
	}
	r.remove(e.ID)
	r.health.RecordSuccess(e.ID)
	s = &upstreamState{Entry: e}
	r.byID[e.ID] = s
	p := r.pools[e.Pool]
	if p == nil {
		p = &pool{measured: map[string]bool{}}
		r.pools[e.Pool] = p
	}
	i, _ := p.find(e.ID)
	p.members = slices.Insert(p.members, i, s)
	p.nonDraining = nil
	r.invalidateAssignments()
}

func (r *Registry) remove(id string) {
	s := r.byID[id]
	if s == nil {
		return
	}
	delete(r.byID, id)
	p := r.pools[s.Pool]
	if i, found := p.find(id); found {
		p.members = slices.Delete(p.members, i, i+1)
	}
	p.nonDraining = nil
	delete(p.measured, id)
	if i := slices.Index(p.paced, id); i >= 0 {
		p.paced = slices.Delete(p.paced, i, i+1)
	}
	r.pace.Forget(id)
	r.forgetFailures(s)
	if len(p.members) == 0 {
		delete(r.pools, s.Pool)
	}
	r.invalidateAssignments()
}

// find returns the index of the upstream with the ID in p.members, or where it would be
// inserted, and whether it is there.
func (p *pool) find(id string) (int, bool) {
	return slices.BinarySearchFunc(p.members, id, func(s *upstreamState, id string) int { return strings.Compare(s.ID, id) })
}

// members returns the upstreams of a pool.
func (r *Registry) members(name string) []*upstreamState {
	if p := r.pools[name]; p != nil {
		return p.members
	}
	return nil
}

// invalidateAssignments has the members of all assignments looked up again when next
// needed.
func (r *Registry) invalidateAssignments() {
	for _, a := range r.assignments {
		a.members = nil
	}
}

// SetAssignments sets the IDs of the upstreams assigned to each model. Requests for a
// model go to its assigned upstreams as long as one of them is usable, so that the
// instances that run a model's requests keep connections to few upstreams.
func (r *Registry) SetAssignments(parts map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignments = make(map[string]*assignment, len(parts))
	for model, ids := range parts {
		r.assignments[model] = &assignment{ids: ids}
	}
}

// assigned returns the upstreams of a pool that are assigned to a model.
func (r *Registry) assigned(model, pool string) []*upstreamState {
	a := r.assignments[model]
	if a == nil {
		return nil
	}
	if a.members == nil {
		a.members = make([]*upstreamState, 0, len(a.ids))
		for _, id := range a.ids {
			if s := r.byID[id]; s != nil && s.Pool == pool {
				a.members = append(a.members, s)
			}
		}
	}
	return a.members
}

// Entries returns the upstreams of a pool, sorted by ID. Their weight versions include
// those that responses have shown since the upstreams registered.
func (r *Registry) Entries(pool string) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.members(pool)
	out := make([]Entry, 0, len(states))
	for _, s := range states {
		out = append(out, s.entry())
	}
	return out
}

// Entry returns the upstream with the ID, and whether it is registered.
func (r *Registry) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byID[id]
	if s == nil {
		return Entry{}, false
	}
	return s.entry(), true
}

// NonDraining returns the IDs, sorted, of a pool's upstreams that do not drain, and
// their total number of slots. The caller must not modify the IDs.
func (r *Registry) NonDraining(pool string) (ids []string, slots int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	if p == nil {
		return nil, 0
	}
	if p.nonDraining == nil {
		p.nonDraining = &nonDraining{}
		for _, s := range p.members {
			if !s.Draining {
				p.nonDraining.ids = append(p.nonDraining.ids, s.ID)
				p.nonDraining.slots += r.slots(s)
			}
		}
	}
	return p.nonDraining.ids, p.nonDraining.slots
}

// entry returns s's entry with the weight versions that responses have shown since.
func (s *upstreamState) entry() Entry {
	e := *s.Entry
	e.Versions = s.versions()
	return e
}

// version returns the newest version of a model that s is known to hold.
func (s *upstreamState) version(model string) uint64 {
	return max(s.Versions[model], s.localOrZero().observedVersions[model])
}

// versions returns the newest weight versions that s is known to hold. The map may be
// the entry's own, which is never modified.
func (s *upstreamState) versions() map[string]uint64 {
	var newer map[string]uint64
	for m, n := range s.localOrZero().observedVersions {
		if n <= s.Versions[m] {
			continue
		}
		if newer == nil {
			newer = make(map[string]uint64, len(s.Versions)+1)
			maps.Copy(newer, s.Versions)
		}
		newer[m] = n
	}
	if newer != nil {
		return newer
	}
	return s.Versions
}

// Slots returns how many requests for a model the usable upstreams of a pool run at once:
// those assigned to the model, or all of the pool if none is assigned. An upstream counts
// if it is neither draining nor ejected and holds the required version or is about to
// load it. One that refused its last request counts, as it is used again within moments.
func (r *Registry) Slots(req Requirements) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.members(req.Pool)
	if a := r.assignments[req.Model]; a != nil && len(a.ids) > 0 {
		states = r.assigned(req.Model, req.Pool)
	}
	slots := 0
	for _, s := range states {
		if s.Draining || s.localOrZero().addressReused || !r.health.Usable(s.ID, req.Now) {
			continue
		}
		if v := s.version(req.Model); req.Model == "" || v >= req.MinVersion || req.MinVersion-v <= maxRecheckLag {
			slots += r.slots(s)
		}
	}
	return slots
}

// Reservation is one request's place at an upstream. Its holder calls Done or Release,
// once.
type Reservation struct {
	Entry
	// Alone means that the upstream, whose pool is contended, gets no other request until
	// it has answered this one.
	Alone      bool
	registry   *Registry
	state      *upstreamState
	acquiredAt time.Time
	model      string // model of the request; empty for none
	minVersion uint64 // version that the request requires
	maxVersion uint64 // newest version that the request allows; 0 for any
	outdated   bool   // the upstream was believed to be older than that
	memory     memoryUse
	single     bool // this request set singleInFlight and has not been answered
	answered   bool // the upstream has accepted the request
}

// Acquire chooses an upstream for a request and counts the request there. It reports
// false if no upstream is usable now.
func (r *Registry) Acquire(req Requirements) (*Reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	states := r.usableFor(req)
	i := -1
	if r.isContended(req.Pool) {
		usable := states
		states = r.withMemory(usable, req)
		if i = chooseSoonest(r.timedCandidates(states, req), req); i < 0 {
			r.recordNoUpstream(usable, req)
		}
	} else {
		i = Choose(r.candidates(states, req), req)
	}
	if i < 0 {
		return nil, false
	}
	return r.reserve(states[i], req), true
}

// reserve counts a request at s.
func (r *Registry) reserve(s *upstreamState, req Requirements) *Reservation {
	local := s.ensureLocal()
	local.inFlight++
	local.singleInFlight = local.singleRequest || r.mayBeLoading(s, req)
	if local.singleInFlight {
		local.singleAt = req.Now
	}
	if req.Outdated {
		local.versionCheckedAt = req.Now
	}
	r.health.RecordAttempt(s.ID, req.Now)
	return &Reservation{Entry: s.entry(), Alone: local.singleInFlight && r.isContended(s.Pool), single: local.singleInFlight, registry: r, state: s, acquiredAt: req.Now, model: req.Model, minVersion: req.MinVersion, maxVersion: req.MaxVersion, outdated: req.Outdated,
		memory: r.addMemoryUse(s, req)}
}

// usableFor returns the upstreams that may take a request: those assigned to its model
// if any of them is usable.
func (r *Registry) usableFor(req Requirements) []*upstreamState {
	hasAssigned := r.assignments[req.Model] != nil && len(r.assignments[req.Model].ids) > 0
	if !hasAssigned {
		return r.filterUsable(req, r.members(req.Pool))
	}
	usable := r.filterUsable(req, r.assigned(req.Model, req.Pool))
	if len(usable) > 0 || req.Outdated {
		return usable // upstreams of other models do not load this model's versions
	}
	awaited := func(s *upstreamState) bool { return r.awaited(s, req) }
	if r.isContended(req.Pool) && slices.ContainsFunc(r.assigned(req.Model, req.Pool), awaited) {
		return nil
	}
	return r.filterUsable(req, r.members(req.Pool))
}

// filterUsable returns the upstreams among states that may take a request.
func (r *Registry) filterUsable(req Requirements, states []*upstreamState) []*upstreamState {
	out := make([]*upstreamState, 0, len(states))
	for _, s := range states {
		if r.usable(s, req) {
			out = append(out, s)
		}
	}
	return out
}

// candidates converts states, which are in req's pool, to the input of Choose.
func (r *Registry) candidates(states []*upstreamState, req Requirements) []Candidate {
	slowness := r.slowness(req.Pool, req.Now)
	out := make([]Candidate, 0, len(states))
	for _, s := range states {
		out = append(out, Candidate{ID: s.ID, Load: s.load(req.Now), InFlight: s.localOrZero().inFlight, Slots: r.slots(s),
			Slowness: max(slowness[s.ID], 1), Local: s.DataCentre == r.dataCentre})
	}
	return out
}

// slowness returns, by ID, the ratio of an upstream's time per unit of work to the
// usual one in its pool, for upstreams that take longer than usual. All measured
// upstreams of the pool are compared, so that slow ones do not count as usual when all
// usable ones are slow.
func (r *Registry) slowness(pool string, now time.Time) map[string]float64 {
	p := r.pools[pool]
	if p == nil || len(p.measured) == 0 {
		return nil
	}
	ids := make([]string, 0, len(p.measured))
	for id := range p.measured {
		ids = append(ids, id)
	}
	out := map[string]float64{}
	for i, factor := range r.tokenTimes.Slowness(ids, now) {
		if factor > 1 {
			out[ids[i]] = factor
		}
	}
	return out
}

// timedCandidates converts states, which are in req's pool, to the input of
// chooseSoonest. All upstreams of the pool whose pace is known are compared.
func (r *Registry) timedCandidates(states []*upstreamState, req Requirements) []timedCandidate {
	var paced []string
	var others [2]meanOthers
	if p := r.pools[req.Pool]; p != nil {
		paced, others = p.paced, p.others
	}
	estimates := r.pace.Estimates(paced, req.Now)
	usual := pace.Estimate{Lasting: 1, Passing: 1, Error: unknownPaceError}
	if len(estimates) > 0 {
		usual.Unit = time.Duration(float64(estimates[0].Unit) / estimates[0].Lasting)
	}
	out := make([]timedCandidate, 0, len(states))
	for _, s := range states {
		e := usual
		if i, found := slices.BinarySearch(paced, s.ID); found {
			e = estimates[i]
		}
		local := s.localOrZero()
		out = append(out, timedCandidate{
			Candidate: Candidate{ID: s.ID, Load: s.load(req.Now), InFlight: local.inFlight, Slots: r.slots(s), Local: s.DataCentre == r.dataCentre},
			Estimate:  e, hold: r.pace.Hold(), expectedLoad: s.expectedLoad(others[r.localityIndex(s)], r.slots(s), req.Now), refused: local.singleRequest, failureRate: r.failures.Rate(s.ID, req.Now), loadAge: s.loadAge(req.Now)})
	}
	return out
}

// usable reports whether s may take a request.
func (r *Registry) usable(s *upstreamState, req Requirements) bool {
	return !s.localOrZero().singleInFlight && r.eligible(s, req)
}

// awaited reports whether s may take a request as soon as it has answered the only one
// that it may have, which it was sent moments ago.
func (r *Registry) awaited(s *upstreamState, req Requirements) bool {
	local := s.localOrZero()
	return local.singleInFlight && req.Now.Sub(local.singleAt) < loadRetryInterval && r.eligible(s, req)
}

// eligible reports whether s may take a request unless another must be answered first.
func (r *Registry) eligible(s *upstreamState, req Requirements) bool {
	local := s.localOrZero()
	if req.Now.Before(local.busyUntil) || !r.suitable(s, req) {
		return false
	}
	return req.Model == "" || !req.Outdated || req.Now.Sub(local.versionCheckedAt) >= recheckInterval && r.mayHaveLoaded(s, req)
}

// suitable reports whether s may take a request whenever it has capacity.
func (r *Registry) suitable(s *upstreamState, req Requirements) bool {
	local := s.localOrZero()
	if s.Draining || local.addressReused || local.refusal.covers(req) || slices.Contains(req.Exclude, s.ID) || !r.health.Usable(s.ID, req.Now) {
		return false
	}
	if req.Model == "" {
		return true
	}
	v := s.version(req.Model)
	if req.Outdated {
		return v < req.MinVersion && req.MinVersion-v <= maxRecheckLag
	}
	return v >= req.MinVersion && (req.MaxVersion == 0 || v <= req.MaxVersion)
}

// SuitableSoon reports whether an upstream of the pool may take a request as soon as it has
// capacity. One that is known to load a newer version than the request allows will not.
func (r *Registry) SuitableSoon(req Requirements) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.members(req.Pool), func(s *upstreamState) bool {
		return r.suitable(s, req) && !s.localOrZero().loading.leads(req)
	})
}

// load returns the estimated number of requests at s.
func (s *upstreamState) load(now time.Time) int {
	local := s.localOrZero()
	if now.Sub(local.otherLoadAt) > loadMaxAge {
		return local.inFlight
	}
	return local.inFlight + local.otherLoad
}

// Done ends the reservation and records how the request went.
func (rsv *Reservation) Done(result AttemptResult) {
	r := rsv.registry
	r.mu.Lock()
	rsv.removeFromLoad(true)
	r.record(rsv, result)
	r.recordFailure(rsv, result)
	released := r.onRelease
	r.mu.Unlock()
	if released != nil {
		released(rsv.Pool)
	}
}

// Release ends a reservation whose request was not sent.
func (rsv *Reservation) Release() {
	r := rsv.registry
	r.mu.Lock()
	rsv.removeFromLoad(false)
	r.endSingle(rsv)
	released := r.onRelease
	r.mu.Unlock()
	if released != nil {
		released(rsv.Pool)
	}
}

// endSingle records that rsv's request has been answered or has ended. Until the one that
// may be the only one at its upstream has, events and ends of earlier ones show nothing
// where engines that load go on with their streams.
func (r *Registry) endSingle(rsv *Reservation) {
	if rsv.single || !r.isContended(rsv.Pool) || rsv.model == "" {
		rsv.state.ensureLocal().singleInFlight = false
	}
	rsv.single = false
}

// FasterAvailable reports whether the reserved upstream is at least factor times
// slower than usual, while another that may take its request, req, is not and has a free slot.
func (rsv *Reservation) FasterAvailable(req Requirements, factor float64) bool {
	r := rsv.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.slowness(rsv.Pool, req.Now)[rsv.ID] < factor {
		return false
	}
	return slices.ContainsFunc(r.candidates(r.usableFor(req), req), func(c Candidate) bool {
		return c.ID != rsv.ID && c.Slowness < factor && c.Load < c.Slots
	})
}

// AcquireSooner reserves an upstream at which the rest of the reserved request, which is
// described by req, is expected to end clearly sooner, although it first takes overhead
// to continue there. It reports false if there is none with a free slot, or if the pool
// is not contended. The check and the reservation are one step, so that many requests
// that look for another upstream at once do not all take the same slot.
func (rsv *Reservation) AcquireSooner(req Requirements, overhead time.Duration) (*Reservation, bool) {
	r := rsv.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isContended(rsv.Pool) || r.byID[rsv.ID] != rsv.state {
		return nil, false
	}
	here := r.timedCandidates([]*upstreamState{rsv.state}, req)[0]
	states := r.withMemory(r.usableFor(req), req)
	i := chooseMove(here, r.timedCandidates(states, req), req, overhead)
	if i < 0 {
		return nil, false
	}
	return r.reserve(states[i], req), true
}

// PaceReports returns how many reports of the pace of upstreams' machines were used.
func (r *Registry) PaceReports() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paceReports
}

// Observe records an observation while the request is in flight.
func (rsv *Reservation) Observe(result AttemptResult) {
	rsv.registry.mu.Lock()
	defer rsv.registry.mu.Unlock()
	rsv.registry.record(rsv, result)
}

func (r *Registry) record(rsv *Reservation, result AttemptResult) {
	s := rsv.state
	local := s.ensureLocal()
	// The load in a stream's header has been recorded when the stream began.
	old := r.isContended(s.Pool) && !result.LoadAt.IsZero() && result.LoadAt.Before(result.At)
	if result.Load != nil && !old {
		local.otherLoad = max(0, result.Load.Running+result.Load.Queued-local.inFlight)
		local.otherLoadAt = result.At
		if p := r.pools[s.Pool]; p != nil {
			p.contended = p.contended || result.Load.Pace > 0
			p.others[r.localityIndex(s)].observe(float64(local.otherLoad)/float64(r.slots(s)), result.At)
		}
	}
	r.recordPace(s, result)
	local.addressReused = local.addressReused || result.AddressReused
	for m, v := range result.Versions {
		if local.observedVersions == nil {
			local.observedVersions = map[string]uint64{}
		}
		local.observedVersions[m] = max(local.observedVersions[m], v)
	}
	r.recordAvailability(rsv, result)
	if result.TimePerUnit > 0 {
		r.tokenTimes.Observe(s.ID, result.TimePerUnit, result.At)
		if p := r.pools[s.Pool]; p != nil && r.byID[s.ID] == s {
			p.measured[s.ID] = true
		}
	}
	switch {
	case result.Superseded, result.Cancelled && !result.responded():
	case result.TimedOut && rsv.acquiredAt.Before(local.answeredSentAt):
		// It answers. Requests that were sent together and time out together would eject it,
		// though what held them up may be this instance or their own work.
	case result.Failed || result.Unreachable:
		r.health.RecordFailure(s.ID, result.At, result.Unreachable)
	case !result.Busy && !result.AddressReused && !result.VersionRefused:
		r.health.RecordSuccess(s.ID)
		if rsv.acquiredAt.After(local.answeredSentAt) {
			local.answeredSentAt = rsv.acquiredAt
		}
	}
}

// recordAvailability records what a result tells about when the upstream takes requests.
func (r *Registry) recordAvailability(rsv *Reservation, result AttemptResult) {
	local := rsv.state.ensureLocal()
	contended := r.isContended(rsv.Pool) && rsv.model != ""
	r.endSingle(rsv)
	if contended && !local.loading.refusedAt.IsZero() && rsv.acquiredAt.Before(local.loading.refusedAt) {
		// The request was sent before the load was noticed. While an engine loads, its
		// streams go on, so they do not show that it accepts requests.
		r.endLoading(rsv.state, result.At)
		return
	}
	if result.VersionRefused && !rsv.outdated && rsv.maxVersion != 0 {
		local.refusal = versionRefusal{model: rsv.model, version: rsv.maxVersion, until: result.At.Add(versionRefusalTime)}
	}
	switch {
	case contended && (result.Busy && result.Loading || result.VersionRefused && rsv.outdated):
		r.recordLoading(rsv, result)
		return
	case result.Busy:
		local.busyUntil, local.singleRequest = result.BusyUntil, true
	case !result.VersionRefused && !result.Superseded:
		local.singleRequest = false
	}
	refused := result.Busy || result.VersionRefused || result.Failed || result.Unreachable || result.AddressReused
	if contended && !refused && result.responded() { // else it was cancelled
		r.recordAccepted(rsv, result.At)
	}
}

// recordPace records what result tells of the pace of s, if its pool is contended. The
// report comes first: it was made while the request ran, whose time it explains.
func (r *Registry) recordPace(s *upstreamState, result AttemptResult) {
	p := r.pools[s.Pool]
	if !r.isContended(s.Pool) || p == nil || r.byID[s.ID] != s {
		return
	}
	reported := result.Load != nil && result.Load.Pace > 0
	if reported {
		at := result.LoadAt
		if at.IsZero() {
			at = result.At
		}
		if r.pace.Report(s.ID, result.Load.Pace, at) {
			r.paceReports++
		}
	}
	took := result.TimePerUnit
	if result.Failed {
		took = 0 // an upstream that fails requests at once would seem to be fast
	}
	r.pace.Observe(s.ID, took, result.At)
	if i, found := slices.BinarySearch(p.paced, s.ID); !found && (reported || took > 0) {
		p.paced = slices.Insert(p.paced, i, s.ID)
	}
}
