// Package engine speaks to model engines: it streams generations, orders
// engines to load weight versions under a fencing number, and reads their
// load reports.
//
// The protocol is HTTP with JSON bodies:
//
//	POST /v1/generate   a GenerateRequest; answers newline-delimited Chunks,
//	                    with LoadHeader where the engine tells its load
//	POST /v1/load       a LoadOrder; 409 if its fencing number is stale
//	GET  /v1/load       a LoadReport
//	GET  /v1/requests/{id}  a RequestStatus; 404 from an engine that tells none
package engine

import "time"

// Priority orders work at an engine; higher runs first.
type Priority int

// Priorities of the brief's callers.
const (
	PriorityTraining    Priority = 1 // trainers' rollouts
	PriorityBackground  Priority = 2 // internal services
	PriorityInteractive Priority = 3 // desk agents and families on live calls
)

// GenerateRequest asks an engine for up to MaxTokens tokens after Prompt.
type GenerateRequest struct {
	RequestID string   `json:"request_id"`
	Prompt    string   `json:"prompt"`
	MaxTokens int      `json:"max_tokens"`
	Priority  Priority `json:"priority"`
}

// Chunk is one piece of a streamed generation. WeightVersion is the weight
// version that produced Text. The last Chunk has Done set, and as Index the
// number of chunks with text.
type Chunk struct {
	RequestID     string `json:"request_id"`
	Index         int    `json:"index"` // chunks before this one in the stream
	Text          string `json:"text,omitempty"`
	WeightVersion uint64 `json:"weight_version"`
	Done          bool   `json:"done,omitempty"`
	Error         string `json:"error,omitempty"`
}

// LoadOrder tells an engine to load weight Version. Fencing is the order
// giver's lease fencing number; an engine that checks it refuses an order
// whose number is lower than one it has already obeyed.
type LoadOrder struct {
	Version uint64 `json:"version"`
	Fencing uint64 `json:"fencing"`
}

// LoadReport is an engine's account of its load. It lags: At says when it
// was taken.
type LoadReport struct {
	Active        int       `json:"active"`
	Queued        int       `json:"queued"`
	Leaving       bool      `json:"leaving,omitempty"` // takes no new work
	Loading       bool      `json:"loading,omitempty"` // a load order is being carried out
	WeightVersion uint64    `json:"weight_version"`
	ChecksFencing bool      `json:"checks_fencing"`
	CacheHits     int64     `json:"cache_hits"`   // prompts whose prefix was cached
	CacheMisses   int64     `json:"cache_misses"` // prompts whose prefix was not
	At            time.Time `json:"at"`
}
