package weights

import (
	"cmp"
	"context"
	"math"
	"slices"

	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// LoadOrder is an order to an engine to load a version of a model.
type LoadOrder struct {
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

// OrderClient gives orders to engines.
type OrderClient interface {
	Report(ctx context.Context, from upstream.Entry) (EngineReport, error)
	Order(ctx context.Context, to upstream.Entry, o LoadOrder) (OrderOutcome, error)
}

// Demand is what is asked of one model.
type Demand struct {
	Model         string
	TargetVersion uint64 // newest version
	MaxLag        uint64 // how many versions behind it requests accept
	Work          float64
	// Busy means that requests of the model are under way or wait.
	Busy bool
	// MaxItems is how many texts may be under way at once; 0 if not known.
	MaxItems int
	// MaxEngines is how many engines these can use; 0 if not known.
	MaxEngines int
}

// minEngines is how many engines a model has at least, where there are enough,
// so that one may crash.
const minEngines = 2

// AssignEngines deals the engines to the models by their work, each engine to one
// model, so that an engine loads new versions of one model only and the loads of
// one model take nothing away from another. Engines are dealt in order of their
// IDs, so that one that comes or goes moves few others. Where there are far more than
// the texts of all models can use, each model is dealt what its own can use: each
// engine that it has loads its versions, and of hundreds most would do so in vain while
// those that its next step needs wait for their turn; and its work varies from step to
// step, by a part that is many engines of hundreds. What it returns may share memory
// with engines.
func AssignEngines(engines []string, demands []Demand) map[string][]string {
	ids := engines
	if !slices.IsSorted(ids) {
		ids = slices.Sorted(slices.Values(engines))
	}
	if out, ok := dealByNeed(ids, demands); ok {
		return out
	}
	total := 0.0
	for _, d := range demands {
		total += d.Work
	}
	out := make(map[string][]string, len(demands))
	if len(ids) < len(demands)*minEngines || total <= 0 {
		for _, d := range demands {
			out[d.Model] = ids // too few to deal
		}
		return out
	}
	spare := len(ids) - len(demands)*minEngines
	before, from := 0.0, 0
	for i, d := range demands {
		before += d.Work
		to := (i+1)*minEngines + int(math.Round(before/total*float64(spare)))
		out[d.Model] = ids[from:to]
		from = to
	}
	return out
}

// plenty is how many times the engines that the texts of all models can use there must
// be for models to be dealt by need.
const plenty = 1.5

// dealByNeed deals each model the engines that its texts can use, if there are plenty.
func dealByNeed(ids []string, demands []Demand) (map[string][]string, bool) {
	need := 0
	for _, d := range demands {
		if d.MaxEngines <= 0 {
			return nil, false
		}
		need += max(d.MaxEngines, minEngines)
	}
	if need == 0 || plenty*float64(need) > float64(len(ids)) {
		return nil, false
	}
	out := make(map[string][]string, len(demands))
	for _, d := range demands {
		n := max(d.MaxEngines, minEngines)
		out[d.Model], ids = ids[:n], ids[n:]
	}
	return out, true
}

// EnginesToLoad returns the engines to move to the version named, of those given with the
// versions that they hold, the most urgent first. Engines that are too old for
// requests to come are moved at once: they serve nothing as they are. The others
// still serve, and are moved while the model is idle, at most spare of them, so
// that fewer are too old when the next version is named.
//
// It answers the load of a trainer that never pauses: a step is asked as soon as
// its version is named. Half of the engines then are a version ahead of the other
// half, and serve while those load; were all of one version they would all load at
// once, every second step, for which the step waited 0.9 to 1.9 s. So engines are
// moved while they serve if fewer than half would hold the version named.
func EnginesToLoad(held map[string]uint64, d Demand, spare int) []string {
	ids := make([]string, 0, len(held))
	for id := range held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(held[a], held[b]), cmp.Compare(a, b))
	})
	ahead := len(ids) / 2 // to hold the version named
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

// SortByUrgency returns the demands for models of which a version is named, those first of
// which the fewest engines, of those that held returns, hold a version that requests
// accept: few engines load at once, and a step that none serves waits for the first.
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
