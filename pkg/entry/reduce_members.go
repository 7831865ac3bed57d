package entry

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/route"
)

// membersPerRefresh is how many members are read in one refresh period:
// with more, the membership is scanned less often, in proportion, so that
// its cost to a node does not grow with their number.
const membersPerRefresh = 12

// renewalsPerTTL is how often a lease is renewed in the time it lives.
const renewalsPerTTL = 3

// maxRenewals bounds the renewals a second of all leases of one kind
// together: with more leases each lives longer, so that the writes to the
// platform do not grow with the number of instances or of shards.
const maxRenewals = 45

// leaseTTL returns how long each of n leases lives, atLeast being enough for
// few of them.
func leaseTTL(n int, atLeast time.Duration) time.Duration {
	return max(atLeast, time.Duration(n)*time.Second*renewalsPerTTL/maxRenewals)
}

// memberTTL is how long this instance's membership lease lives.
func (s state) memberTTL() time.Duration { return leaseTTL(len(s.view.Members), s.timing.leaseTTL) }

// sighting is when a member's row was first seen at a version, by this
// process's clock.
type sighting struct {
	version uint64
	at      time.Time
}

// memberPeriod is the time between membership scans.
func (s state) memberPeriod() time.Duration {
	return s.timing.refresh * time.Duration(max(1, len(s.view.Members)/membersPerRefresh))
}

// onMembers takes the live members from their lease rows.
func (s state) onMembers(e membersRead) (state, []effect) {
	s = s.ended(task{kind: membersTask})
	if e.err != nil {
		return s.platformDown(e.err)
	}
	sightings := make(map[string]sighting, len(e.rows))
	var live []Member
	for _, r := range e.rows {
		sightings[r.Key] = s.sighted(r, e.at)
		if m, ok := s.liveMember(r, sightings[r.Key], e.at); ok {
			live = append(live, m)
		}
	}
	s.sightings = sightings
	sortMembers(live)
	if slices.Equal(live, s.view.Members) {
		return s, nil
	}
	v := s.view.clone()
	v.Members = live
	s.view = v
	s = s.choosePools()
	return s, []effect{publish{v}, logChange{msg: "membership changed", kv: []any{"live", len(live)}}}
}

func (s state) sighted(r platform.Row, now time.Time) sighting {
	if old, ok := s.sightings[r.Key]; ok && old.version == r.Version {
		return old
	}
	return sighting{version: r.Version, at: now}
}

// liveMember decodes a member's row and reports whether the member lives.
// A row seen to change is judged by this process's own clock alone: it
// lives until it has stood unchanged for the time it tells and the time
// between scans. A row seen for
// the first time is judged by the expiry its holder wrote.
func (s state) liveMember(r platform.Row, seen sighting, now time.Time) (Member, bool) {
	l, err := lease.Decode(r)
	if err != nil {
		return Member{}, false
	}
	var m Member
	if json.Unmarshal(l.Data, &m) != nil {
		return Member{}, false
	}
	_, before := s.sightings[r.Key]
	if !before && !l.Live(now) {
		return Member{}, false
	}
	if now.Sub(seen.at) >= l.TTL(s.timing.leaseTTL)+s.memberPeriod() {
		return Member{}, false
	}
	return m, true
}

// preferred reports whether this instance is the one to do the work named
// key, such as a pool's rollout: the same one everywhere while instances
// agree on membership. Leases keep the work safe while they do not.
func (s state) preferred(key string) bool {
	members := s.view.routable()
	i := route.Rendezvous(members, func(m Member) string { return m.ID }, key)
	return i >= 0 && members[i].ID == s.self.ID
}

func (s state) onHeartbeat(e heartbeatDone) (state, []effect) {
	s = s.ended(task{kind: heartbeatTask})
	before := s.member.Fencing != 0
	s.member = e.l
	if e.err != nil {
		s.member = lease.Lease{}
	}
	switch held := s.member.Fencing != 0; {
	case held && !before:
		return s, []effect{logChange{msg: "membership lease held", kv: []any{"fencing", e.l.Fencing}}}
	case before && !held:
		return s, []effect{logChange{msg: "membership lease lost", kv: []any{"err", e.err}}}
	}
	return s, nil
}

// onInstances applies changes of the platform's list of upstream instances.
func (s state) onInstances(e instancesRead) (state, []effect) {
	s = s.ended(task{kind: instancesTask})
	if e.err != nil {
		return s.platformDown(e.err)
	}
	s.instancesSeq = e.changes.Sequence
	if len(e.changes.Instances) == 0 {
		return s, nil
	}
	v := s.view.clone()
	v.Instances = maps.Clone(v.Instances)
	for _, in := range e.changes.Instances {
		v.Instances[in.Address] = in.State
	}
	s.view = v
	return s, []effect{publish{v}}
}
