package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
)

// LineError is an error at a line of a settings file.
type LineError struct {
	Line int // 1 is the first
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

func (e *LineError) Unwrap() error { return e.Err }

// withLine returns err as a *LineError for the line at offset in file, or err itself if
// offset is negative.
func withLine(file []byte, offset int, err error) error {
	if offset < 0 {
		return err
	}
	return &LineError{Line: bytes.Count(file[:min(offset, len(file))], []byte("\n")) + 1, Err: err}
}

// valueError is an error that the UnmarshalJSON method of a value returns.
type valueError struct {
	value []byte // JSON text of the value in the file
	err   error
}

func (e *valueError) Error() string { return e.err.Error() }

func (e *valueError) Unwrap() error { return e.err }

// unknownField matches the error of encoding/json for an unknown field.
var unknownField = regexp.MustCompile(`unknown field ("[^"]*")`)

// errorOffset returns the offset in file of the cause of err, which dec returned, or a
// negative value if it was not found.
func errorOffset(file []byte, dec *json.Decoder, err error) int {
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

// leadingField matches the field name that an error of a Check method begins with.
var leadingField = regexp.MustCompile(`^[a-z_]+`)

// fieldOffset returns the offset in file of the field name that err, an error of a Check
// method, begins with, or -1 if it was not found.
func fieldOffset(file []byte, err error) int {
	field := leadingField.FindString(err.Error())
	if field == "" {
		return -1
	}
	return bytes.Index(file, []byte(`"`+field+`"`))
}
