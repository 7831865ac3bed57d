package explain_test

import (
	"bytes"
	"slices"
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
		t.Fatalf("Read returned %d lines, %v, want 10 lines", len(ls), err)
	}
	return ls
}

// The timeline of a request has the lines that name it and its instance's lines on
// its upstream and on the store near that time, and no others.
func TestFindRequest(t *testing.T) {
	e, ok := explain.Find(lines(t), "r1")
	if !ok || len(e.Lines) != 4 || !strings.Contains(e.Cause, `request at 10:00:02.500 on a`) || !strings.Contains(e.Cause, "may_have_run") {
		t.Fatalf("Find = %+v, %v, want 4 lines and the failed request as cause", e, ok)
	}
	var out bytes.Buffer
	if err := e.Write(&out); err != nil {
		t.Fatal(err)
	}
	if text := out.String(); strings.Count(text, "\n> ") != 2 || strings.Index(text, "store lost") > strings.Index(text, "attempt failed") {
		t.Fatalf("text has not 2 marked lines, or they are out of order:\n%s", text)
	}
}

// The timeline of an item includes its submission's lines, and its cause gives the
// outcome and the failure before it.
func TestFindItem(t *testing.T) {
	e, ok := explain.Find(lines(t), "x1")
	if !ok || len(e.Lines) != 3 || !strings.Contains(e.Cause, "i4") || !strings.Contains(e.Cause, "stream broke off") {
		t.Fatalf("Find = %+v, %v, want 3 lines and a cause with i4 and the interrupted stream", e, ok)
	}
	if _, ok := explain.Find(lines(t), "nothing"); ok {
		t.Fatal("Find found an ID that no line names")
	}
}

const runsText = `time=10:00:00.000 level=info msg="submission kept" node=a submission=l1 items=2
time=10:00:02.500 level=info msg="submission runs no more" node=a submission=l1 model=m step=3 owner_after=50ms took=2.4s waited=400ms generating=2s interrupted=0s scoring=0s writing=0s attempts=5 refused=2 err="lost"
time=10:00:05.000 level=info msg="submission runs no more" node=b submission=l1 model=m step=3 owner_after=3s took=2s waited=100ms generating=1.5s interrupted=200ms scoring=100ms writing=100ms attempts=2 refused=0 err=null
time=10:00:05.500 level=info msg="submission ended" node=c submission=l1
time=10:00:01.000 level=warn msg="submission not kept" node=c submission=l2 err="no way"
time=10:00:06.000 level=info msg="submission kept" node=c submission=l3 items=2
`

// The phases add up to a submission's whole time, also with several owners. A
// submission that has not ended is left out, and a rejected one is counted.
func TestSummarize(t *testing.T) {
	ls, err := explain.Read(strings.NewReader(runsText))
	if err != nil {
		t.Fatal(err)
	}
	s := explain.Summarize(ls)
	if len(s.Submissions) != 1 || s.Rejections != 1 {
		t.Fatalf("Summarize = %+v, want 1 submission and 1 rejection", s)
	}
	c, sum := s.Submissions[0], time.Duration(0)
	for _, d := range c.Phases {
		sum += d
	}
	if c.Duration != 5500*time.Millisecond || sum != c.Duration || c.Runs != 2 || c.Attempts != 7 || c.EmptyAttempts != 2 {
		t.Fatalf("timing %+v with phases of %v in all, want 5.5s in 2 runs, 7 attempts, 2 of them empty", c, sum)
	}
	if c.Phases[explain.Generating] != 3500*time.Millisecond || c.Phases[explain.NoOwner] != 50*time.Millisecond || c.Phases[explain.Other] != 1050*time.Millisecond {
		t.Fatalf("phases %v, want 3.5s generating, 50ms without an owner, 1.05s of others", c.Phases)
	}
	var out bytes.Buffer
	if err := s.Write(&out, 5); err != nil || !strings.Contains(out.String(), "all 1") || !strings.Contains(out.String(), "rejected: 1") {
		t.Fatalf("Write: %v, text:\n%s", err, out.String())
	}
}

const tablesText = `time=10:00:00.000 level=info msg="submission kept" node=a submission=l1
time=10:00:00.000 level=info msg="submission kept" node=a submission=l2
time=10:00:00.000 level=info msg="submission kept" node=a submission=l3
time=10:00:02.000 level=info msg="submission runs no more" node=a submission=l1 model=m0 attempts=5 refused=2
time=10:00:02.000 level=info msg="submission runs no more" node=a submission=l2 model=m0 attempts=7 refused=1
time=10:00:02.000 level=info msg="submission ended" node=a submission=l1
time=10:00:04.000 level=info msg="submission ended" node=a submission=l2
time=10:00:04.000 level=info msg="submission ended" node=a submission=l3
time=10:00:05.000 level=info msg=request node=a request=r1 route=look customer=c1 status=200 verdict=ran took=10ms err=null
time=10:00:05.000 level=info msg=request node=a request=r2 route=look status=200 verdict=ran took=30ms err=null skipped=4
time=10:00:05.000 level=warn msg=request node=a request=r3 route=look status=0 verdict=not_run took=2ms err=full skipped=2
time=10:00:05.000 level=warn msg=request node=a request=r4 route=pay customer=c1 status=0 verdict=not_run took=2ms err=full
time=10:00:05.000 level=info msg=generated node=a submission=l1 item=x1 skipped=3
time=10:00:05.000 level=info msg=generated node=b submission=l1 item=x2 skipped=3
`

// Rejected requests take a few milliseconds and would hide how long served ones take, and
// a reader who did not know of skipped lines would take the logged requests for all.
func TestSummaryTables(t *testing.T) {
	ls, err := explain.Read(strings.NewReader(tablesText))
	if err != nil {
		t.Fatal(err)
	}
	s := explain.Summarize(ls)
	models := []explain.ModelTiming{
		{Submissions: 1, Took: explain.Distribution{P50: 4 * time.Second, P99: 4 * time.Second, Worst: 4 * time.Second}},
		{Model: "m0", Submissions: 2, Attempts: 12, EmptyAttempts: 3, Took: explain.Distribution{P50: 3 * time.Second, P99: 4 * time.Second, Worst: 4 * time.Second}},
	}
	routes := []explain.RequestTiming{
		{Name: "look", Requests: 3, Rejected: 1, Took: explain.Distribution{P50: 20 * time.Millisecond, P99: 30 * time.Millisecond, Worst: 30 * time.Millisecond}},
		{Name: "pay", Requests: 1, Rejected: 1},
	}
	customers := []explain.RequestTiming{{Name: "c1", Requests: 2, Rejected: 1, Took: explain.Distribution{P50: 10 * time.Millisecond, P99: 10 * time.Millisecond, Worst: 10 * time.Millisecond}}}
	if !slices.Equal(s.Models, models) || !slices.Equal(s.Routes, routes) || !slices.Equal(s.Customers, customers) {
		t.Errorf("models %+v, routes %+v and customers %+v, want %+v, %+v and %+v", s.Models, s.Routes, s.Customers, models, routes, customers)
	}
	var out bytes.Buffer
	if err := s.Write(&out, 5); err != nil || !strings.Contains(out.String(), "limits per second: failures 2, items 6, requests 4\n") {
		t.Errorf("Write: %v, want the skipped lines in the text:\n%s", err, out.String())
	}
	t.Log(out.String())
}
