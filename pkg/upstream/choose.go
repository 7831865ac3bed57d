package upstream

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/route"
)

const (
	// remotePenalty is added to the load, as a fraction of its slots, of an upstream in
	// another data centre: traffic between data centres is billed, and its round trip
	// takes longer. Plain calls in contended pools have crossingPenalty
	// instead.
	remotePenalty = 0.1
	// affinitySlack is how much more loaded, as a fraction of its slots, an upstream
	// may be and still be preferred because it has processed the request's prompt
	// before.
	affinitySlack = 0.4
)

// Requirements states what a request requires of its upstream.
type Requirements struct {
	Pool    string
	Now     time.Time
	Exclude []string // IDs of upstreams that must not be chosen

	// Model and MinVersion restrict the weight version: the upstream must hold
	// MinVersion of Model or a newer one. An empty Model means no restriction.
	Model      string
	MinVersion uint64
	// MaxVersion is the newest version that the upstream may hold; 0 for any.
	MaxVersion uint64

	// Newest is the newest version of Model, 0 if unknown. Engines that hold an older one
	// may be loading it.
	Newest uint64

	// Outdated requests an upstream whose version is believed to be older than
	// MinVersion, to check whether it still is.
	Outdated bool

	// Affinity identifies what requests share, such as a prompt. It is empty for none.
	Affinity string
	// NeedFreeSlot excludes upstreams whose slots are all taken by this process's own
	// requests, so that the request waits instead.
	NeedFreeSlot bool
	// MaxLoad excludes upstreams that have at least MaxLoad requests per slot, by the
	// requests of this process and the last load received. 0 means no limit.
	MaxLoad float64

	// Work is the request's estimated work relative to the mean request of the pool; 0
	// for that of the mean request. Units is the number of units, as in
	// AttemptResult.TimePerUnit, of the mean request; 0 for 1. Both are used in contended
	// pools only.
	Work, Units float64

	// Once marks a request that must not be sent again after it has failed. It avoids
	// upstreams that fail requests more than others do. It is used in contended pools only.
	Once bool
	// Copy marks a copy of a plain call that takes longer than usual at another upstream. It is
	// used in contended pools only.
	Copy bool
	// Tokens is how many tokens of an upstream's memory the request is expected to take
	// up; 0 if unknown. In contended pools, an upstream is sent no request that exceeds
	// its memory, unless that is the only one there.
	Tokens int
	// First identifies the request if it goes before all others of its submission that
	// wait. An upstream that has too little memory for it takes only a few of the others
	// ahead of it. It is empty for other requests.
	First string
}

// Candidate is an upstream that may be chosen for a request.
type Candidate struct {
	ID       string
	Load     int // estimated requests at the upstream, including this process's own
	InFlight int // requests sent by this process
	Slots    int
	Slowness float64 // ratio of its time per unit of work to the usual one, at least 1
	Local    bool    // in the same data centre as this instance
}

// full reports whether a candidate of a contended pool has no slot for a request.
func (c Candidate) full(req Requirements) bool {
	return req.NeedFreeSlot && c.InFlight >= c.Slots || req.MaxLoad > 0 && float64(c.Load) >= req.MaxLoad*float64(c.Slots)
}

// Choose returns the index of the candidate for a request, or -1 if there is none. It
// prefers the candidate that is expected to serve the request soonest, judging by load
// relative to slots and by slowness. Among those about equal it takes the one that
// rendezvous hashing ranks first for the affinity.
//
// This spreads a batch whose items all start at once evenly over the upstreams, and
// gives upstreams that have become slow only what finds no slot elsewhere.
func Choose(candidates []Candidate, req Requirements) int {
	scored := make([]route.Candidate, 0, len(candidates))
	index := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if req.NeedFreeSlot && float64(c.InFlight) >= float64(c.Slots)/max(c.Slowness, 1) {
			continue // a slow upstream gets only as many requests as it serves in the usual time
		}
		if req.MaxLoad > 0 && float64(c.Load) >= req.MaxLoad*float64(c.Slots) {
			continue
		}
		load := cost(c)
		if !c.Local {
			load += remotePenalty
		}
		scored = append(scored, route.Candidate{Key: c.ID, Load: load})
		index = append(index, i)
	}
	best := route.Policy{Slack: affinitySlack}.Pick(scored, req.Affinity)
	if best < 0 {
		return -1
	}
	return index[best]
}

// cost estimates when a candidate will have served one more request. While an upstream
// has free slots its time per request hardly depends on its load, so a slow upstream
// with free slots must rank after every other upstream that has one. Without that rule,
// with two of nine engines 3.2 times slower, texts moved away from a slow engine were
// sent back to it immediately, 209 times in a day.
func cost(c Candidate) float64 {
	load, slowness := float64(c.Load+1)/float64(c.Slots), max(c.Slowness, 1)
	return load*slowness + (slowness-1)*max(load, 1)
}
