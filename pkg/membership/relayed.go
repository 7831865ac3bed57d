package membership

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

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

// Encode returns t as a row value for ApplyRelayed.
func (t RelayedMember) Encode() (json.RawMessage, error) { return json.Marshal(t) }

// RelayedMembers returns all members at now, in no order, as seen by the instance named
// self.
func (v *View) RelayedMembers(now time.Time, self string) []RelayedMember {
	live := v.Roster(now, self)
	out := make([]RelayedMember, 0, len(v.members))
	for _, s := range v.members {
		t := RelayedMember{Member: *s.Member, StartID: s.StartID, Advertisable: s.Advertisable}
		if !live.HasStartID(s.StartID) {
			t.Stale, t.Version = true, s.version
		}
		out = append(out, t)
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
		var t RelayedMember
		if err := json.Unmarshal(ch.Value, &t); err != nil {
			first = errors.Join(first, fmt.Errorf("membership: decode relayed member %s: %w", name, err))
			continue
		}
		t.Member.Name, t.Member.StartID, t.Member.Advertisable = name, t.StartID, t.Advertisable
		v.set(name, &record{Member: v.members[name].shared(t.Member), relayed: true, stale: t.Stale, version: t.Version, ttl: forever, changedAt: at})
	}
	return first
}
