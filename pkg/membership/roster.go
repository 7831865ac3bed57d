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
	Members []Member // in order of name; not to be changed
	starts  map[string]bool
}

// NewRoster returns the Roster of members.
func NewRoster(members []Member) *Roster {
	r := &Roster{Members: slices.SortedFunc(slices.Values(members), byName), starts: make(map[string]bool, len(members))}
	for _, m := range members {
		r.starts[m.Start] = true
	}
	return r
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }

// HasStart reports whether the instance with the start given is live.
func (r *Roster) HasStart(start string) bool { return r.starts[start] }

// has reports whether the member named name is live.
func (r *Roster) has(name string) bool {
	_, found := slices.BinarySearchFunc(r.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	return found
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
	var live []Member
	for _, s := range v.members {
		if s.lapsed || own != nil && !now.Before(s.lapsesAt()) {
			continue
		}
		live = append(live, s.Member)
		if s.lapsesAt().Before(v.validUntil) {
			v.validUntil = s.lapsesAt()
		}
	}
	if made := NewRoster(live); !slices.Equal(made.Members, v.roster.Members) {
		v.roster = made
	}
	return v.roster
}

// forever is longer than any row may stand.
const forever = 24 * time.Hour

// Live returns the members of the Roster at now.
func (v *View) Live(now time.Time, self string) []Member { return v.Roster(now, self).Members }
