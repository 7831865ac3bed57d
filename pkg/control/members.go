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

// membersPerRefresh is how many members are read per refresh period. With more members
// the membership is read less often in proportion, so that the cost to an instance does
// not grow with their number.
const membersPerRefresh = 12

// RenewalsPerTTL is how often a lease is renewed within its time to live.
const RenewalsPerTTL = 3

// maxRenewalsPerSecond bounds the renewals of all leases of one kind. With more leases
// each has a longer time to live, so that the writes to the platform do not grow with
// the number of instances or shards.
const maxRenewalsPerSecond = 45

// leaseTTL returns the time to live of each of n leases, which is at least atLeast.
func leaseTTL(n int, atLeast time.Duration) time.Duration {
	return max(atLeast, time.Duration(n)*time.Second*RenewalsPerTTL/maxRenewalsPerSecond)
}

// memberTTL returns the time to live of this instance's membership lease.
func (s State) memberTTL() time.Duration { return leaseTTL(len(s.View.Members), s.timing.LeaseTTL) }

// seenRow is a version of a member's row and when it was first seen, by the local
// clock.
type seenRow struct {
	version uint64
	at      time.Time
}

// memberPeriod returns the time between reads of the membership.
func (s State) memberPeriod() time.Duration {
	return s.timing.Refresh * time.Duration(max(1, len(s.View.Members)/membersPerRefresh))
}

// onMembers determines the live members from their lease rows.
func (s State) onMembers(e MembersRead) (State, []Effect) {
	s = s.taskEnded(task{kind: membersTask})
	if e.Err != nil {
		return s.platformUnavailable(e.Err)
	}
	seenRows := make(map[string]seenRow, len(e.Rows))
	var live []Member
	for _, r := range e.Rows {
		seenRows[r.Key] = s.seeRow(r, e.At)
		if m, ok := s.liveMember(r, seenRows[r.Key], e.At); ok {
			live = append(live, m)
		}
	}
	s.seenRows = seenRows
	sortMembers(live)
	if slices.Equal(live, s.View.Members) {
		return s, nil
	}
	v := s.View.clone()
	v.Members = live
	s.View = v
	s = s.choosePreferredRollouts()
	return s, []Effect{PublishView{v}, LogChange{Message: "membership changed", Fields: []any{"live", len(live)}}}
}

func (s State) seeRow(r platform.Row, now time.Time) seenRow {
	if old, ok := s.seenRows[r.Key]; ok && old.version == r.Version {
		return old
	}
	return seenRow{version: r.Version, at: now}
}

// liveMember decodes a member's row and reports whether the member is live. A row that
// was seen before is judged by the local clock alone: its member is live until the row
// has not changed for its time to live plus the time between reads. A row seen for the
// first time is judged by the expiry in it.
func (s State) liveMember(r platform.Row, seen seenRow, now time.Time) (Member, bool) {
	l, err := lease.Decode(r)
	if err != nil {
		return Member{}, false
	}
	var m Member
	if json.Unmarshal(l.Data, &m) != nil {
		return Member{}, false
	}
	_, before := s.seenRows[r.Key]
	if !before && !l.Live(now) {
		return Member{}, false
	}
	if now.Sub(seen.at) >= l.TTL(s.timing.LeaseTTL)+s.memberPeriod() {
		return Member{}, false
	}
	return m, true
}

// preferred reports whether this instance is the one to do the work named key, such as
// a pool's rollout. It is the same on all instances while they agree on the membership;
// leases keep the work safe while they do not.
func (s State) preferred(key string) bool {
	members := s.View.Routable()
	i := route.Rendezvous(members, func(m Member) string { return m.ID }, key)
	return i >= 0 && members[i].ID == s.self.ID
}

func (s State) onHeartbeat(e HeartbeatDone) (State, []Effect) {
	s = s.taskEnded(task{kind: heartbeatTask})
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
	s = s.taskEnded(task{kind: instancesTask})
	if e.Err != nil {
		return s.platformUnavailable(e.Err)
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
