package snapshot_test

import (
	"slices"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/snapshot"
	"github.com/zinnialadder/zinnialadder/pkg/usage"
)

// Guards against a state whose reports change their order when its duties are asked for,
// as would what is printed of it afterwards.
func TestDutiesLeavesStateUnchanged(t *testing.T) {
	st := snapshot.State{Reports: []usage.Report{{Window: 7}, {Window: 3}, {Window: 5}}}
	d := st.Duties()
	windows := func(reports []usage.Report) (out []usage.Window) {
		for _, r := range reports {
			out = append(out, r.Window)
		}
		return out
	}
	if got := windows(st.Reports); !slices.Equal(got, []usage.Window{7, 3, 5}) {
		t.Errorf("reports of the state are %v after Duties, want 7, 3, 5 as before", got)
	}
	if got := windows(d.Reports); !slices.Equal(got, []usage.Window{3, 5, 7}) || !slices.Equal(d.Missing, []usage.Window{4, 6}) {
		t.Errorf("Duties has reports %v and missing windows %v, want 3, 5, 7 and 4, 6", got, d.Missing)
	}
}
