// Package httpjson reads and writes the JSON bodies of zinnialadder's HTTP protocols. It
// limits the size of request bodies and refuses unknown fields in them.
package httpjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// MaxBody is the largest request body, in bytes, that Decode accepts.
const MaxBody = 1 << 20

// ErrTooLarge is returned by Decode for a body of more than MaxBody bytes.
var ErrTooLarge = fmt.Errorf("body over the limit of %d bytes", MaxBody)

// Decode decodes the body of r, which must be one JSON value, into v. Unknown fields and
// data after the value are errors; for a body over MaxBody bytes it returns ErrTooLarge.
func Decode(w http.ResponseWriter, r *http.Request, v any) error {
	body := http.MaxBytesReader(w, r.Body, MaxBody)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	switch _, err := dec.Token(); {
	case err == nil:
		return errors.New("malformed JSON: trailing data after the value")
	case err != io.EOF:
		return decodeError(err)
	}
	return nil
}

// decodeError returns the error of Decode for err, an error of reading the body.
func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return ErrTooLarge
	}
	return fmt.Errorf("malformed JSON: %w", err)
}

// Read decodes the body of r into v and reports whether that succeeded. Otherwise it has
// responded with the error and status 400, or 413 for a body over MaxBody bytes.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := Decode(w, r, v); err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, ErrTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		http.Error(w, err.Error(), status)
		return false
	}
	return true
}

// Write responds with the JSON encoding of v and the given status, or with status 500 if v
// cannot be encoded.
func Write(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		http.Error(w, fmt.Sprintf("encode response: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes()) // fails if the caller has disconnected
}

// StatusError is the error for a response with an unexpected status.
type StatusError struct {
	Status int
	Header http.Header
	Body   string // of the response, or its start if it is long
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body[:min(len(e.Body), maxErrorBody)])
}

// NotSent reports whether err is the error of a request for which no connection could be
// made, so that the request has certainly not reached the server.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
