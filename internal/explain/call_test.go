package explain_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/explain"
)

const callText = `time=10:00:00.030 level=warn msg="attempt failed" node=a request=r1 upstream=i1 attempt=1 status=500 took=10ms err=null
time=10:00:00.070 level=info msg=request node=a request=r1 status=200 verdict=ran took=70ms err=null upstream=i3 attempt=3 attempt_took=20ms joined_after=5ms waited=15ms ahead=3 copies=1 copy_won=true superseded=i2
time=10:00:01.000 level=warn msg=request node=a request=r1 status=0 verdict=not_run took=0s err="waitqueue: no capacity expected in time (not_run)" ahead=7 reason=queue_too_slow retry_after=312ms
time=10:00:02.050 level=warn msg="attempt failed" node=a request=r2 upstream=i1 attempt=1 status=0 took=50ms err="platform: no response"
time=10:00:02.090 level=warn msg="attempt failed" node=a request=r2 upstream=i2 attempt=2 status=504 took=40ms err=null copy=true
time=10:00:02.090 level=info msg=request node=a request=r2 status=504 verdict=ran took=90ms err=null upstream=i2 attempt=2 attempt_took=40ms copies=1
time=10:00:03.000 level=warn msg=request node=a request=old status=0 verdict=not_run took=60ms err="forward: not run: no upstream has capacity for the request (not_run)"
time=10:00:04.000 level=info msg=request node=a request=polled status=200 verdict=ran took=40ms err=null upstream=i1 attempt_took=10ms waited=30ms
time=10:00:05.000 level=info msg=request node=a request=first status=200 verdict=ran took=40ms err=null upstream=i1 copies=1 superseded=i2
time=10:00:05.500 level=warn msg=request node=a request=cut status=0 verdict=not_run took=70ms err="forward: not run" upstream=i2 attempt=4 attempt_took=1ms joined_after=10µs waited=65ms reason=upstreams_full
time=10:00:06.000 level=warn msg="submission not kept" node=a submission=s1 took=2s err="platform: nothing was done" reason=store retry_after=100ms
`

// Guards against a course that shows an attempt twice, names the cancelled copy as the one
// that answered, or mixes the two requests that a caller sent under one ID, and against
// lines of older builds that are no longer explained.
func TestCourseOfRequest(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(callText))
	if err != nil {
		t.Fatal(err)
	}
	for id, want := range map[string]string{
		"r1": `course:
  10:00:00.000 arrived at a
  10:00:00.005 joined the wait queue, 3 ahead; waited 15ms
  10:00:00.020 attempt 1 at i1: status 500 after 10ms
  10:00:00.050 copy, attempt 3, at i3: status 200 after 20ms, before the one at i2, which was cancelled
  10:00:00.070 answered with status 200 after 70ms; copies sent: 1
  10:00:01.000 arrived at a
  10:00:01.000 rejected after 0s: its turn in the wait queue would have come too late, 7 ahead; Retry-After 312ms
`,
		"r2": `course:
  10:00:02.000 arrived at a
  10:00:02.000 attempt 1 at i1: platform: no response after 50ms
  10:00:02.050 copy, attempt 2, at i2: status 504 after 40ms
  10:00:02.090 answered with status 504 after 90ms; copies sent: 1
`,
		"old": `course:
  10:00:02.940 arrived at a
  10:00:03.000 rejected after 60ms: forward: not run: no upstream has capacity for the request (not_run)
`,
		"polled": `course:
  10:00:03.960 arrived at a
  10:00:03.960 waited 30ms for capacity
  10:00:03.990 attempt 1 at i1: status 200 after 10ms
  10:00:04.000 answered with status 200 after 40ms
`,
		"first": `course:
  10:00:04.960 arrived at a
  10:00:04.960 attempt 1 at i1: status 200 after 40ms, before the one at i2, which was cancelled
  10:00:05.000 answered with status 200 after 40ms; copies sent: 1
`,
		"cut": `course:
  10:00:05.430 arrived at a
  10:00:05.430 joined the wait queue, 0 ahead; waited 65ms
  10:00:05.500 last attempt 4 at i2; its line was left out
  10:00:05.500 rejected after 70ms: no upstream had room
`,
		"s1": `course:
  10:00:06.000 rejected after 2s: the store was not available; Retry-After 100ms
`,
	} {
		e, ok := explain.Find(lines, id)
		var out bytes.Buffer
		if err := e.Write(&out); err != nil || !ok {
			t.Fatalf("%s: Find %v, Write %v", id, ok, err)
		}
		if _, got, _ := strings.Cut(out.String(), "course:"); !strings.HasPrefix("course:"+got, want+"cause: ") {
			t.Errorf("%s: got\n%s\nwant the course\n%s", id, out.String(), want)
		}
	}
}
