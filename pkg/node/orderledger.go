package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// orderLedger records the engines that were ordered within Config.MinHolderInterval, in
// which another holder of the orders lease must not order them. It is stored in the row
// of the lease: an engine is entered before it is ordered, so that the next holder knows
// which engines to wait for and can order all others at once.
type orderLedger struct {
	pending       map[string]int       // orders about to be sent, by engine ID
	excludedUntil map[string]time.Time // time until which other holders must not order an engine
	blockedUntil  map[string]time.Time // time until which this instance must not, because earlier holders ordered it

	// malformed is the ledger of earlier holders if it could not be decoded. They may
	// have ordered any engine, so that none is ordered until allBlockedUntil.
	malformed       json.RawMessage
	allBlockedUntil time.Time
}

func newOrderLedger() *orderLedger {
	return &orderLedger{pending: map[string]int{}, excludedUntil: map[string]time.Time{}, blockedUntil: map[string]time.Time{}}
}

// inherit adds the ledger that earlier holders stored as data. The engines in it are
// not ordered until the given time, nor is any engine if data is malformed, which is an
// error. Holders write the ledger before they order an engine: without data, none was
// ordered.
func (l *orderLedger) inherit(data json.RawMessage, until time.Time) error {
	if len(data) == 0 {
		return nil
	}
	var ids []string
	err := json.Unmarshal(data, &ids)
	if err == nil && slices.Contains(ids, "") {
		err = errors.New("engine without an ID")
	}
	if err != nil {
		l.malformed, l.allBlockedUntil = data, until
		return fmt.Errorf("node: decoding the ledger of orders: %w", err)
	}
	for _, id := range ids {
		l.blockedUntil[id] = until
		l.extend(id, until)
	}
	return nil
}

// extend makes other holders not order an engine until at least the given time.
func (l *orderLedger) extend(id string, until time.Time) {
	if until.After(l.excludedUntil[id]) {
		l.excludedUntil[id] = until
	}
}

// mayOrder reports whether this instance may order an engine at now.
func (l *orderLedger) mayOrder(id string, now time.Time) bool {
	return !now.Before(l.blockedUntil[id]) && !now.Before(l.allBlockedUntil)
}

// begin enters an engine that is about to be ordered.
func (l *orderLedger) begin(id string) { l.pending[id]++ }

// end records that an order was sent, or will not be, and until when other holders must
// not order its engine.
func (l *orderLedger) end(id string, until time.Time) {
	if l.pending[id]--; l.pending[id] <= 0 {
		delete(l.pending, id)
	}
	l.extend(id, until)
}

// idle reports whether no order is about to be sent.
func (l *orderLedger) idle() bool { return len(l.pending) == 0 }

// entries returns the sorted IDs of the engines in the ledger at now.
func (l *orderLedger) entries(now time.Time) []string {
	passed := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(l.excludedUntil, passed)
	maps.DeleteFunc(l.blockedUntil, passed)
	ids := slices.Collect(maps.Keys(l.excludedUntil))
	for id := range l.pending {
		if _, in := l.excludedUntil[id]; !in {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// encode returns the engines that are in the ledger at now, and its encoding. While no
// engine may be ordered because the ledger of earlier holders is malformed, that ledger is
// kept, so that the next holder orders none either.
func (l *orderLedger) encode(now time.Time) ([]string, json.RawMessage, error) {
	if now.Before(l.allBlockedUntil) {
		return nil, l.malformed, nil
	}
	ids := l.entries(now)
	data, err := json.Marshal(ids)
	return ids, data, err
}
