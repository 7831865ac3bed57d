package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/verdict"
)

// TimeoutHeader is the header by which a caller says how many milliseconds
// it will wait. It is a span on the wire, since clocks differ, and kept as a
// deadline from then on.
const TimeoutHeader = "Zinnia-Timeout-Ms"

// maxTimeout bounds what a caller may ask for.
const maxTimeout = time.Hour

var errDeadline = errors.New("the request's deadline passed")

// withDeadline returns r's context with the request's deadline: the
// caller's, or else UpstreamTimeout from now.
func (in *Instance) withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	wait := in.cfg.UpstreamTimeout
	if h := r.Header.Get(TimeoutHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return nil, nil, verdict.BadRequest("%s: %q: want 1 to %d milliseconds", TimeoutHeader, h, maxTimeout.Milliseconds())
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), wait, errDeadline)
	return ctx, cancel, nil
}

// timedOut returns err, or, if the request's deadline has passed, the answer
// that says so with the verdict of err.
func (in *Instance) timedOut(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errDeadline) {
		return err
	}
	return &verdict.Error{Verdict: verdict.Of(err), Status: http.StatusGatewayTimeout,
		RetryAt: in.comeBackAt(), Err: fmt.Errorf("%w: %w", errDeadline, err)}
}
