package explain_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

const logText = `some other program's line
time=10:00:01.000 level=info msg="store lost" node=a table=servers err="platform: unavailable"
edge-a | time=10:00:02.000 level=warn msg="attempt failed" node=a request=r1 route=lookup upstream=i1 attempt=1 status=0 took=450ms err="platform: no answer: EOF"
time=10:00:02.100 level=info msg=upstream node=a upstream=i1 pool=p draining=true
time=10:00:02.100 level=info msg=upstream node=b upstream=i1 pool=p draining=true
time=10:00:02.200 level=info msg=upstream node=a upstream=i2 pool=p draining=false
time=10:00:02.500 level=warn msg=request node=a request=r1 route=lookup status=0 verdict=may_have_run took=950ms err="no answer"
time=10:00:30.000 level=info msg="store regained" node=a table=servers away=29s
time=10:00:03.000 level=info msg="submission kept" node=b submission=l1 items=2
time=10:00:04.000 level=warn msg=generated node=c submission=l1 item=x1 upstream=i3 events=3 err="stream broke off"
time=10:00:05.000 level=info msg=generated node=c submission=l1 item=x1 upstream=i4 events=9
`

func lines(t *testing.T) []explain.Line {
	t.Helper()
	ls, err := explain.Read(strings.NewReader(logText))
	if err != nil || len(ls) != 10 {
		t.Fatal(len(ls), err)
	}
	return ls
}

// A request's timeline holds its own lines and what its instance believed of
// its upstream and of the store at the time, and nothing else.
func TestFindRequest(t *testing.T) {
	e, ok := explain.Find(lines(t), "r1")
	if !ok || len(e.Lines) != 4 || !strings.Contains(e.Cause, `request at 10:00:02.500 on a`) || !strings.Contains(e.Cause, "may_have_run") {
		t.Fatalf("%+v", e)
	}
	var out bytes.Buffer
	if err := e.Write(&out); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); strings.Count(text, "\n> ") != 2 || strings.Index(text, "store lost") > strings.Index(text, "attempt failed") {
		t.Fatal(text)
	}
}

// An item's timeline holds its submission's lines, and its cause tells how it
// ended and what had gone wrong before.
func TestFindItem(t *testing.T) {
	e, ok := explain.Find(lines(t), "x1")
	if !ok || len(e.Lines) != 3 || !strings.Contains(e.Cause, "i4") || !strings.Contains(e.Cause, "stream broke off") {
		t.Fatalf("%+v", e)
	}
	if _, ok := explain.Find(lines(t), "nothing"); ok {
		t.Fatal("found what is not there")
	}
}

const runsText = `time=10:00:00.000 level=info msg="submission kept" node=a submission=l1 items=2
time=10:00:02.500 level=info msg="submission runs no more" node=a submission=l1 model=m step=3 owner_after=50ms took=2.4s waited=400ms generating=2s interrupted=0s scoring=0s writing=0s attempts=5 refused=2 err="lost"
time=10:00:05.000 level=info msg="submission runs no more" node=b submission=l1 model=m step=3 owner_after=3s took=2s waited=100ms generating=1.5s interrupted=200ms scoring=100ms writing=100ms attempts=2 refused=0 err=null
time=10:00:05.500 level=info msg="submission ended" node=c submission=l1
time=10:00:01.000 level=warn msg="submission not kept" node=c submission=l2 err="no way"
time=10:00:06.000 level=info msg="submission kept" node=c submission=l3 items=2
`

// The parts of a submission's time add up to it over its owners; one that has not
// ended is left out, one turned away is counted.
func TestSummarize(t *testing.T) {
	ls, err := explain.Read(strings.NewReader(runsText))
	if err != nil {
		t.Fatal(err)
	}
	s := explain.Summarize(ls)
	if len(s.Submissions) != 1 || s.Rejections != 1 {
		t.Fatalf("%+v", s)
	}
	c, sum := s.Submissions[0], time.Duration(0)
	for _, d := range c.Phases {
		sum += d
	}
	if c.Duration != 5500*time.Millisecond || sum != c.Duration || c.Runs != 2 || c.Attempts != 7 || c.EmptyAttempts != 2 {
		t.Fatalf("%+v, parts add up to %v", c, sum)
	}
	if c.Phases[explain.Generating] != 3500*time.Millisecond || c.Phases[explain.NoOwner] != 50*time.Millisecond || c.Phases[explain.Other] != 1050*time.Millisecond {
		t.Fatalf("%+v", c.Phases)
	}
	var out bytes.Buffer
	if err := s.Write(&out, 5); err != nil || !strings.Contains(out.String(), "all 1") || !strings.Contains(out.String(), "turned away: 1") {
		t.Fatal(out.String(), err)
	}
}
