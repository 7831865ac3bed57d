package membership

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/internal/boundedjson"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// RelayedMember is a member as an instance that reads Table passes it on to one that does
// not. The receiver sees no renewals, so the sender decides which rows are stale.
type RelayedMember struct {
	Member
	StartID      string `json:"start"`
	Advertisable bool   `json:"prompt,omitempty"`
	// Stale means that the member's row is stale; Version is the version of the row then.
	Stale   bool   `json:"lapsed,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Encode returns m as a row value for ApplyRelayed.
func (m RelayedMember) Encode() (json.RawMessage, error) { return json.Marshal(m) }

// RelayedMembers returns all members at now, in no order, as seen by the instance named
// self.
func (v *View) RelayedMembers(now time.Time, self string) []RelayedMember {
	live := v.Roster(now, self)
	out := make([]RelayedMember, 0, len(v.members))
	for _, r := range v.members {
		m := RelayedMember{Member: *r.Member, StartID: r.StartID, Advertisable: r.Advertisable}
		if !live.HasStartID(r.StartID) {
			m.Stale, m.Version = true, r.version
		}
		out = append(out, m)
	}
	return out
}

// ApplyRelayed applies changes of members that another instance passed on, received at
// the time at; with reset set, they are all members. It returns an error that joins those
// of malformed values, and leaves these members as they were known.
func (v *View) ApplyRelayed(changes []platform.Change, reset bool, at time.Time) error {
	if reset {
		v.keepOnly(changes)
	}
	v.changed = true
	var first error
	for _, ch := range changes {
		name := strings.TrimPrefix(ch.Key, Prefix())
		if ch.Deleted {
			v.remove(name)
			continue
		}
		var m RelayedMember
		if err := boundedjson.Unmarshal(ch.Value, &m); err != nil {
			first = errors.Join(first, fmt.Errorf("membership: decode relayed member %s: %w", name, err))
			continue
		}
		m.Member.Name, m.Member.StartID, m.Member.Advertisable = name, m.StartID, m.Advertisable
		v.set(name, &record{Member: v.members[name].shared(m.Member), relayed: true, stale: m.Stale, version: m.Version, ttl: forever, changedAt: at})
	}
	return first
}
