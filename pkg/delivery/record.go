package delivery

import (
	"encoding/json"
	"math"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// prefix is the key prefix of records.
const prefix = "delivery/"

// Key returns the key of the record with ID id.
func Key(id string) string { return prefix + id }

// Record is a row of the platform's table that holds samples not yet acknowledged by their
// trainer. It is created before the first send and deleted after the acknowledgement, so
// that the existing rows are exactly the samples to send again after a failure. The trainer
// identifies samples by ID and does not train twice on a sample that is sent again.
type Record struct {
	Key     string           `json:"-"`
	Samples []trainer.Sample `json:"samples"`
	Trainer string           `json:"trainer"`
	Entry   string           `json:"entry"` // name of the samples' catalogue entry
	// MaxVersionLag is the entry's limit at the time the record was created.
	MaxVersionLag uint64    `json:"max_version_lag"`
	Holder        string    `json:"holder"` // ID of the attempt that created the record
	CreatedAt     time.Time `json:"created_at"`
}

// oldest returns the oldest weight version that produced any of r's samples, or 0 if a
// sample has no version.
func (r Record) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, s := range r.Samples {
		oldest = min(oldest, s.OldestVersion())
	}
	return oldest
}

// wrote reports whether row was written by the attempt that created r.
func (r Record) wrote(row platform.Row) bool {
	var other Record
	return json.Unmarshal(row.Value, &other) == nil && other.Holder == r.Holder
}
