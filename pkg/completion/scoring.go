package completion

// UnscoredGroup is what is left of a group whose texts are scored.
type UnscoredGroup struct {
	Ready   []int // indexes of the items whose text waits to be scored
	Missing int   // items without a result, including those of Ready
	Carried bool  // the trainer waits for it whatever else is complete
}

// ScoringState is what is left of a step whose texts are scored.
type ScoringState struct {
	Groups   []UnscoredGroup // those that are not complete
	Complete int             // groups complete
	Desired  int             // groups that the trainer waits for; 0 for all
}

// ScoringOrder returns the indexes of the items whose text waits to be scored, those to be
// scored first in front: the groups that the trainer waits for before others, and of each
// kind those with the fewest items missing, one group after the other. The groups that the
// trainer waits for are the carried ones and then those with the fewest items missing.
//
// A scorer that takes fewer calls than texts wait would otherwise score some texts of each
// group and complete none.
func ScoringOrder(s ScoringState) []int {
	groups, ready := make([]group, len(s.Groups)), 0
	for i, g := range s.Groups {
		groups[i] = group{index: i, work: float64(g.Missing), waitedFor: g.Carried}
		ready += len(g.Ready)
	}
	sortByWork(groups, s.Complete, s.Desired)
	out := make([]int, 0, ready)
	for _, waitedFor := range []bool{true, false} {
		for _, g := range groups {
			if g.waitedFor == waitedFor {
				out = append(out, s.Groups[g.index].Ready...)
			}
		}
	}
	return out
}
