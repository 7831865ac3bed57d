// Package membership keeps track of the live instances. Each instance keeps a row in the
// platform's store that it renews periodically. An instance whose row has not changed for
// its TTL, by the reader's own clock, is stale.
package membership

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/internal/boundedjson"
	"github.com/zinnialadder/zinnialadder/pkg/lease"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

const (
	// Table is the name of the table of the members' rows.
	Table = "members"
	// minPeriod is the renewal period of members that own work: others must take it over
	// soon after a failure, and few members own work.
	minPeriod = 400 * time.Millisecond
	// advertisedPeriod is the renewal period of members that callers are given the
	// address of: after a failure, callers are given the address for less than four
	// seconds more, whatever the number of members.
	advertisedPeriod = time.Second
	// maxRenewalRate is how many renewals per second all other members make together at
	// most: a fifth of what one partition of the store can take, and few enough for each
	// member to read.
	maxRenewalRate = 40
	// missedPeriods is how many periods a row may be unchanged before it is stale: one
	// call may be lost and the next be slow.
	missedPeriods = 3
	// readSlack is added to the TTL because rows are read at intervals.
	readSlack = 600 * time.Millisecond
)

// Prefix returns the prefix of the keys of Table.
func Prefix() string { return Table + "//" }

// Key returns the key of the row of the instance with the given name.
func Key(name string) string { return Prefix() + name }

// Member is an instance as described by its row.
type Member struct {
	Name    string `json:"-"`
	StartID string `json:"-"`       // lease holder of the row: ID of one start of the instance
	Address string `json:"address"` // address for callers
	// PeerAddress is the address for other instances; empty if there is none.
	PeerAddress string `json:"peer_address,omitempty"`
	DataCentre  string `json:"data_centre"`
	Draining    bool   `json:"draining,omitempty"`
	// Cores is the capacity of the instance in processor cores.
	Cores float64 `json:"cores"`
	// Configuration is the version of the configuration in force when the row was last
	// written; 0 for none. It is for operators, who read the rows. Members of a View do
	// not have it, as it changes at all members with each configuration.
	Configuration uint64 `json:"configuration,omitempty"`
	// WatchSource is what the instance follows the store's tables from: the address of
	// its relay, or the kind of another source. It is for operators, and Members of a
	// View do not have it, as with Configuration.
	WatchSource string `json:"follows,omitempty"`
	// Advertisable means that the row is renewed often enough for callers to be given the
	// address of the instance.
	Advertisable bool `json:"-"`
}

// Role is what others rely on a member for. Roles are in order of the renewal rate they
// need.
type Role int

// The roles of a member.
const (
	Idle       Role = iota
	Advertised      // callers are given its address, or soon may be
	Owner           // it owns submissions
)

// StartID returns the ID of the start at time at of the instance with the given name.
func StartID(name string, at time.Time) string { return fmt.Sprintf("%s#%d", name, at.UnixNano()) }

// NameOf returns the name of the instance that a start ID belongs to.
func NameOf(start string) string {
	name, _, _ := strings.Cut(start, "#")
	return name
}

// RenewalPeriod returns the period in which a member with role r renews its row when
// there are n members.
func RenewalPeriod(n int, r Role) time.Duration {
	idle := max(minPeriod, time.Duration(n)*time.Second/maxRenewalRate)
	switch r {
	case Owner:
		return minPeriod
	case Advertised:
		return min(idle, advertisedPeriod)
	}
	return idle
}

// TTL returns how long a row with the given renewal period may be unchanged before it is
// stale. Members write the TTL into their rows.
func TTL(period time.Duration) time.Duration { return missedPeriods*period + readSlack }

// View is what an instance knows of the members. It is not safe for concurrent use.
type View struct {
	members map[string]*record
	names   []string // names of members, sorted
	roster  *Roster  // last roster made
	// roster is valid for the instance rosterSelf from rosterFrom on and before
	// rosterUntil, unless changed is set since.
	rosterSelf              string
	rosterFrom, rosterUntil time.Time
	changed                 bool
}

type record struct {
	*Member                   // immutable
	data      json.RawMessage // data that Member was decoded from
	version   uint64
	ttl       time.Duration // time without a change after which the row is stale
	changedAt time.Time
	// relayed means that the record comes from another instance, which decides whether it
	// is stale.
	relayed, stale bool
}

