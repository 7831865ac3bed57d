package platform

import (
	"encoding/json"
	"fmt"
)

func decodeConflict(body string) error {
	var c Conflict
	if err := json.Unmarshal([]byte(body), &c); err != nil {
		return fmt.Errorf("platform: decode conflict response: %w", err)
	}
	return &ConflictError{Conflict: c}
}
