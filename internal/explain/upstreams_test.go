package explain_test

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

const upstreamsText = `time=10:00:00.000 level=info msg=upstream node=a upstream=p1 pool=plain
time=10:00:00.000 level=info msg=upstream node=a upstream=p3 pool=plain
time=10:00:00.000 level=info msg=upstream node=a upstream=e1 pool=engines
time=10:00:01.000 level=warn msg="attempt failed" node=a request=r1 route=look upstream=p1 attempt=1 status=0 took=2ms err="forward: not run: status 503"
time=10:00:01.000 level=warn msg="attempt failed" node=a request=r1 route=look upstream=p2 attempt=2 status=500 took=30ms err=null
time=10:00:01.000 level=info msg=request node=a request=r1 route=look status=500 verdict=ran took=32ms err=null upstream=p2 attempt=2 attempt_took=30ms
time=10:00:02.000 level=info msg=request node=a request=r2 route=look status=200 verdict=ran took=100ms err=null upstream=p1 attempt=2 attempt_took=10ms copies=1 copy_won=true superseded=p2
time=10:00:03.000 level=info msg=request node=a request=older route=look status=200 verdict=ran took=100ms err=null
time=10:00:04.000 level=info msg=generating node=a submission=s item=x1 upstream=e1 err=null
time=10:00:04.500 level=warn msg=generated node=a submission=s item=x1 upstream=e1 events=5 err="submission: another engine is faster"
time=10:00:04.500 level=info msg=moved node=a submission=s item=x1 upstream=e2 err=null
time=10:00:04.700 level=info msg=generated node=a submission=s item=x1 upstream=e2 events=9 err=null
time=10:00:05.000 level=warn msg=generated node=a submission=s item=x2 upstream=e2 events=0 err="forward: not run: status 503"
time=10:00:06.000 level=info msg=generated node=a submission=s item=x3 upstream=e2 events=7 err=null took=300ms
time=10:00:07.000 level=info msg=generating node=a submission=s item=x4 upstream=e1 err=null
time=10:00:08.000 level=info msg=request node=a request=r3 route=other status=200 verdict=ran took=20ms err=null upstream=u1
`

// Guards against attempts that count twice because both their begin and end, or both the
// failed attempt and its request, have a line, against moved texts and refusals that count
// as failures, and against upstreams without a pool where a limit left its line out.
func TestByUpstream(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(upstreamsText))
	if err != nil {
		t.Fatal(err)
	}
	s := explain.Summarize(lines)
	same := func(d time.Duration) explain.Distribution { return explain.Distribution{P50: d, P99: d, Worst: d} }
	upstreams := []explain.UpstreamTiming{
		{Upstream: "u1", Attempts: 1, Took: same(20 * time.Millisecond)},
		{Upstream: "e1", Pool: "engines", Attempts: 2, Took: same(500 * time.Millisecond), Share: 2.0 / 3},
		{Upstream: "e2", Pool: "engines", Attempts: 3, Refused: 1, Took: explain.Distribution{P50: 250 * time.Millisecond, P99: 300 * time.Millisecond, Worst: 300 * time.Millisecond}, Share: 1.0 / 3},
		{Upstream: "p2", Pool: "plain", Attempts: 2, Failed: 1, Took: same(30 * time.Millisecond), Share: 6.0 / 7},
		{Upstream: "p1", Pool: "plain", Attempts: 2, Refused: 1, Took: same(10 * time.Millisecond), Share: 1.0 / 7},
		{Upstream: "p3", Pool: "plain"},
	}
	pools := []explain.PoolTiming{{Upstreams: 1, Attempts: 1}, {Pool: "engines", Upstreams: 2, Attempts: 5, BusiestToMean: 4.0 / 3}, {Pool: "plain", Upstreams: 3, Idle: 1, Attempts: 4, BusiestToMean: 12.0 / 7}}
	if !slices.Equal(s.Upstreams, upstreams) || !slices.Equal(s.Pools, pools) {
		t.Errorf("got upstreams %+v and pools %+v, want %+v and %+v", s.Upstreams, s.Pools, upstreams, pools)
	}
	var out bytes.Buffer
	if err := s.Write(&out, 5); err != nil || !strings.Contains(out.String(), "66.7 %") || !strings.Contains(out.String(), "1.33") {
		t.Errorf("Write: %v, want the share and the ratio in the text:\n%s", err, out.String())
	}
}

// Guards against the attempt of a moved text that counts twice, since both the move and the
// begin of the attempt that it leads to have a line, and against a line of the begin of a
// later attempt that does not count.
func TestMovedTextCountsOnce(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(`time=10:00:04.000 level=info msg=generating node=a submission=s item=x1 upstream=e1 err=null
time=10:00:04.500 level=warn msg=generated node=a submission=s item=x1 upstream=e1 events=5 err="submission: another engine is faster" took=500ms
time=10:00:04.500 level=info msg=moved node=a submission=s item=x1 upstream=e2 err=null
time=10:00:04.500 level=info msg=generating node=a submission=s item=x1 upstream=e2 err=null
time=10:00:04.700 level=info msg=generated node=a submission=s item=x1 upstream=e2 events=9 err=null took=200ms
time=10:00:05.000 level=info msg=moved node=a submission=s item=x2 upstream=e3 err=null
time=10:00:05.000 level=info msg=generating node=a submission=s item=x2 upstream=e3 err=null
time=10:00:06.000 level=info msg=generating node=a submission=s item=x2 upstream=e3 err=null
`))
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]int{"e1": 1, "e2": 1, "e3": 2}
	for _, u := range explain.Summarize(lines).Upstreams {
		if u.Attempts != want[u.Upstream] {
			t.Errorf("%s: got %d attempts, want %d", u.Upstream, u.Attempts, want[u.Upstream])
		}
	}
}
