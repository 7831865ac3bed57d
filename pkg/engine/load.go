package engine

import "fmt"

// LoadHeader is the header of a generation's answer by which an engine tells
// its load as it took the request: active and queued, with a comma between.
// An engine need not send it.
const LoadHeader = "Engine-Load"

// Load is how many requests an engine holds.
type Load struct {
	Active int // running
	Queued int // waiting for a slot
}

// String returns l as LoadHeader carries it.
func (l Load) String() string { return fmt.Sprintf("%d,%d", l.Active, l.Queued) }

// parseLoad reads a Load as LoadHeader carries it.
func parseLoad(s string) (Load, bool) {
	var l Load
	if n, err := fmt.Sscanf(s, "%d,%d", &l.Active, &l.Queued); n != 2 || err != nil || l.Active < 0 || l.Queued < 0 {
		return Load{}, false
	}
	return l, true
}
