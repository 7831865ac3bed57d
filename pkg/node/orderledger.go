package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// orderLedger is which engines have been given orders so recently that another
// holder of the orders' lease must leave them alone. It is kept in the lease's row: an
// engine is in it before it is ordered, so that whoever takes the lease next knows
// which engines to wait for and can order all others at once.
type orderLedger struct {
	pending map[string]int       // orders that are about to be sent, by engine ID
	until   map[string]time.Time // others leave the engine alone until then
	blocked map[string]time.Time // this instance does, as earlier holders ordered it
}

func newOrderLedger() *orderLedger {
	return &orderLedger{pending: map[string]int{}, until: map[string]time.Time{}, blocked: map[string]time.Time{}}
}

// inherit takes up the ledger that the holders before have left as data: the engines
// in it are left alone until the time given.
func (l *orderLedger) inherit(data json.RawMessage, until time.Time) error {
	if len(data) == 0 {
		return nil
	}
	var ids []string
	if err := json.Unmarshal(data, &ids); err != nil {
		return fmt.Errorf("node: ledger of orders: %w", err)
	}
	for _, id := range ids {
		l.blocked[id] = until
		l.extend(id, until)
	}
	return nil
}

// extend has others leave the engine alone until the time given at least.
func (l *orderLedger) extend(id string, until time.Time) {
	if until.After(l.until[id]) {
		l.until[id] = until
	}
}

// mayOrder reports whether this instance may order an engine at now.
func (l *orderLedger) mayOrder(id string, now time.Time) bool { return !now.Before(l.blocked[id]) }

// begin enters an engine that is about to be ordered.
func (l *orderLedger) begin(id string) { l.pending[id]++ }

// end tells that an order has been sent, or will not be, and until when others are
// to leave its engine alone.
func (l *orderLedger) end(id string, until time.Time) {
	if l.pending[id]--; l.pending[id] <= 0 {
		delete(l.pending, id)
	}
	l.extend(id, until)
}

// idle reports whether no order is about to be sent.
func (l *orderLedger) idle() bool { return len(l.pending) == 0 }

// entries returns the IDs of the engines in the ledger at now, in order.
func (l *orderLedger) entries(now time.Time) []string {
	passed := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(l.until, passed)
	maps.DeleteFunc(l.blocked, passed)
	ids := slices.Collect(maps.Keys(l.until))
	for id := range l.pending {
		if _, in := l.until[id]; !in {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
