// Package boundedjson decodes JSON that other programs have written. It refuses values that are
// nested too deeply for a decoder that recurses.
package boundedjson

import (
	"fmt"

	"github.com/segmentio/encoding/json"
)

// MaxDepth is the deepest nesting of arrays and objects that Unmarshal accepts. The rows and
// responses of the platform's protocol nest less than ten levels deep. The decoder takes some 330
// bytes of stack a level, and the process ends, without a panic that could be recovered, when a
// stack has no more room.
const MaxDepth = 500

// DepthError is the error of a value that is nested more than MaxDepth levels deep.
type DepthError struct {
	Offset int // of the byte at which MaxDepth is exceeded
}

func (e *DepthError) Error() string {
	return fmt.Sprintf("JSON value at byte %d is nested more than %d levels deep", e.Offset, MaxDepth)
}

// Unmarshal decodes data into v, as encoding/json.Unmarshal. Its error is a *DepthError if data is
// nested too deeply.
func Unmarshal(data []byte, v any) error {
	if err := checkDepth(data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// checkDepth returns an error if data is nested too deeply, whether or not it is valid JSON.
func checkDepth(data []byte) error {
	depth, inString := 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth > MaxDepth {
				return &DepthError{Offset: i}
			}
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}
