package membership

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// Relayed is what an instance that reads the members' rows tells of a member to one that
// does not. Who is told sees no renewals, and leaves it to the other to judge which
// rows have stood for too long.
type Relayed struct {
	Member
	Start  string `json:"start"`
	Prompt bool   `json:"prompt,omitempty"`
	// Lapsed means that the member is taken for gone; Version is that of its row then.
	Lapsed  bool   `json:"lapsed,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// Encode returns t as a value that ApplyRelayed reads.
func (t Relayed) Encode() (json.RawMessage, error) { return json.Marshal(t) }

// Relay returns what the view tells of all members at now, in no order, as seen by the
// one named self.
func (v *View) Relay(now time.Time, self string) []Relayed {
	live := v.Roster(now, self)
	out := make([]Relayed, 0, len(v.members))
	for _, s := range v.members {
		t := Relayed{Member: *s.Member, Start: s.Start, Prompt: s.Prompt}
		if !live.HasStart(s.Start) {
			t.Lapsed, t.Version = true, s.version
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
		var t Relayed
		if err := json.Unmarshal(ch.Value, &t); err != nil {
			first = errors.Join(first, fmt.Errorf("membership: told of %s: %w", name, err))
			continue
		}
		t.Member.Name, t.Member.Start, t.Member.Prompt = name, t.Start, t.Prompt
		v.set(name, &seen{Member: v.members[name].same(t.Member), told: true, lapsed: t.Lapsed, version: t.Version, ttl: forever, changedAt: at})
	}
	return first
}
