package weights

import (
	"cmp"
	"context"
	"math"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/option"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// LoadOrder tells an engine to load a version of a model.
type LoadOrder struct {
	Model   string
	Version uint64
	Holder  string // instance that sends the order
	Fencing uint64
	// AfterOrders is the number of orders that the engine had accepted when this one
	// was made. An engine that has accepted more since then refuses the order, so that
	// a delayed order does not undo a newer one.
	AfterOrders uint64
	// Continue makes the engine finish its running requests under the new version. If
	// it is false, the load waits until they have ended.
	Continue bool
}

// OrderOutcome is the result of sending an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderUnknown  OrderOutcome = iota // no answer: the engine may load the version now or later
	OrderAccepted                     // the engine is loading the version, or holds it already
	OrderRefused                      // the engine does not load the version
	OrderFenced                       // the engine has seen a newer fencing token
)

// EngineReport is an engine's report of its state. It may be a few hundred milliseconds
// old.
type EngineReport struct {
	AcceptedOrders uint64 // orders accepted since the engine started
	Busy           bool   // whether the engine is carrying out an order
	Versions       map[string]uint64
}

// OrderClient sends load orders to engines and fetches their reports.
type OrderClient interface {
	Report(ctx context.Context, from upstream.Entry) (EngineReport, error)
	Order(ctx context.Context, to upstream.Entry, o LoadOrder) (OrderOutcome, error)
}

// Demand is the load on one model.
type Demand struct {
	Model         string
	TargetVersion uint64  // target version; 0 for none
	MaxLag        uint64  // how many versions behind the target version requests accept
	Work          float64 // share of the engines, relative to the other models
	// Priority is the priority of the most urgent route that accepts submissions of the
	// model. 0 is the most urgent. It holds nothing if no route is known.
	Priority option.Of[int]
	// Busy reports whether requests of the model are queued or in flight.
	Busy bool
	// MaxItems is the largest number of items that may be in flight at once; 0 if
	// unknown.
	MaxItems int
	// MaxEngines is the largest number of engines that those items can use; 0 if
	// unknown.
	MaxEngines int
}

// urgencyFactor weights the work of the more urgent models. It is constant, so that
// engines do not move back and forth between models.
const urgencyFactor = 1.3

// WeightByUrgency multiplies the work of the models that are more urgent than the least
// urgent one by urgencyFactor. Models whose priority is unknown are left alone.
func WeightByUrgency(demands []Demand) {
	least := 0
	for _, d := range demands {
		least = max(least, d.Priority.Or(0))
	}
	for i, d := range demands {
		if d.Priority.Or(least) < least {
			demands[i].Work *= urgencyFactor
		}
	}
}

// minEngines is the smallest number of engines that a model is assigned, if there are
// enough engines. With two, the model is still served when one crashes.
const minEngines = 2

// AssignEngines assigns the engines to the models in proportion to their work. Each
// engine gets one model, so that it loads versions of that model only and the loads of
// one model do not reduce the capacity of another. Engines are assigned in order of
// their IDs, so that few change their model when one joins or leaves. If there are
// fewer than minEngines for each model, or no work, every model may use every engine.
//
// If there are far more engines than the items of all models can use, each model gets
// only the number that its own items can use. An engine loads every version of its
// model: with hundreds of engines most of these loads would be of no use and would
// delay those of the engines that the next step needs. Assignment by work would also
// move many of the engines with each step, as the work varies from step to step.
//
// The returned slices may share memory with engines.
func AssignEngines(engines []string, demands []Demand) map[string][]string {
	ids := sorted(engines)
	counts, ok := engineCounts(len(ids), demands)
	if !ok {
		return assignAll(ids, demands)
	}
	out := make(map[string][]string, len(demands))
	for i, d := range demands {
		out[d.Model], ids = ids[:counts[i]], ids[counts[i]:]
	}
	return out
}

