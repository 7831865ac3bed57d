// Package carryover keeps the texts that were generated for groups which were not
// complete when their submission ended. A later submission with the same items resumes
// the texts instead of generating them again.
package carryover

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// Text is the text of an item, or the part of it that was generated.
type Text struct {
	Item string `json:"item"`
	// Request identifies the item's request. A text is used only for an equal request.
	Request string `json:"request"`
	// Text is the data of the events up to After. A complete text may have the data of
	// all events, joined by line feeds, as its only element.
	Text []string `json:"text"`
	// After is the ID of the last event; 0 for a complete text if it is not known.
	After    int      `json:"after"`
	Versions []uint64 `json:"versions,omitempty"` // weight versions that generated an event, in ascending order
	Complete bool     `json:"complete,omitempty"` // all events are present; only the score is missing
}

// Usable returns the texts that a submission may use: those without a version below
// minVersion and, with singleVersion, of one version only. A text whose versions are not
// known is usable only where neither is required.
func Usable(texts []Text, minVersion uint64, singleVersion bool) []Text {
	var out []Text
	for _, t := range texts {
		switch {
		case len(t.Versions) == 0:
			if minVersion > 0 || singleVersion {
				continue
			}
		case slices.Min(t.Versions) < minVersion, singleVersion && len(t.Versions) > 1:
			continue
		}
		out = append(out, t)
	}
	return out
}

// Requirements are what a submission asks of the texts that it may resume.
type Requirements struct {
	MinVersion    uint64
	SingleVersion bool
	// Target is the target version of the model, 0 if it has none. An incomplete text of
	// one version can only be finished by an engine that holds that version, and engines
	// leave those below the target.
	Target uint64
}

// Allowed returns the texts that a submission with requirements r may resume.
func (r Requirements) Allowed(texts []Text) []Text {
	return slices.DeleteFunc(Usable(texts, r.MinVersion, r.SingleVersion), func(t Text) bool {
		return r.SingleVersion && !t.Complete && t.Versions[0] < r.Target
	})
}

// valid reports whether t can be resumed or, if it is complete, delivered.
func (t Text) valid() bool {
	for i, v := range t.Versions {
		if v == 0 || i > 0 && v <= t.Versions[i-1] {
			return false
		}
	}
	if t.Item == "" || t.Request == "" || len(t.Text) == 0 || t.After < 0 {
		return false
	}
	return t.Complete || t.After == len(t.Text)
}

// size estimates the memory that t takes, in bytes.
func (t Text) size() int {
	n := textOverhead + len(t.Item) + len(t.Request) + 8*len(t.Versions)
	for _, s := range t.Text {
		n += stringOverhead + len(s)
	}
	return n
}

// Sizes of a Text and of a string without their contents, in bytes.
const (
	textOverhead   = 128
	stringOverhead = 16
)

// Key identifies the submissions among which texts are carried. Host and Path are empty
// if Model is set.
type Key struct {
	Model    string `json:"model,omitempty"`
	Host     string `json:"host,omitempty"`
	Path     string `json:"path,omitempty"`
	Customer string `json:"customer,omitempty"`
}

// objectPrefix is the prefix of the names of objects that hold a Record.
const objectPrefix = "carried-"

// ObjectName returns the name of the object that holds the Record of k.
func (k Key) ObjectName() string {
	h := sha256.New()
	for _, s := range []string{k.Model, k.Host, k.Path, k.Customer} {
		// The length makes the boundaries of the fields part of the hash.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	return objectPrefix + hex.EncodeToString(h.Sum(nil)[:16])
}

// Record is what a submission left when it ended.
type Record struct {
	Key
	Submission string   `json:"submission"`
	Items      []string `json:"items"` // IDs of all items of the submission
	Texts      []Text   `json:"texts"`
}

// size estimates the memory that r takes, in bytes.
func (r Record) size() int {
	n := 0
	for _, id := range r.Items {
		n += stringOverhead + len(id)
	}
	for _, t := range r.Texts {
		n += t.size()
	}
	return n
}

// truncated returns r without the last texts that exceed limit bytes.
func (r Record) truncated(limit int) Record {
	left := limit - Record{Items: r.Items}.size()
	for i, t := range r.Texts {
		if left -= t.size(); left < 0 {
			r.Texts = slices.Clip(r.Texts[:i])
			break
		}
	}
	return r
}
