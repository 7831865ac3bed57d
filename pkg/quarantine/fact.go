package quarantine

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind is what a Fact tells.
type Kind string

// The kinds of facts.
const (
	Crash Kind = "end"   // an upstream ended while it ran the content
	Trial Kind = "trial" // an instance has claimed a trial of the content
)

// Fact is something that is known of a content, and holds for all instances.
type Fact struct {
	Content Fingerprint
	Kind    Kind
	Subject string // the start of the upstream, or the number of the trial
}

// trial returns the fact that a content's trial of a number, from 1 on, is claimed.
func trial(f Fingerprint, number int) Fact {
	return Fact{Content: f, Kind: Trial, Subject: strconv.Itoa(number)}
}

// Key returns the part of the fact's key that identifies it.
func (f Fact) Key() string { return f.Content.String() + "/" + string(f.Kind) + "/" + f.Subject }

// ParseKey reads what Key returned.
func ParseKey(key string) (Fact, error) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) != 3 || parts[2] == "" || Kind(parts[1]) != Crash && Kind(parts[1]) != Trial {
		return Fact{}, fmt.Errorf("quarantine: %q is no fact", key)
	}
	content, err := ParseFingerprint(parts[0])
	return Fact{Content: content, Kind: Kind(parts[1]), Subject: parts[2]}, err
}

// Row is a fact as the platform's store has it.
type Row struct {
	Fact
	Version uint64
	Deleted bool
	// Of an end: that the content ran for too short or too long to be likely to have
	// caused it, and the starts of upstreams that ended at the same moment and did not run
	// it, as far as the writer knew.
	UnlikelyCause    bool
	UnrelatedCrashes []string
}
