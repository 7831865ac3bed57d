package entry

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/catalogue"
	"github.com/zinnialadder/zinnialadder/pkg/engine"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Events reach the control goroutine; reduce turns each into a new state
// and a list of effects.
type event interface{ isEvent() }

type (
	tick          struct{ at time.Time }
	catalogueRead struct {
		revision  uint64 // version of the revision row; 0 if absent
		unchanged bool   // the revision row had not moved; rows not read
		rows      []platform.Row
		at        time.Time
		err       error
	}
	membersRead struct {
		rows []platform.Row
		at   time.Time
		err  error
	}
	heartbeatDone struct {
		l   lease.Lease
		err error
	}
	reportRead struct {
		addr string
		rep  engine.LoadReport
		err  error
	}
	sweepDone struct {
		sent int
		err  error
	}
	drainBegun struct{}
	// hinted is a peer's word that the catalogue changed at revision, or
	// that the peer is draining.
	hinted struct {
		revision uint64
		draining bool
	}
)

func (tick) isEvent()          {}
func (catalogueRead) isEvent() {}
func (membersRead) isEvent()   {}
func (heartbeatDone) isEvent() {}
func (reportRead) isEvent()    {}
func (sweepDone) isEvent()     {}
func (drainBegun) isEvent()    {}
func (hinted) isEvent()        {}

// Effects are what reduce asks the loop to do.
type effect interface{ isEffect() }

type (
	readCatalogue struct {
		known uint64 // revision row version applied; 0 if the row was absent
		full  bool   // scan whatever the revision row says
	}
	readMembers struct{}
	heartbeat   struct {
		expiresAt time.Time
		draining  bool
	}
	readReport struct{ addr string }
	sweep      struct{ olderThan time.Time }
	publish    struct{ view *View }
	logChange  struct {
		msg string
		kv  []any
	}
	hintPeers struct {
		revision uint64
		draining bool
	}
)

func (readCatalogue) isEffect() {}
func (readMembers) isEffect()   {}
func (heartbeat) isEffect()     {}
func (readReport) isEffect()    {}
func (sweep) isEffect()         {}
func (publish) isEffect()       {}
func (logChange) isEffect()     {}
func (hintPeers) isEffect()     {}

// timing holds the periods of the control loop.
type timing struct {
	refresh      time.Duration // catalogue revision and membership reads
	fullScan     time.Duration // a whole catalogue read even if unchanged
	leaseTTL     time.Duration
	renew        time.Duration // heartbeat period, well under leaseTTL
	reports      time.Duration // period of load report rounds
	reportBudget int           // load report reads per round, at most
	sweep        time.Duration // period of delivery sweeps
	sweepGrace   time.Duration // age before a record is swept
}

// state is the control state, owned by the control goroutine alone.
type state struct {
	self    Member
	timing  timing
	view    *View
	pending map[string]bool // effect kinds in flight, so none is doubled

	nextRefresh   time.Time
	nextFullScan  time.Time
	nextHeartbeat time.Time
	nextReports   time.Time
	nextSweep     time.Time
	leaseHeld     bool
	platformOK    bool
	revision      uint64   // highest catalogue row version applied
	revisionRow   uint64   // version of the revision row last applied
	engines       []string // every engine address in the catalogue, sorted
	reportCursor  int      // next index into engines to read a report of
}

func newState(self Member, t timing) state {
	return state{
		self:   self,
		timing: t,
		view: &View{Entries: map[string]catalogue.Entry{}, Pools: map[string]catalogue.Pool{},
			Versions: map[string]uint64{}, Loads: map[string]engine.LoadReport{}, Newest: map[string]uint64{}},
		pending:    map[string]bool{},
		platformOK: true,
	}
}

// reduce is the only place the control state changes.
func reduce(s state, ev event) (state, []effect) {
	switch e := ev.(type) {
	case tick:
		return s.onTick(e.at)
	case catalogueRead:
		return s.onCatalogue(e)
	case membersRead:
		return s.onMembers(e)
	case heartbeatDone:
		return s.onHeartbeat(e)
	case reportRead:
		return s.onReport(e)
	case sweepDone:
		s.pending = without(s.pending, "sweep")
		if e.sent > 0 {
			return s, []effect{logChange{msg: "samples redelivered", kv: []any{"count", e.sent}}}
		}
		return s, nil
	case drainBegun:
		s.self.Draining = true
		v := s.view.clone()
		v.Draining = true
		s.view = v
		s.nextHeartbeat = time.Time{}
		return s, []effect{publish{v}, logChange{msg: "draining", kv: []any{"id", s.self.ID}},
			hintPeers{revision: s.revision, draining: true}}
	case hinted:
		if e.revision > s.revision || e.draining {
			s.nextRefresh = time.Time{}
		}
		return s, nil
	}
	return s, nil
}

func (s state) onTick(now time.Time) (state, []effect) {
	var effs []effect
	if !now.Before(s.nextRefresh) && !s.pending["catalogue"] {
		s.pending = with(s.pending, "catalogue", "members")
		s.nextRefresh = now.Add(s.timing.refresh)
		full := !now.Before(s.nextFullScan)
		if full {
			s.nextFullScan = now.Add(s.timing.fullScan)
		}
		effs = append(effs, readCatalogue{known: s.revisionRow, full: full}, readMembers{})
	}
	if !now.Before(s.nextHeartbeat) && !s.pending["heartbeat"] {
		s.pending = with(s.pending, "heartbeat")
		s.nextHeartbeat = now.Add(s.timing.renew)
		effs = append(effs, heartbeat{expiresAt: now.Add(s.timing.leaseTTL), draining: s.self.Draining})
	}
	if !now.Before(s.nextReports) {
		s.nextReports = now.Add(s.timing.reports)
		s, effs = s.reportRound(effs)
	}
	if !now.Before(s.nextSweep) && !s.pending["sweep"] && !s.self.Draining {
		s.pending = with(s.pending, "sweep")
		s.nextSweep = now.Add(s.timing.sweep)
		effs = append(effs, sweep{olderThan: now.Add(-s.timing.sweepGrace)})
	}
	return s, effs
}

