// Package httpjson reads and writes the JSON bodies of the HTTP protocols
// that zinnialadder speaks, with size limits and strict field checks.
package httpjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// MaxBody is the largest request body, in bytes, that Decode accepts.
const MaxBody = 1 << 20

// ErrTooLarge is returned by Decode for a body over MaxBody.
var ErrTooLarge = fmt.Errorf("body over the limit of %d bytes", MaxBody)

// Decode reads one JSON value from r's body into v, refusing unknown
// fields, trailing data and bodies over MaxBody bytes.
func Decode(w http.ResponseWriter, r *http.Request, v any) error {
	body := http.MaxBytesReader(w, r.Body, MaxBody)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return malformed(err)
	}
	switch _, err := dec.Token(); {
	case err == nil:
		return errors.New("malformed JSON: trailing data after the value")
	case err != io.EOF:
		return malformed(err)
	}
	return nil
}

// malformed returns the error of a body that could not be read.
func malformed(err error) error {
	var mb *http.MaxBytesError
	if errors.As(err, &mb) {
		return ErrTooLarge
	}
	return fmt.Errorf("malformed JSON: %w", err)
}

// Read decodes r's body into v, or answers 400 with the reason and reports
// false.
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

// Write sends v as a JSON answer with the given status.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// StatusError is an answer whose status was not the one expected.
type StatusError struct {
	Status int
	Header http.Header
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Body)
}

// NotSent reports whether err is of a request that no connection could be
// made for, so that it certainly reached nobody.
func NotSent(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}
