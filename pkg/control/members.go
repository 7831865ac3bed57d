package control

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

// RenewalsPerTTL is how often a lease is renewed in the time it lives.
const RenewalsPerTTL = 3

// maxRenewals bounds the renewals a second of all leases of one kind
// together: with more leases each lives longer, so that the writes to the
// platform do not grow with the number of instances or of shards.
const maxRenewals = 45

// leaseTTL returns how long each of n leases lives, atLeast being enough for
// few of them.
func leaseTTL(n int, atLeast time.Duration) time.Duration {
	return max(atLeast, time.Duration(n)*time.Second*RenewalsPerTTL/maxRenewals)
}

// memberTTL is how long this instance's membership lease lives.
func (s State) memberTTL() time.Duration { return leaseTTL(len(s.View.Members), s.timing.LeaseTTL) }

// sighting is when a member's row was first seen at a version, by this
// process's clock.
type sighting struct {
	version uint64
	at      time.Time
}

// memberPeriod is the time between membership scans.
func (s State) memberPeriod() time.Duration {
	return s.timing.Refresh * time.Duration(max(1, len(s.View.Members)/membersPerRefresh))
}

// onMembers takes the live members from their lease rows.
func (s State) onMembers(e MembersRead) (State, []Effect) {
	s = s.ended(task{kind: membersTask})
	if e.Err != nil {
		return s.platformDown(e.Err)
	}
	sightings := make(map[string]sighting, len(e.Rows))
	var live []Member
	for _, r := range e.Rows {
		sightings[r.Key] = s.sighted(r, e.At)
		if m, ok := s.liveMember(r, sightings[r.Key], e.At); ok {
			live = append(live, m)
		}
	}
	s.sightings = sightings
	sortMembers(live)
	if slices.Equal(live, s.View.Members) {
		return s, nil
	}
	v := s.View.clone()
	v.Members = live
	s.View = v
	s = s.choosePools()
	return s, []Effect{PublishView{v}, LogChange{Message: "membership changed", Fields: []any{"live", len(live)}}}
}

func (s State) sighted(r platform.Row, now time.Time) sighting {
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
func (s State) liveMember(r platform.Row, seen sighting, now time.Time) (Member, bool) {
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
	if now.Sub(seen.at) >= l.TTL(s.timing.LeaseTTL)+s.memberPeriod() {
		return Member{}, false
	}
	return m, true
}

// preferred reports whether this instance is the one to do the work named
// key, such as a pool's rollout: the same one everywhere while instances
// agree on membership. Leases keep the work safe while they do not.
func (s State) preferred(key string) bool {
	members := s.View.Routable()
	i := route.Rendezvous(members, func(m Member) string { return m.ID }, key)
	return i >= 0 && members[i].ID == s.self.ID
}

func (s State) onHeartbeat(e HeartbeatDone) (State, []Effect) {
	s = s.ended(task{kind: heartbeatTask})
	before := s.member.Fencing != 0
	s.member = e.Lease
	if e.Err != nil {
		s.member = lease.Lease{}
	}
	switch held := s.member.Fencing != 0; {
	case held && !before:
		return s, []Effect{LogChange{Message: "membership lease held", Fields: []any{"fencing", e.Lease.Fencing}}}
	case before && !held:
		return s, []Effect{LogChange{Message: "membership lease lost", Fields: []any{"err", e.Err}}}
	}
	return s, nil
}

// onInstances applies changes of the platform's list of upstream instances.
func (s State) onInstances(e InstancesRead) (State, []Effect) {
	s = s.ended(task{kind: instancesTask})
	if e.Err != nil {
		return s.platformDown(e.Err)
	}
	s.instancesSeq = e.Changes.Sequence
	if len(e.Changes.Instances) == 0 {
		return s, nil
	}
	v := s.View.clone()
	v.Instances = maps.Clone(v.Instances)
	for _, in := range e.Changes.Instances {
		v.Instances[in.Address] = in.State
	}
	s.View = v
	return s, []Effect{PublishView{v}}
}
