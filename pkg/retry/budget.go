// Package retry limits how many requests are retried, so that retries do not multiply
// the load on upstreams that fail because of it.
package retry

import "sync"

// Budget is a token bucket that allows retries in proportion to requests: each request
// adds ratio tokens, up to burst, and each retry takes one. It is safe for concurrent
// use. Use NewBudget to create one.
type Budget struct {
	ratio, burst float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full Budget.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Deposit adds the tokens of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
	b.mu.Unlock()
}

// Withdraw takes the token of one retry. It reports false if there is none.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns the token of a retry that was not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	b.tokens = min(b.burst, b.tokens+1)
	b.mu.Unlock()
}
