package membership

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// RelayedMember is what an instance that reads the members' rows tells of a member to one that
// does not. Who is told sees no renewals, and leaves it to the other to judge which
// rows have stood for too long.
type RelayedMember struct {
	Member
	StartID      string `json:"start"`
	Advertisable bool   `json:"prompt,omitempty"`
	// Stale means that the member is taken for gone; Version is that of its row then.
	Stale   bool   `json:"lapsed,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Encode returns t as a value that ApplyRelayed reads.
func (t RelayedMember) Encode() (json.RawMessage, error) { return json.Marshal(t) }

// RelayedMembers returns what the view tells of all members at now, in no order, as seen by the
// one named self.
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

// ApplyRelayed takes what another instance told of members, at at.
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
			first = errors.Join(first, fmt.Errorf("membership: told of %s: %w", name, err))
			continue
		}
		t.Member.Name, t.Member.StartID, t.Member.Advertisable = name, t.StartID, t.Advertisable
		v.set(name, &seen{Member: v.members[name].same(t.Member), told: true, lapsed: t.Stale, version: t.Version, ttl: forever, changedAt: at})
	}
	return first
}
