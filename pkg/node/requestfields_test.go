package node_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// Guards against a request that was displaced from the instance's memory and is logged and
// counted as one for which the upstreams had no room.
func TestReasonOfRejection(t *testing.T) {
	now := time.Now()
	for want, cause := range map[string]error{"memory": fmt.Errorf("%w: displaced", forward.ErrWithdrawn), "upstreams_full": forward.ErrNotRun, "queue_full": forward.ErrDisplaced} {
		err := verdict.New(verdict.NotRun, http.StatusServiceUnavailable, cause)
		if got := node.RejectionReason(err); got != want {
			t.Errorf("%v: counted as %q, want %q", cause, got, want)
		}
		if want == "queue_full" {
			want = "displaced"
		}
		if got := node.RejectionFields(err, now); !slices.Equal(got, []any{"reason", want}) {
			t.Errorf("%v: got fields %v, want the reason %q", cause, got, want)
		}
	}
}
