// Package engine is a client for model engines: it streams generations, orders engines to
// load weight versions under a fencing token, and reads their load reports.
//
// The protocol is HTTP with JSON bodies:
//
//	POST /v1/generate   a GenerateRequest; responds with newline-delimited Chunks,
//	                    with LoadHeader if the engine reports its load
//	POST /v1/load       a LoadOrder; 409 if its fencing token is stale
//	GET  /v1/load       a LoadReport
//	GET  /v1/requests/{id}  a RequestStatus; 404 from an engine that does not report it
package engine

import "time"

// Priority is the order in which an engine serves requests; higher runs first.
type Priority int

// Priorities of the classes of callers.
const (
	PriorityTraining    Priority = 1 // trainers
	PriorityBackground  Priority = 2 // internal services
	PriorityInteractive Priority = 3 // people who wait for the answer
)

// GenerateRequest asks an engine for up to MaxTokens tokens after Prompt.
type GenerateRequest struct {
	RequestID string   `json:"request_id"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Priority  Priority `json:"priority"`
}

// Chunk is one piece of a streamed generation. WeightVersion is the weight version that
// produced Text. The last Chunk has Done set, and in Index the number of chunks with
// text.
type Chunk struct {
	RequestID     string `json:"request_id"`
	Index         int    `json:"index"` // number of chunks before this one
	Text          string `json:"text,omitempty"`
	WeightVersion uint64 `json:"weight_version"`
	Done          bool   `json:"done,omitempty"`
	Error         string `json:"error,omitempty"`
}

// LoadOrder orders an engine to load weight Version. Fencing is the fencing token of
// the sender's lease. An engine that checks it refuses an order with a lower token than
// that of one it has accepted.
type LoadOrder struct {
	Version uint64 `json:"version"`
	Fencing uint64 `json:"fencing"`
}

// LoadReport is an engine's report of its load. It may be out of date: At is the time
// it was taken.
type LoadReport struct {
	Active        int       `json:"active"`
	Queued        int       `json:"queued"`
	Leaving       bool      `json:"leaving,omitempty"` // accepts no new work
	Loading       bool      `json:"loading,omitempty"` // a load order is in progress
	WeightVersion uint64    `json:"weight_version"`
	ChecksFencing bool      `json:"checks_fencing"`
	CacheHits     int64     `json:"cache_hits"`   // prompts whose prefix was cached
	CacheMisses   int64     `json:"cache_misses"` // prompts whose prefix was not
	At            time.Time `json:"at"`
}
