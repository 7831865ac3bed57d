package membership

import (
	"cmp"
	"slices"
	"time"
)

// Roster is the set of members that are live at one time. It is immutable, and the same
// Roster is returned as long as the same members are live with the same content, so that
// values derived from it can be cached with it: among hundreds of members there is a
// renewal every few milliseconds, but rarely a change.
type Roster struct {
	Members []*Member // sorted by name; must not be modified
}

// NewRoster returns the Roster of members.
func NewRoster(members []*Member) *Roster {
	return &Roster{Members: slices.SortedFunc(slices.Values(members), byName)}
}

func byName(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }

// HasStartID reports whether the instance with the given start ID is live.
func (r *Roster) HasStartID(start string) bool {
	i, found := r.find(NameOf(start))
	return found && r.Members[i].StartID == start
}

// Member returns the live member with the given name, if there is one.
func (r *Roster) Member(name string) (*Member, bool) {
	i, found := r.find(name)
	if !found {
		return nil, false
	}
	return r.Members[i], true
}

// has reports whether the member with the given name is live.
func (r *Roster) has(name string) bool {
	_, found := r.find(name)
	return found
}

// find returns the index of the member with the given name, or the index at which to
// insert it.
func (r *Roster) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.Members, name, func(m *Member, name string) int { return cmp.Compare(m.Name, name) })
}

// Roster returns the members that are live at now, as seen by the instance named self. No
// member becomes stale while the row of self is unchanged or missing: the other members
// may be unable to write their rows as well, as the platform's store can lose some of its
// tables only.
func (v *View) Roster(now time.Time, self string) *Roster {
	own := v.members[self]
	if own != nil {
		if limit := own.changedAt.Add(own.ttl * 2 / 3); now.After(limit) {
			now = limit
		}
	}
	valid := !v.changed && v.rosterSelf == self && !now.Before(v.rosterFrom) && (own == nil || now.Before(v.rosterUntil))
	if valid {
		return v.roster
	}
	v.changed, v.rosterSelf, v.rosterFrom, v.rosterUntil = false, self, now, now.Add(forever)
	live := make([]*Member, 0, len(v.members))
	for _, name := range v.names {
		r := v.members[name]
		if r.stale || own != nil && !now.Before(r.staleAt()) {
			continue
		}
		live = append(live, r.Member)
		if r.staleAt().Before(v.rosterUntil) {
			v.rosterUntil = r.staleAt()
		}
	}
	if !slices.Equal(live, v.roster.Members) {
		v.roster = &Roster{Members: live}
	}
	return v.roster
}

// forever is longer than any TTL.
const forever = 24 * time.Hour

// Live returns the members of the Roster at now.
func (v *View) Live(now time.Time, self string) []*Member { return v.Roster(now, self).Members }
