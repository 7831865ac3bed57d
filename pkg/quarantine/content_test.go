package quarantine_test

import (
	"testing"

	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
)

// Contents that differ in one field have different fingerprints, also if the
// concatenations of their fields are equal.
func TestFingerprint(t *testing.T) {
	seen := map[quarantine.Fingerprint]int{}
	for i, c := range []quarantine.Content{
		{}, {Method: "POST"}, {Host: "POST"}, {URI: "/a/b"}, {Host: "/a", URI: "/b"}, {URI: "/a", Body: []byte("/b")}, {Model: "/a/b"}, {Body: []byte("/a/b")},
	} {
		f := c.Fingerprint()
		if j, ok := seen[f]; ok {
			t.Errorf("contents %d and %d have the same fingerprint", i, j)
		}
		seen[f] = i
		if back, err := quarantine.ParseFingerprint(f.String()); err != nil || back != f {
			t.Errorf("ParseFingerprint(%v): got %v, %v", f, back, err)
		}
	}
	for _, s := range []string{"", "00", "zz"} {
		if _, err := quarantine.ParseFingerprint(s); err == nil {
			t.Errorf("ParseFingerprint(%q): got nil error, want one", s)
		}
	}
}
