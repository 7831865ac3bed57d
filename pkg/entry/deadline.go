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

// TimeoutHeader is the request header in which a caller states how many milliseconds it
// waits for the response. It carries a duration rather than a time because clocks differ
// between machines.
const TimeoutHeader = "Zinnia-Timeout-Ms"

// maxTimeout is the maximum value of TimeoutHeader.
const maxTimeout = time.Hour

var errDeadline = errors.New("request deadline exceeded")

// withDeadline returns r's context with the request's deadline, which is the caller's
// timeout or else UpstreamTimeout from now. It returns a NotRun error if the header is
// malformed.
func (in *Instance) withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	wait := in.cfg.UpstreamTimeout
	if h := r.Header.Get(TimeoutHeader); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return nil, nil, verdict.BadRequest("header %s: got %q, want 1 to %d milliseconds", TimeoutHeader, h, maxTimeout.Milliseconds())
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeoutCause(r.Context(), wait, errDeadline)
	return ctx, cancel, nil
}

// timedOut returns err. If err is not nil and the request's deadline has passed, it returns
// a 504 error with the verdict of err instead.
func (in *Instance) timedOut(ctx context.Context, err error) error {
	if err == nil || !errors.Is(context.Cause(ctx), errDeadline) {
		return err
	}
	return &verdict.Error{Verdict: verdict.Of(err), Status: http.StatusGatewayTimeout,
		RetryAt: in.defaultRetryAt(), Err: fmt.Errorf("%w: %w", errDeadline, err)}
}
