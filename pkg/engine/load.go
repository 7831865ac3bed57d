package engine

import "fmt"

// LoadHeader is the response header in which an engine sends its load when it accepts a
// generation: the active and the queued requests, separated by a comma. It is optional.
const LoadHeader = "Engine-Load"

// Load is the number of requests at an engine.
type Load struct {
	Active int // running
	Queued int // waiting for a slot
}

// String returns l in the format of LoadHeader.
func (l Load) String() string { return fmt.Sprintf("%d,%d", l.Active, l.Queued) }

// parseLoad parses a Load in the format of LoadHeader.
func parseLoad(s string) (Load, bool) {
	var l Load
	if n, err := fmt.Sscanf(s, "%d,%d", &l.Active, &l.Queued); n != 2 || err != nil || l.Active < 0 || l.Queued < 0 {
		return Load{}, false
	}
	return l, true
}
