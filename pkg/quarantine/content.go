// Package quarantine finds requests that crash the upstreams that run them, and
// keeps them from being run again and again.
//
// A request is known by its content, since it comes again under other IDs and at
// other instances. Each upstream that ends while it runs a content counts against
// that content, until an upstream answers it. A content that has ended too many is in
// quarantine: it runs in trials only, of which there are few among all instances.
//
// A Ledger decides, without input or output. A Guard stands between a Ledger and
// those who send requests. What a Ledger counts are facts, which instances share as
// rows of the platform's store.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Content is the part of a request that an upstream works on. What differs from one
// attempt to the next, such as IDs and deadlines, is no part of it.
type Content struct {
	Method string
	Host   string
	URI    string // path and query
	Model  string // empty for a plain service
	Body   []byte
}

// Fingerprint identifies a Content.
type Fingerprint [16]byte

// Fingerprint returns the fingerprint of c.
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

// writeField writes b after its length, so that fields cannot run into one another.
func writeField(h hash.Hash, b []byte) {
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(b)))
	h.Write(n[:])
	h.Write(b)
}

// String returns f in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returned.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, fmt.Errorf("quarantine: %q is no fingerprint", s)
	}
	copy(f[:], b)
	return f, nil
}
