package upstream_test

import (
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against an upstream that is ejected by requests that time out though it has
// answered later ones, and against one that stays in use because such answers came before,
// or because requests were cancelled in between.
func TestTimedOutRequests(t *testing.T) {
	timedOut := upstream.AttemptResult{Failed: true, TimedOut: true}
	for name, c := range map[string]struct {
		result     upstream.AttemptResult
		sentBefore bool // the requests that failed were sent before the one that was answered
		between    upstream.AttemptResult
		usable     bool
	}{
		"sent before, timed out":             {timedOut, true, upstream.AttemptResult{Superseded: true}, true},
		"sent after, timed out":              {timedOut, false, upstream.AttemptResult{Superseded: true}, false},
		"sent before, connection lost":       {upstream.AttemptResult{Failed: true}, true, upstream.AttemptResult{Superseded: true}, false},
		"sent before, no connection in time": {upstream.AttemptResult{Unreachable: true, TimedOut: true}, true, upstream.AttemptResult{Superseded: true}, true},
		"sent after, no connection in time":  {upstream.AttemptResult{Unreachable: true, TimedOut: true}, false, upstream.AttemptResult{Superseded: true}, false},
		"sent before, connection refused":    {upstream.AttemptResult{Unreachable: true}, true, upstream.AttemptResult{Superseded: true}, false},
		"cancelled in between":               {timedOut, false, upstream.AttemptResult{Cancelled: true}, false},
		"response held back in between":      {timedOut, false, upstream.AttemptResult{Cancelled: true, Load: &upstream.Load{Slots: 8}}, true},
	} {
		r := upstream.NewRegistry("z")
		r.Set(entries(1))
		now := baseTime()
		acquire := func() *upstream.Reservation {
			t.Helper()
			now = now.Add(time.Millisecond)
			rsv, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now})
			if !ok {
				t.Fatalf("%s: no usable upstream", name)
			}
			return rsv
		}
		end := func(rsv *upstream.Reservation, result upstream.AttemptResult) {
			now = now.Add(time.Millisecond)
			result.At = now
			rsv.Done(result)
		}
		var failing []*upstream.Reservation
		if c.sentBefore {
			failing = append(failing, acquire(), acquire())
		}
		end(acquire(), upstream.AttemptResult{})
		if !c.sentBefore {
			failing = append(failing, acquire(), acquire())
		}
		between := acquire()
		end(failing[0], c.result)
		end(between, c.between)
		end(failing[1], c.result)
		if _, ok := r.Acquire(upstream.Requirements{Pool: "p", Now: now}); ok != c.usable {
			t.Errorf("%s: usable = %v, want %v", name, ok, c.usable)
		}
	}
}
