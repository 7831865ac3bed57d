package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
)

// LineError is a fault at a line of a settings file.
type LineError struct {
	Line int // from 1
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// at returns err as one at an offset of file, or as it is if the offset is negative.
func at(file []byte, offset int, err error) error {
	if offset < 0 {
		return err
	}
	return &LineError{Line: bytes.Count(file[:min(offset, len(file))], []byte("\n")) + 1, Err: err}
}

// valueError is a fault of a value that reads itself.
type valueError struct {
	value []byte // as it stands in the file
	err   error
}

func (e *valueError) Error() string { return e.err.Error() }

func (e *valueError) Unwrap() error { return e.err }

// unknownField is what encoding/json says of a field that is not known.
var unknownField = regexp.MustCompile(`unknown field ("[^"]*")`)

// offsetOf returns where in file dec found err.
func offsetOf(file []byte, dec *json.Decoder, err error) int {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var value *valueError
	switch {
	case errors.As(err, &value):
		return bytes.Index(file, value.value)
	case errors.As(err, &syntax):
		return int(syntax.Offset)
	case errors.As(err, &kind):
		return int(kind.Offset)
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return bytes.Index(file, []byte(m[1]))
	}
	return int(dec.InputOffset())
}

// firstWord is the field that a check's error begins with.
var firstWord = regexp.MustCompile(`^[a-z_]+`)

// fieldOf returns where in file the field stands that a check's error names
// first, or -1.
func fieldOf(file []byte, err error) int {
	word := firstWord.FindString(err.Error())
	if word == "" {
		return -1
	}
	return bytes.Index(file, []byte(`"`+word+`"`))
}
