package membership

import (
	"cmp"
	"slices"
	"time"
)

// Roster is the members that are live at one time. It does not change once it is
// made, and the same Roster is given for as long as the same members are live with
// the same rows' contents, so that what is derived from one can be kept with it:
// among hundreds of members renewals come each few milliseconds, and changes rarely.
type Roster struct {
	Members []*Member // in order of name; not to be changed
}

// NewRoster returns the Roster of members.
func NewRoster(members []*Member) *Roster {
	return &Roster{Members: slices.SortedFunc(slices.Values(members), byName)}
}

func byName(a, b *Member) int { return cmp.Compare(a.Name, b.Name) }

// HasStartID reports whether the instance with the start given is live.
func (r *Roster) HasStartID(start string) bool {
	i, found := r.find(NameOf(start))
	return found && r.Members[i].StartID == start
}

// Member returns the live member named name, if there is one.
func (r *Roster) Member(name string) (*Member, bool) {
	i, found := r.find(name)
	if !found {
		return nil, false
	}
	return r.Members[i], true
}

// has reports whether the member named name is live.
func (r *Roster) has(name string) bool {
	_, found := r.find(name)
	return found
}

// find returns where the member named name stands, or would.
func (r *Roster) find(name string) (int, bool) {
	return slices.BinarySearchFunc(r.Members, name, func(m *Member, name string) int { return cmp.Compare(m.Name, name) })
}

// Roster returns the members that are there at now, as seen by the one named self.
// While its own row stands unchanged, or is not there, the others may be unable to
// write theirs as well: the platform's store can serve a part of its tables only. No
// member lapses in that time.
func (v *View) Roster(now time.Time, self string) *Roster {
	own := v.members[self]
	if own != nil {
		if stood := own.changedAt.Add(own.ttl * 2 / 3); now.After(stood) {
			now = stood
		}
	}
	holds := !v.changed && v.madeBy == self && !now.Before(v.madeFor) && (own == nil || now.Before(v.validUntil))
	if holds {
		return v.roster
	}
	v.changed, v.madeBy, v.madeFor, v.validUntil = false, self, now, now.Add(forever)
	live := make([]*Member, 0, len(v.members))
	for _, name := range v.names {
		s := v.members[name]
		if s.lapsed || own != nil && !now.Before(s.lapsesAt()) {
			continue
		}
		live = append(live, s.Member)
		if s.lapsesAt().Before(v.validUntil) {
			v.validUntil = s.lapsesAt()
		}
	}
	if !slices.Equal(live, v.roster.Members) {
		v.roster = &Roster{Members: live}
	}
	return v.roster
}

// forever is longer than any row may stand.
const forever = 24 * time.Hour

// Live returns the members of the Roster at now.
func (v *View) Live(now time.Time, self string) []*Member { return v.Roster(now, self).Members }
