package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

const agreeingResults = `time=10:00:00.000 level=info msg="submission runs" node=a submission=l1 items=3 listed=0 begun=0 fencing=7
time=10:00:01.000 level=info msg=listed node=a submission=l1 position=0 events=2 fencing=7 objects=1 largest=70000 results=x1:aa,x2:bb
time=10:00:01.100 level=info msg="results read" node=b submission=l1 position=1 source=store results=x2:bb skipped=3
time=10:00:02.000 level=info msg="submission runs no more" node=a submission=l1 fencing=7 err="platform: unavailable"
time=10:00:03.000 level=info msg="submission runs" node=a submission=l1 items=3 listed=2 begun=1 fencing=7
time=10:00:04.000 level=info msg="submission runs" node=b submission=l1 items=3 listed=2 begun=1 fencing=9
time=10:00:05.000 level=info msg=listed node=b submission=l1 position=2 events=1 fencing=9 objects=0 largest=300 results=x3:cc
time=10:00:05.100 level=info msg="results read" node=b submission=l1 position=0 source=run results=x1:aa,x2:bb,x3:cc
time=10:00:05.200 level=info msg="results read" node=c submission=l2 position=0 source=cache results=x1:dd
`

func checkResults(t *testing.T, text string) explain.ResultCheck {
	t.Helper()
	ls, err := explain.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return explain.CheckResults(ls)
}

// Guards against a check that reports a conflict where there is none: an item may have
// other results in another submission, and runs follow each other.
func TestCheckResultsThatAgree(t *testing.T) {
	c := checkResults(t, agreeingResults)
	if len(c.Conflicts) != 0 || c.Skipped != 3 || c.Uses["listed"] != 3 || c.Uses["store"] != 1 || c.Uses["run"] != 3 || c.Uses["cache"] != 1 {
		t.Errorf("got conflicts %+v, %d lines skipped and uses %v, want none, 3 and 3 listed, 1 store, 3 run, 1 cache", c.Conflicts, c.Skipped, c.Uses)
	}
	if len(c.Submissions) != 2 {
		t.Fatalf("got %d submissions, want 2", len(c.Submissions))
	}
	s := c.Submissions[0]
	if s.ID != "l1" || s.Runs != 3 || s.Tokens != 2 || s.Listed != 3 || s.Objects != 1 || s.MostObjects != 1 || s.LargestBytes != 70000 {
		t.Errorf("got %+v, want 3 runs under 2 tokens, 3 results, 1 of them an object of 70000 bytes", s)
	}
	if len(s.Repeated) != 1 || s.Repeated[0].Began.Time != "10:00:03.000" || s.Repeated[0].Ended.Time != "10:00:02.000" {
		t.Errorf("got repeated runs %+v, want the one at 10:00:03 after the end at 10:00:02", s.Repeated)
	}
}

// Guards against a change of a result that was read and stays unnoticed: in a text, in a
// position, or by another item at the position.
func TestCheckResultsThatConflict(t *testing.T) {
	for name, tc := range map[string]struct {
		line    string
		want    explain.ResultConflictKind
		subject string
		uses    int
	}{
		"text":     {"position=1 source=cache results=x2:ee,x3:cc", explain.ItemWithResults, "x2", 4},
		"position": {"position=3 source=store results=x3:cc", explain.ItemAtPositions, "x3", 3},
		"item":     {"position=2 source=run results=x4:ff", explain.PositionWithItems, "2", 3},
	} {
		t.Run(name, func(t *testing.T) {
			c := checkResults(t, agreeingResults+"time=10:00:06.000 level=info msg=\"results read\" node=c submission=l1 "+tc.line+"\n")
			if len(c.Conflicts) != 1 {
				t.Fatalf("got %d conflicts, want 1: %+v", len(c.Conflicts), c.Conflicts)
			}
			got := c.Conflicts[0]
			if got.Kind != tc.want || got.Subject != tc.subject || got.Submission != "l1" || len(got.Uses) != tc.uses || got.Uses[tc.uses-1].Line.Time != "10:00:06.000" {
				t.Errorf("got %+v, want %s of %s in %d lines, the last one at 10:00:06", got, tc.want, tc.subject, tc.uses)
			}
			var out bytes.Buffer
			if err := c.Write(&out); err != nil {
				t.Fatal(err)
			}
			for _, want := range []string{string(tc.want) + ": " + tc.subject + " of submission l1", "fencing ", "conflicts: 1", "repeated run of l1", "70000"} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("the text lacks %q:\n%s", want, out.String())
				}
			}
		})
	}
}
