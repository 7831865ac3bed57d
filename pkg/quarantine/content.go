// Package quarantine finds requests that crash the upstreams that run them, and limits
// how often such a request runs.
//
// A request is identified by a fingerprint of its content, since clients send it again
// under other IDs and to other instances. Each upstream that crashes while it runs a
// content counts against that content until an upstream answers it. A content with too
// many crashes is in quarantine: it runs only in trials, whose number is limited across
// all instances.
//
// A CrashTracker decides without I/O. A Guard applies its decisions to the requests
// that an instance sends. Crashes and claimed trials are Facts, which instances share
// as rows of the platform's store; a Syncer writes these.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Content is the part of a request that an upstream works on. It excludes what differs
// between attempts, such as IDs and deadlines.
type Content struct {
	Method string
	Host   string
	URI    string // path and query
	Model  string // empty for a plain service
	Body   []byte
}

// Fingerprint identifies a Content.
type Fingerprint [16]byte

// Fingerprint returns the first 16 bytes of a SHA-256 hash of c.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, s := range []string{c.Method, c.Host, c.URI, c.Model} {
		writeField(h, []byte(s))
	}
	writeField(h, c.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// writeField writes b after its length, so that the boundaries of fields are part of
// the hash.
func writeField(h hash.Hash, b []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	h.Write(n[:])
	h.Write(b)
}

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of Fingerprint.String.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, fmt.Errorf("quarantine: invalid fingerprint %q", s)
	}
	copy(f[:], b)
	return f, nil
}
