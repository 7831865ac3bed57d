package delivery

import (
	"encoding/json"
	"math"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/trainer"
)

// prefix goes before the keys of records.
const prefix = "delivery/"

// Key returns the key of the record of the samples named id.
func Key(id string) string { return prefix + id }

// Record is the record of samples awaiting their trainer's
// acknowledgement, in the platform's table. It is created before the first
// send and deleted once the trainer holds the samples, so that the rows
// present are exactly the samples to deliver again after a failure. The
// trainer keys samples by ID, so a second send is never learned twice.
type Record struct {
	Key     string           `json:"-"`
	Samples []trainer.Sample `json:"samples"`
	Trainer string           `json:"trainer"`
	Entry   string           `json:"entry"` // the catalogue entry the samples are for
	// MaxVersionLag is the entry's bound when the record was made.
	MaxVersionLag uint64    `json:"max_version_lag"`
	Holder        string    `json:"holder"` // the instance and request that created it
	CreatedAt     time.Time `json:"created_at"`
}

// oldest returns the oldest weight version that produced any of d's
// samples, or 0 if a sample names none.
func (d Record) oldest() uint64 {
	oldest := uint64(math.MaxUint64)
	for _, s := range d.Samples {
		oldest = min(oldest, s.OldestVersion())
	}
	return oldest
}

// wrote reports whether row was written by the request that made d.
func (d Record) wrote(row platform.Row) bool {
	var other Record
	return json.Unmarshal(row.Value, &other) == nil && other.Holder == d.Holder
}
