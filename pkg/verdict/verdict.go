// Package verdict says whether a request that did not succeed may have run
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

// The verdicts, from safest to retry to least safe.
const (
	// Unknown is the zero Verdict; it is never sent and reads as MayHaveRun.
	Unknown Verdict = iota
	// NotRun means the request certainly did not run; a retry is safe.
	NotRun
	// MayHaveRun means the request may or may not have run; only an
	// idempotent request may be retried.
	MayHaveRun
	// Ran means the request ran to completion.
	Ran
)

var names = [...]string{Unknown: "unknown", NotRun: "not_run", MayHaveRun: "may_have_run", Ran: "ran"}

// String returns the snake-case wire name of v, such as "not_run".
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Parse returns the Verdict named s, as written by String.
func Parse(s string) (Verdict, error) {
	for i, n := range names {
		if n == s && Verdict(i) != Unknown {
			return Verdict(i), nil
		}
	}
	return Unknown, fmt.Errorf("verdict: unknown name %q", s)
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(b []byte) error {
	p, err := Parse(string(b))
	if err != nil {
		return err
	}
	*v = p
	return nil
}

// Header is the HTTP header that carries a Verdict to the caller.
const Header = "Zinnia-Verdict"

// Error is a failed request together with its Verdict, the HTTP status the
// caller is given, and the time after which the caller may come back.
type Error struct {
	Verdict Verdict
	Status  int       // HTTP status code of the answer
	RetryAt time.Time // zero when coming back will not help
	Err     error
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s)", e.Err, e.Verdict)
}

func (e *Error) Unwrap() error { return e.Err }

// RetryAfter returns the whole seconds from now until e.RetryAt, at least 1,
// for the Retry-After header; ok is false when e.RetryAt is zero.
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

// New returns an *Error with verdict v and status, wrapping err.
func New(v Verdict, status int, err error) *Error {
	return &Error{Verdict: v, Status: status, Err: err}
}

// Refuse returns a NotRun error with the given status and a time to come
// back, for requests the system declined before sending them anywhere.
func Refuse(status int, retryAt time.Time, err error) *Error {
	return &Error{Verdict: NotRun, Status: status, RetryAt: retryAt, Err: err}
}

// BadRequest returns a NotRun error with status 400 for input that can never
// succeed as sent.
func BadRequest(format string, args ...any) *Error {
	return New(NotRun, http.StatusBadRequest, fmt.Errorf(format, args...))
}

// Of returns the Verdict carried by err. An error that carries none may have
// run, since nothing proves otherwise; a nil error ran.
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