// reportRound asks for the next reportBudget engines' load reports, round
// robin, so a node's report reads stay bounded however many engines the
// catalogue holds; between reads, a node's own requests in flight carry
// the load signal.
func (s state) reportRound(effs []effect) (state, []effect) {
	n := min(s.timing.reportBudget, len(s.engines))
	for i := 0; i < n; i++ {
		addr := s.engines[(s.reportCursor+i)%len(s.engines)]
		if !s.pending["report:"+addr] {
			s.pending = with(s.pending, "report:"+addr)
			effs = append(effs, readReport{addr: addr})
		}
	}
	if n > 0 {
		s.reportCursor = (s.reportCursor + n) % len(s.engines)
	}
	return s, effs
}

// engineAddrs returns every engine address of pools, sorted, once each.
func engineAddrs(pools map[string]catalogue.Pool) []string {
	var out []string
	for _, p := range pools {
		if p.Kind != catalogue.Engines {
			continue
		}
		for _, u := range p.Upstreams {
			out = append(out, u.Address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s state) onCatalogue(e catalogueRead) (state, []effect) {
	s.pending = without(s.pending, "catalogue")
	if e.err != nil {
		return s.platformDown(e.err)
	}
	s, effs := s.platformUp()
	if e.unchanged {
		return s, effs
	}
	snap, err := catalogue.Decode(e.rows)
	if err != nil {
		return s, append(effs, logChange{msg: "catalogue unreadable", kv: []any{"err", err}})
	}
	v := s.view.clone()
	v.Entries, v.Pools, v.Versions = maps.Clone(v.Entries), maps.Clone(v.Pools), maps.Clone(v.Versions)
	changed := 0
	for key, ver := range snap.Versions {
		if ver <= v.Versions[key] {
			continue // never go back to an older version
		}
		changed++
		v.Versions[key] = ver
		s.revision = max(s.revision, ver)
		name := key[strings.LastIndexByte(key, '/')+1:]
		if strings.HasPrefix(key, catalogue.EntryPrefix) {
			v.Entries[name] = snap.Entries[name]
		} else {
			v.Pools[name] = snap.Pools[name]
		}
	}
	s.revisionRow = max(s.revisionRow, e.revision)
	if changed == 0 {
		return s, effs
	}
	s.engines = engineAddrs(v.Pools)
	s.view = v
	return s, append(effs, publish{v},
		logChange{msg: "catalogue applied", kv: []any{"items", changed, "revision", s.revision}},
		hintPeers{revision: s.revision, draining: s.self.Draining})
}

func (s state) onMembers(e membersRead) (state, []effect) {
	s.pending = without(s.pending, "members")
	if e.err != nil {
		return s.platformDown(e.err)
	}
	var live []Member
	for _, r := range e.rows {
		l, err := lease.Decode(r)
		if err != nil || !l.Live(e.at) {
			continue
		}
		var m Member
		if json.Unmarshal(l.Data, &m) != nil {
			continue
		}
		m.ExpiresAt = l.ExpiresAt
		live = append(live, m)
	}
	sortMembers(live)
	if sameMembers(live, s.view.Members) {
		return s, nil
	}
	v := s.view.clone()
	v.Members = live
	s.view = v
	return s, []effect{publish{v}, logChange{msg: "membership changed", kv: []any{"live", len(live)}}}
}

func (s state) onHeartbeat(e heartbeatDone) (state, []effect) {
	s.pending = without(s.pending, "heartbeat")
	held := e.err == nil
	if held == s.leaseHeld {
		return s, nil
	}
	s.leaseHeld = held
	if held {
		return s, []effect{logChange{msg: "membership lease held", kv: []any{"fencing", e.l.Fencing}}}
	}
	return s, []effect{logChange{msg: "membership lease lost", kv: []any{"err", e.err}}}
}

func (s state) onReport(e reportRead) (state, []effect) {
	s.pending = without(s.pending, "report:"+e.addr)
	if e.err != nil {
		return s, nil // a missing report leaves the last one, which ages
	}
	v := s.view.clone()
	v.Loads = maps.Clone(v.Loads)
	v.Loads[e.addr] = e.rep
	v.Newest = maps.Clone(v.Newest)
	for name, p := range v.Pools {
		for _, u := range p.Upstreams {
			if u.Address == e.addr && e.rep.WeightVersion > v.Newest[name] {
				v.Newest[name] = e.rep.WeightVersion
			}
		}
	}
	s.view = v
	return s, []effect{publish{v}}
}

func (s state) platformDown(err error) (state, []effect) {
	if !s.platformOK {
		return s, nil
	}
	s.platformOK = false
	return s, []effect{logChange{msg: "platform unreachable; serving last catalogue", kv: []any{"err", err}}}
}

func (s state) platformUp() (state, []effect) {
	if s.platformOK {
		return s, nil
	}
	s.platformOK = true
	return s, []effect{logChange{msg: "platform reachable again"}}
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.ExpiresAt, y.ExpiresAt = time.Time{}, time.Time{}
		if x != y {
			return false
		}
	}
	return true
}

func with(m map[string]bool, keys ...string) map[string]bool {
	n := maps.Clone(m)
	for _, k := range keys {
		n[k] = true
	}
	return n
}

func without(m map[string]bool, key string) map[string]bool {
	n := maps.Clone(m)
	delete(n, key)
	return n
}
