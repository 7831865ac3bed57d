// Package membership tells which instances there are. Each keeps a row in the
// platform's store that it rewrites periodically; one whose row has stood
// unchanged for too long, by the reader's own clock, is taken for gone.
package membership

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

const (
	// Table is the table of the members' rows.
	Table = "members"
	// minPeriod is the time between two renewals of the row of a member that
	// owns work, which others must take over soon should it be gone; few do.
	minPeriod = 400 * time.Millisecond
	// toldPeriod is the time between two renewals of a member that callers are
	// told of: should it be gone, they are told of it for less than four seconds
	// more, whatever the number of members.
	toldPeriod = time.Second
	// renewals is how many renewals a second the other members make together at
	// the most: a fifth of what one partition of the store takes, and few enough
	// for each member to read.
	renewals = 40
	// missedPeriods is how many periods a row may stand unchanged; one call may
	// be lost and the next be slow.
	missedPeriods = 3
	// readingSlack is added, as rows are read in intervals.
	readingSlack = 600 * time.Millisecond
)

// Prefix returns the prefix of the members' keys.
func Prefix() string { return Table + "//" }

// Key returns the key of the row of the instance named name.
func Key(name string) string { return Prefix() + name }

// Member is an instance as its row tells it.
type Member struct {
	Name    string `json:"-"`
	StartID string `json:"-"`       // the holder of the row: one for each start of the instance
	Address string `json:"address"` // where callers connect
	// PeerAddress is where other instances connect; empty for nowhere.
	PeerAddress string `json:"peer_address,omitempty"`
	DataCentre  string `json:"data_centre"`
	Draining    bool   `json:"draining,omitempty"`
	// Cores is how much work it can carry, in processor cores.
	Cores float64 `json:"cores"`
	// Configuration is the version of the configuration that it had in force when
	// it last wrote its row; 0 for none. Operators read it from the rows; a View does
	// not tell it, as it changes at all members with each configuration.
	Configuration uint64 `json:"configuration,omitempty"`
	// WatchSource is what it follows the store's tables by, as its row told last: its relay's
	// address, or that it reads them itself. Operators read it, as Configuration.
	WatchSource string `json:"follows,omitempty"`
	// Advertisable means that the row is renewed so often that callers may be told of
	// the member.
	Advertisable bool `json:"-"`
}

// Role is what others rely on a member for, from little to much.
type Role int

// The duties of a member.
const (
	Idle       Role = iota
	Advertised      // callers are told of it, or soon may be
	Owner           // it owns work
)

// StartID returns what identifies one start of the instance named name.
func StartID(name string, at time.Time) string { return fmt.Sprintf("%s#%d", name, at.UnixNano()) }

// NameOf returns the name of the instance that start is one of.
func NameOf(start string) string {
	name, _, _ := strings.Cut(start, "#")
	return name
}

// RenewalPeriod returns how often a member renews its row when there are n of them.
func RenewalPeriod(n int, d Role) time.Duration {
	idle := max(minPeriod, time.Duration(n)*time.Second/renewals)
	switch d {
	case Owner:
		return minPeriod
	case Advertised:
		return min(idle, toldPeriod)
	}
	return idle
}

// TTL returns how long a row that is renewed each period may stand unchanged.
// It is written in the row.
func TTL(period time.Duration) time.Duration { return missedPeriods*period + readingSlack }

// View is what an instance knows of the members. It is not safe for
// concurrent use.
type View struct {
	members map[string]*seen
	names   []string // of members, in order
	roster  *Roster  // as last made
	// What roster tells holds for the instance named madeBy from madeFor on and
	// before validUntil, unless what members' rows tell has changed since.
	madeBy              string
	madeFor, validUntil time.Time
	changed             bool
}

type seen struct {
	*Member                   // not changed
	data      json.RawMessage // what Member was read from
	version   uint64
	ttl       time.Duration // how long the row may stand unchanged
	changedAt time.Time
	// told means that another instance told it, which judges whether it has lapsed.
	told, lapsed bool
}

// same returns m, as s holds it already if it does: rosters are told apart by their
// members' addresses in memory. s may be nil.
func (s *seen) same(m Member) *Member {
	if s != nil && *s.Member == m {
		return s.Member
	}
	return &m
}

// lapsesAt returns when s is taken for gone.
func (s *seen) lapsesAt() time.Time { return s.changedAt.Add(s.ttl) }

// NewView returns an empty View.
func NewView() *View { return &View{members: map[string]*seen{}, roster: NewRoster(nil)} }

