package upstream

import (
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/route"
)

const (
	// farPenalty is how much more loaded, as a part of its slots, an upstream
	// of another data centre counts: bytes between data centres are paid for,
	// and the way there and back takes a few milliseconds.
	farPenalty = 0.1
	// affinitySlack is how much more loaded, as a part of its slots, an
	// upstream may be and still be chosen for the prompt that it has read.
	affinitySlack = 0.4
)

// Requirements says what a request needs of an upstream.
type Requirements struct {
	Pool    string
	Now     time.Time
	Exclude []string // upstreams that are not to be chosen

	// Model and MinVersion bound the weight version; an empty Model does not.
	Model      string
	MinVersion uint64

	// Outdated asks for an upstream whose version is believed to be older than
	// MinVersion, to find out whether it still is.
	Outdated bool

	// Affinity names what requests share, such as a prompt; empty for none.
	Affinity string
	// NeedFreeSlot means that the request waits rather than be sent to an upstream
	// at which all slots are taken by this process's own requests.
	NeedFreeSlot bool
}

// Candidate is an upstream that may take a request.
type Candidate struct {
	ID       string
	Load     int // requests it is believed to hold, this process's own included
	InFlight int // this process's own
	Slots    int
	Slowness float64 // times the usual time that it takes, at least 1
	Local    bool    // in this instance's data centre
}

// Choose returns the index of the candidate for a request, or -1 if none may
// take it: the one where it is expected to be served soonest, counting load
// against slots and how slow the upstream has been, and among those about
// equal the one that the affinity ranks first. It answers the load of a batch
// whose items all start at once, which spreads evenly over the upstreams, and
// of upstreams that have turned slow, which get what finds no slot elsewhere.
func Choose(cands []Candidate, w Requirements) int {
	scored := make([]route.Candidate, 0, len(cands))
	index := make([]int, 0, len(cands))
	for i, c := range cands {
		if w.NeedFreeSlot && float64(c.InFlight) >= float64(c.Slots)/max(c.Slowness, 1) {
			continue // a slow one is given what it serves in the usual time
		}
		load := cost(c)
		if !c.Local {
			load += farPenalty
		}
		scored = append(scored, route.Candidate{Key: c.ID, Load: load})
		index = append(index, i)
	}
	best := route.Policy{Slack: affinitySlack}.Pick(scored, w.Affinity)
	if best < 0 {
		return -1
	}
	return index[best]
}

// cost orders candidates by when they are expected to have served one more
// request. While slots are free an upstream takes about the same time whatever
// its load, so that a slow one with free slots comes after every other that has
// one: of nine engines two of which took 3.2 times as long, texts that left one of
// them went back to it in the next moment, 209 times in a day.
func cost(c Candidate) float64 {
	load, slowness := float64(c.Load+1)/float64(c.Slots), max(c.Slowness, 1)
	return load*slowness + (slowness-1)*max(load, 1)
}