// sorted returns engines if they are sorted, else a sorted copy.
func sorted(engines []string) []string {
	if slices.IsSorted(engines) {
		return engines
	}
	return slices.Sorted(slices.Values(engines))
}

// assignAll assigns every engine to every model.
func assignAll(ids []string, demands []Demand) map[string][]string {
	out := make(map[string][]string, len(demands))
	for _, d := range demands {
		out[d.Model] = ids
	}
	return out
}

// engineCounts returns how many of n engines the model of each demand gets: by need if
// there is a surplus of engines, else by work. It reports false if there are too few
// engines to divide, or no work.
func engineCounts(n int, demands []Demand) ([]int, bool) {
	if counts, ok := countsByNeed(n, demands); ok {
		return counts, true
	}
	total := 0.0
	for _, d := range demands {
		total += d.Work
	}
	if n < len(demands)*minEngines || total <= 0 {
		return nil, false
	}
	counts := make([]int, len(demands))
	spare := n - len(demands)*minEngines
	before, from := 0.0, 0
	for i, d := range demands {
		before += d.Work
		to := (i+1)*minEngines + int(math.Round(before/total*float64(spare)))
		counts[i] = to - from
		from = to
	}
	return counts, true
}

// surplusFactor is the ratio of the engines to those that the items of all models can
// use from which on engines are assigned by need instead of by work.
const surplusFactor = 1.5

// countsByNeed returns, for the model of each demand, the number of engines that its
// items can use. It reports false if that number is unknown for a model or n engines are
// not a surplus.
func countsByNeed(n int, demands []Demand) ([]int, bool) {
	counts := make([]int, len(demands))
	need := 0
	for i, d := range demands {
		if d.MaxEngines <= 0 {
			return nil, false
		}
		counts[i] = max(d.MaxEngines, minEngines)
		need += counts[i]
	}
	if need == 0 || surplusFactor*float64(need) > float64(n) {
		return nil, false
	}
	return counts, true
}

// EnginesToLoad returns the engines that are to load the target version of d now, most
// urgent first. held maps each engine of the model to the version that it holds.
//
// Engines whose version is older than d.MaxLag allows serve no requests and always
// load. Engines that still serve load while the model is idle, at most spare of them at
// a time, so that fewer are too old when the target version changes next.
//
// A trainer that never pauses submits a step as soon as it has set the target version.
// If all engines held the same version, they would all become too old and load at once
// on every second step; steps then waited 0.9 to 1.9 s. Therefore engines that still
// serve load also while the model is busy if fewer than half of the engines would hold
// the target version: one half serves while the other loads.
func EnginesToLoad(held map[string]uint64, d Demand, spare int) []string {
	ids := make([]string, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(held[a], held[b]), cmp.Compare(a, b))
	})
	ahead := len(ids) / 2 // engines that should still load to make half of them hold the target version
	for _, v := range held {
		if v >= d.TargetVersion {
			ahead--
		}
	}
	var out []string
	for _, id := range ids {
		switch v := held[id]; {
		case v >= d.TargetVersion:
		case v+d.MaxLag < d.TargetVersion, len(out) < ahead, !d.Busy && len(out) < spare:
			out = append(out, id)
		}
	}
	return out
}

// SortByUrgency returns the demands that have a target version, those first of which
// the fewest engines hold a version that requests accept. held returns the versions of
// the engines of a demand. Only few engines load at once, and a step that no engine can
// serve waits for the first of them.
func SortByUrgency(demands []Demand, held func(Demand) map[string]uint64) []Demand {
	usable := make(map[string]int, len(demands))
	var out []Demand
	for _, d := range demands {
		if d.TargetVersion == 0 {
			continue
		}
		out = append(out, d)
		for _, v := range held(d) {
			if v+d.MaxLag >= d.TargetVersion {
				usable[d.Model]++
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Demand) int { return cmp.Compare(usable[a.Model], usable[b.Model]) })
	return out
}
