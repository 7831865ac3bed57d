package quarantine

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind is the kind of a Fact. Its values are part of the keys of rows.
type Kind string

// The kinds of facts.
const (
	Crash Kind = "end"   // an upstream process crashed while it ran the content
	Trial Kind = "trial" // an instance has claimed a trial of the content
)

// Fact is a crash or a claimed trial of a content. It holds for all instances.
type Fact struct {
	Content Fingerprint
	Kind    Kind
	Subject string // the upstream process that crashed, or the number of the trial
}

// trial returns the fact that the trial of a content with the given number, from 1 on,
// is claimed.
func trial(f Fingerprint, number int) Fact {
	return Fact{Content: f, Kind: Trial, Subject: strconv.Itoa(number)}
}

// Key returns the part of the row key that identifies f.
func (f Fact) Key() string { return f.Content.String() + "/" + string(f.Kind) + "/" + f.Subject }

// ParseKey parses the result of Fact.Key.
func ParseKey(key string) (Fact, error) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) != 3 || parts[2] == "" || Kind(parts[1]) != Crash && Kind(parts[1]) != Trial {
		return Fact{}, fmt.Errorf("quarantine: invalid fact key %q", key)
	}
	content, err := ParseFingerprint(parts[0])
	return Fact{Content: content, Kind: Kind(parts[1]), Subject: parts[2]}, err
}

// Row is a fact as stored in the platform's store.
type Row struct {
	Fact
	Version uint64
	Deleted bool
	// UnlikelyCause reports, for a crash, that the content ran for too short or too
	// long to be a likely cause.
	UnlikelyCause bool
	// UnrelatedCrashes holds, for a crash, the upstream processes that crashed at the
	// same moment and did not run the content, as far as the writer knew.
	UnrelatedCrashes []string
}
