// Package completion decides in which order the waiting items of a step start when the
// engines may not generate all of the step until it is due, and in which order its texts
// are scored. It reads no clock and does no I/O.
package completion

import (
	"cmp"
	"slices"
	"time"
)

const (
	// usableShare is the share of the engines' time until a step is due that its texts
	// are expected to use. The rest is lost at the end, when the last texts leave slots
	// idle, and to errors of the length hints.
	usableShare = 0.9
	// criticalShare is the share of the time that the engines take for all work waited
	// for, above which the rest of a single text decides when that work ends. It is
	// below 1 since a text may be longer than its hint.
	criticalShare = 0.6
)

// Group is what is left of a group.
type Group struct {
	Items   []Item // that are not complete
	Carried bool   // the trainer waits for it whatever else is complete
}

// Item is a text that is not complete.
type Item struct {
	Index   int
	Left    float64 // estimated time that an engine still takes for it, in seconds
	Running bool
}

// State is what is left of a step.
type State struct {
	Groups   []Group       // those that are not complete
	Complete int           // groups complete
	Desired  int           // groups that the trainer waits for; 0 for all
	Slots    float64       // requests that the model's engines run at once
	Left     time.Duration // until the step is due; negative when it is late
}

// Outlook tells how much of a step can be complete when it is due.
type Outlook struct {
	// Short means that the groups that the trainer waits for cannot be complete in time.
	Short    bool
	InTime   int // groups that can be complete in time, including those that are
	Deferred int // groups that cannot
}

// rank is the position of a group in the order. Items of equal rank are ordered by
// length.
type rank int

const (
	first rank = 0       // of texts that may all start now, and of those that decide when the step ends
	last  rank = 1 << 30 // of the first group that the trainer does not wait for
)

// group is a group with what determines its place in an order.
type group struct {
	index     int
	work      float64 // that is left of it
	waitedFor bool
}

// Order returns the indexes of the items that wait, those to be started first in front.
//
// If all groups can be complete in time, the longest texts go first, since the step
// ends with one of them. If only the groups that the trainer waits for can, the longest
// texts of these go first. Otherwise the groups with the least work go first, one after
// the other, so that as many as possible are complete in time, but for texts so long
// that the step would end later if they did not start now. The groups that the trainer
// waits for are the carried ones and then those with the least work; the others follow
// them, one after the other.
func Order(s State) ([]int, Outlook) {
	groups := make([]group, len(s.Groups))
	for i, g := range s.Groups {
		groups[i] = group{index: i, waitedFor: g.Carried}
		for _, it := range g.Items {
			groups[i].work += it.Left
		}
	}
	sortByWork(groups, s.Complete, s.Desired)
	all, waitedFor := 0.0, 0.0
	for _, g := range groups {
		all += g.work
		if g.waitedFor {
			waitedFor += g.work
		} else {
			waitedFor += running(s.Groups[g.index]) // occupies slots until it ends
		}
	}
	room := usableShare * s.Slots * s.Left.Seconds()
	outlook := Outlook{Short: waitedFor > room}
	used := 0.0
	for _, g := range groups {
		if used += g.work; used > room {
			outlook.Deferred++
		}
	}
	outlook.InTime = s.Complete + len(groups) - outlook.Deferred

	ranks := make([]rank, len(groups))
	critical := criticalShare * waitedFor / max(s.Slots, 1)
	for i, g := range groups {
		switch {
		case all <= room:
		case !g.waitedFor:
			ranks[g.index] = last + rank(i)
		case outlook.Short:
			ranks[g.index] = rank(1 + i)
		}
	}
	return sorted(s, ranks, critical), outlook
}

// sortByWork sorts the groups of a step that are not complete by ascending work and marks
// those that the trainer waits for. The carried ones are marked already.
func sortByWork(groups []group, complete, desired int) {
	missing := len(groups)
	if desired > 0 {
		missing = desired - complete
	}
	for _, g := range groups {
		if g.waitedFor {
			missing--
		}
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Or(cmp.Compare(a.work, b.work), cmp.Compare(a.index, b.index)) })
	for i := range groups {
		if !groups[i].waitedFor && missing > 0 {
			groups[i].waitedFor = true
			missing--
		}
	}
}

// running returns the work of g's items that are running.
func running(g Group) float64 {
	work := 0.0
	for _, it := range g.Items {
		if it.Running {
			work += it.Left
		}
	}
	return work
}

// sorted returns the waiting items by the ranks of their groups, the longest of equal
// rank first. Those with at least critical seconds left are first, unless the trainer
// does not wait for their group.
func sorted(s State, ranks []rank, critical float64) []int {
	type entry struct {
		left  float64
		rank  rank
		index int
	}
	items := 0
	for _, g := range s.Groups {
		items += len(g.Items)
	}
	waiting := make([]entry, 0, items)
	for i, g := range s.Groups {
		for _, it := range g.Items {
			if it.Running {
				continue
			}
			r := ranks[i]
			if r < last && it.Left >= critical {
				r = first
			}
			waiting = append(waiting, entry{it.Left, r, it.Index})
		}
	}
	slices.SortFunc(waiting, func(a, b entry) int {
		switch {
		case a.rank != b.rank:
			return int(a.rank - b.rank)
		case a.left > b.left:
			return -1
		case a.left < b.left:
			return 1
		}
		return a.index - b.index
	})
	out := make([]int, len(waiting))
	for i, e := range waiting {
		out[i] = e.index
	}
	return out
}