// Apply takes changes of the table read at at.
func (v *View) Apply(changes []platform.Change, reset bool, at time.Time) error {
	if reset {
		v.keepOnly(changes)
	}
	var first error
	for _, ch := range changes {
		name := strings.TrimPrefix(ch.Key, Prefix())
		if ch.Deleted {
			v.remove(name)
			continue
		}
		if err := v.put(name, ch.Row, at); err != nil {
			first = errors.Join(first, err)
		}
	}
	return first
}

// keepOnly removes the members that are not among rows.
func (v *View) keepOnly(rows []platform.Change) {
	kept := make(map[string]bool, len(rows))
	for _, ch := range rows {
		kept[strings.TrimPrefix(ch.Key, Prefix())] = true
	}
	for name := range v.members {
		if !kept[name] {
			v.remove(name)
		}
	}
}

func (v *View) remove(name string) {
	if i, found := slices.BinarySearch(v.names, name); found {
		v.names = slices.Delete(v.names, i, i+1)
	}
	delete(v.members, name)
	v.changed = true
}

// set keeps what is known of the member named name.
func (v *View) set(name string, s *seen) {
	if i, found := slices.BinarySearch(v.names, name); !found {
		v.names = slices.Insert(v.names, i, name)
	}
	v.members[name] = s
}

// Decode returns the member that row tells of, and the lease that the row is.
func Decode(row platform.Row) (Member, lease.Lease, error) {
	l, err := lease.Decode(row)
	if err != nil {
		return Member{}, l, err
	}
	m, err := decodeMember(row.Key, l)
	return m, l, err
}

func decodeMember(key string, l lease.Lease) (Member, error) {
	m := Member{}
	if err := json.Unmarshal(l.Data, &m); err != nil {
		return Member{}, fmt.Errorf("membership: %s: %w", key, err)
	}
	m.Name, m.StartID = strings.TrimPrefix(key, Prefix()), l.Holder
	return m, nil
}

// put takes the row of the member named name. Nearly all rows are renewals that
// tell nothing new of their member, which leave the roster as it is.
func (v *View) put(name string, row platform.Row, at time.Time) error {
	old := v.members[name]
	if old != nil && !old.told && old.version == row.Version {
		return nil
	}
	l, err := lease.Decode(row)
	if err != nil {
		return err
	}
	s := &seen{data: l.Data, version: row.Version, ttl: l.TTL(TTL(minPeriod)), changedAt: at}
	prompt := s.ttl <= TTL(toldPeriod)
	if old != nil && old.StartID == l.Holder && old.Advertisable == prompt && bytes.Equal(old.data, l.Data) {
		s.Member = old.Member
	} else {
		m, err := decodeMember(row.Key, l)
		if err != nil {
			return err
		}
		m.Configuration, m.WatchSource, m.Advertisable = 0, "", prompt
		s.Member = old.same(m)
	}
	if old != nil && old.lapsed && old.version == row.Version {
		s.changedAt = at.Add(-s.ttl) // it has not been renewed since
	}
	if old == nil || old.Member != s.Member || !v.roster.has(name) || s.lapsesAt().Before(v.validUntil) {
		v.changed = true
	}
	v.set(name, s)
	return nil
}

// ExtendAfterOutage takes the rows of the members that were there at since for changed at
// at: the table could not be read from since to at, so that they could have
// renewed them unseen, or could not renew them.
func (v *View) ExtendAfterOutage(since, at time.Time) {
	v.changed = true
	for _, s := range v.members {
		if since.Sub(s.changedAt) < s.ttl && s.changedAt.Before(at) {
			s.changedAt = at
		}
	}
}

// Current reports whether what v tells at now of who is there is recent enough for
// callers, given when its table was first found not to be read, zero if it is read.
// It is not while the row of the member named self stands for long either.
func (v *View) Current(now, awaySince time.Time, self string) bool {
	if !awaySince.IsZero() && now.Sub(awaySince) > currentFor {
		return false
	}
	own := v.members[self]
	return own == nil || now.Sub(own.changedAt) <= max(own.ttl, currentFor)
}

// currentFor is how long a view that cannot be renewed is current: callers are not
// to be told for much longer than four seconds of a member that has gone.
const currentFor = 3 * time.Second

// UnchangedFor returns the names of members whose rows have stood unchanged for so
// long that they can be deleted.
func (v *View) UnchangedFor(now time.Time, after time.Duration) []string {
	var out []string
	for name, s := range v.members {
		if now.Sub(s.changedAt) > after {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Size returns how many rows there are.
func (v *View) Size() int { return len(v.members) }

// StartIDOf returns the start that the row of the instance named name tells.
func (v *View) StartIDOf(name string) (start string, ok bool) {
	if s := v.members[name]; s != nil {
		return s.StartID, true
	}
	return "", false
}
