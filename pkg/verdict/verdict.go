// Package verdict defines whether a request that did not succeed may have run at its
// upstream, so that callers know whether a retry is safe.
package verdict

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Verdict tells whether a request ran at its upstream.
type Verdict int

// The verdicts, from the safest to retry to the least safe.
const (
	// Unknown is the zero Verdict. It is never sent, and Of treats it as MayHaveRun.
	Unknown Verdict = iota
	// NotRun means that the request did not run; a retry is safe.
	NotRun
	// MayHaveRun means that the request may have run; only an idempotent request may be
	// retried.
	MayHaveRun
	// Ran means that the request ran to completion.
	Ran
)

var names = [...]string{Unknown: "unknown", NotRun: "not_run", MayHaveRun: "may_have_run", Ran: "ran"}

// String returns the name of v on the wire, such as "not_run". It returns "unknown" for
// values that are not a Verdict.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Parse returns the Verdict whose name on the wire is s. It returns an error for
// Unknown and for other names.
func Parse(s string) (Verdict, error) {
	for i, n := range names {
		if n == s && Verdict(i) != Unknown {
			return Verdict(i), nil
		}
	}
	return Unknown, fmt.Errorf("verdict: unknown verdict %q", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	parsed, err := Parse(string(b))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Header is the HTTP header that carries a Verdict to the caller.
const Header = "Zinnia-Verdict"

// Error is the error of a request, with its Verdict and the HTTP answer to the caller.
type Error struct {
	Verdict Verdict
	Status  int       // HTTP status code of the answer
	RetryAt time.Time // when the caller may retry; zero if a retry cannot succeed
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Err, e.Verdict)
}

func (e *Error) Unwrap() error { return e.Err }

// RetryAfter returns the value of the Retry-After header: the whole seconds from now
// until e.RetryAt, at least 1. ok is false if e.RetryAt is zero.
func (e *Error) RetryAfter(now time.Time) (header string, ok bool) {
	if e.RetryAt.IsZero() {
		return "", false
	}
	s := int(e.RetryAt.Sub(now).Round(time.Second) / time.Second)
	if s < 1 {
		s = 1
	}
	return strconv.Itoa(s), true
}

// New returns an *Error that wraps err, with verdict v and the given HTTP status.
func New(v Verdict, status int, err error) *Error {
	return &Error{Verdict: v, Status: status, Err: err}
}

// Refuse returns a NotRun error with the given HTTP status and retry time, for a
// request that was refused before it was sent to an upstream.
func Refuse(status int, retryAt time.Time, err error) *Error {
	return &Error{Verdict: NotRun, Status: status, RetryAt: retryAt, Err: err}
}

// BadRequest returns a NotRun error with status 400, for a request that cannot succeed
// without a change.
func BadRequest(format string, args ...any) *Error {
	return New(NotRun, http.StatusBadRequest, fmt.Errorf(format, args...))
}

// Of returns the Verdict of err: Ran for nil, and MayHaveRun for an error without a
// Verdict, since nothing shows that the request did not run.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) && e.Verdict != Unknown {
		return e.Verdict
	}
	return MayHaveRun
}
