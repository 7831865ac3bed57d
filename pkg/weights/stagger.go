package weights

import (
	"cmp"
	"context"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// ModelOrder is an order to an engine to load a version of a model.
type ModelOrder struct {
	Model   string
	Version uint64
	Holder  string // the instance that gives it
	Fencing uint64
	// AfterOrders is how many orders the engine has accepted before this one,
	// so that one that arrives late, after newer ones, is not carried out.
	AfterOrders uint64
	// Continue lets the engine's running requests go on under the new version
	// rather than have the order wait for their end.
	Continue bool
}

// OrderOutcome is what became of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderUnknown  OrderOutcome = iota // it may be carried out, also later
	OrderAccepted                     // it is being carried out, or already holds
	OrderRefused                      // it is not carried out
	OrderFenced                       // the engine knows of a later holder
)

// EngineReport is what an engine tells when it is asked. It lags by some
// hundred milliseconds.
type EngineReport struct {
	Orders   uint64 // accepted since its start
	Busy     bool   // with an order
	Versions map[string]uint64
}

// Orderer gives orders to engines.
type Orderer interface {
	Report(ctx context.Context, from upstream.Entry) (EngineReport, error)
	Order(ctx context.Context, to upstream.Entry, o ModelOrder) (OrderOutcome, error)
}

// Stagger returns the engines to move to version named, of those given with
// the versions that they hold, when requests accept versions up to lag behind
// the newest. An engine that would be too old is moved; others are moved until
// one in lag+1 holds the newest. A new version every few seconds then takes
// only a part of the engines away at a time, and each loads once for lag+1
// versions: requests go on at the others, and loads are halved for a lag of 1.
func Stagger(held map[string]uint64, named, lag uint64) []string {
	ids := make([]string, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(held[a], held[b]), cmp.Compare(a, b))
	})
	want := max(1, len(ids)/int(lag+1))
	fresh := 0
	for _, v := range held {
		if v >= named {
			fresh++
		}
	}
	var out []string
	for _, id := range ids { // the oldest first
		if v := held[id]; v < named && (v+lag < named || fresh+len(out) < want) {
			out = append(out, id)
		}
	}
	return out
}
