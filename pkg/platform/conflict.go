package platform

import (
	"encoding/json"
	"fmt"
)

// decodeConflict returns the error of a commit whose condition failed. It is ErrUnavailable if
// the body is malformed: the condition may have failed because an earlier commit with an
// unknown outcome was applied.
func decodeConflict(body string) error {
	var c Conflict
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		return fmt.Errorf("%w: decode conflict response: %v", ErrUnavailable, err)
	}
	return &ConflictError{Conflict: c}
}
