// Package retry bounds how many requests are sent again, so that retries do
// not multiply the load on upstreams that are failing under it.
package retry

import "sync"

// Budget allows retries in proportion to requests: each request earns Ratio
// of a retry, and up to Burst retries can be saved up. It starts full and is
// safe for concurrent use.
type Budget struct {
	ratio, burst float64

	mu    sync.Mutex
	saved float64
}

// NewBudget returns a full Budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, saved: burst}
}

// Earn counts one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.saved = min(b.burst, b.saved+b.ratio)
	b.mu.Unlock()
}

// Spend takes one retry, or reports false if none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