// shared returns the Member of r if it equals m, and otherwise a new one: rosters are
// compared by the addresses of their members in memory. r may be nil.
func (r *record) shared(m Member) *Member {
	if r != nil && *r.Member == m {
		return r.Member
	}
	return &m
}

// staleAt returns when the row becomes stale.
func (r *record) staleAt() time.Time { return r.changedAt.Add(r.ttl) }

// NewView returns an empty View.
func NewView() *View { return &View{members: map[string]*record{}, roster: NewRoster(nil)} }

// Apply applies changes of Table that were read at the time at; with reset set, they are
// the whole table. It returns an error that joins those of malformed rows, and leaves
// these rows as they were known.
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

// keepOnly removes the members that are not in rows.
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

// set stores the record of the member with the given name.
func (v *View) set(name string, r *record) {
	if i, found := slices.BinarySearch(v.names, name); !found {
		v.names = slices.Insert(v.names, i, name)
	}
	v.members[name] = r
}

// Decode returns the member described by a row of Table, and the lease that the row
// contains. It fails if either is malformed.
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
	if err := boundedjson.Unmarshal(l.Data, &m); err != nil {
		return Member{}, fmt.Errorf("membership: decode row %s: %w", key, err)
	}
	m.Name, m.StartID = strings.TrimPrefix(key, Prefix()), l.Holder
	return m, nil
}

// put applies the row of the member with the given name. Nearly all rows are renewals
// without new content, which leave the roster as it is.
func (v *View) put(name string, row platform.Row, at time.Time) error {
	old := v.members[name]
	if old != nil && !old.relayed && old.version == row.Version {
		return nil
	}
	l, err := lease.Decode(row)
	if err != nil {
		return err
	}
	r := &record{data: l.Data, version: row.Version, ttl: l.TTL(TTL(minPeriod)), changedAt: at}
	advertisable := r.ttl <= TTL(advertisedPeriod)
	if old != nil && old.StartID == l.Holder && old.Advertisable == advertisable && bytes.Equal(old.data, l.Data) {
		r.Member = old.Member
	} else {
		m, err := decodeMember(row.Key, l)
		if err != nil {
			return err
		}
		m.Configuration, m.WatchSource, m.Advertisable = 0, "", advertisable
		r.Member = old.shared(m)
	}
	if old != nil && old.stale && old.version == row.Version {
		r.changedAt = at.Add(-r.ttl) // it was stale before and has not been renewed since
	}
	if old == nil || old.Member != r.Member || !v.roster.has(name) || r.staleAt().Before(v.rosterUntil) {
		v.changed = true
	}
	v.set(name, r)
	return nil
}

// ExtendAfterOutage counts the rows of members that were not stale at since as changed at
// at. It is for a time in which the table could not be read, when members could have
// renewed their rows unseen or could not renew them.
func (v *View) ExtendAfterOutage(since, at time.Time) {
	v.changed = true
	for _, r := range v.members {
		if since.Sub(r.changedAt) < r.ttl && r.changedAt.Before(at) {
			r.changedAt = at
		}
	}
}

// Current reports whether v is recent enough at now for callers to rely on. unreadableSince is
// when the table was first found unreadable, zero if it can be read. The view is not
// current either if the row of the member named self has not changed for long.
func (v *View) Current(now, unreadableSince time.Time, self string) bool {
	if !unreadableSince.IsZero() && now.Sub(unreadableSince) > maxViewAge {
		return false
	}
	own := v.members[self]
	return own == nil || now.Sub(own.changedAt) <= max(own.ttl, maxViewAge)
}

// maxViewAge is how long a view that cannot be updated stays current: callers must not be
// given the address of a failed member for much longer than four seconds.
const maxViewAge = 3 * time.Second

// UnchangedFor returns the names of members whose rows have not changed for longer than
// after at the time now. Such rows can be deleted.
func (v *View) UnchangedFor(now time.Time, after time.Duration) []string {
	var out []string
	for name, r := range v.members {
		if now.Sub(r.changedAt) > after {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Len returns the number of rows.
func (v *View) Len() int { return len(v.members) }

// StartIDOf returns the start ID in the row of the instance with the given name.
func (v *View) StartIDOf(name string) (start string, ok bool) {
	if r := v.members[name]; r != nil {
		return r.StartID, true
	}
	return "", false
}
