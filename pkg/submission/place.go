package submission

import (
	"slices"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// placement is a slot for an attempt at an item.
type placement struct {
	rsv *upstream.Reservation
	// version is the weight version that the engine must hold; 0 for any. The engine refuses
	// the attempt if it holds another.
	version uint64
}

// placementResult says whether a slot was reserved for an item, and otherwise what it waits for.
type placementResult int

const (
	placed placementResult = iota
	noRoom                 // no engine that the submission allows has room
	// noEngineForText means that no engine that can continue the item's text has room. Others
	// may have room for other items.
	noEngineForText
)

// placer reserves slots for the waiting items of a submission at one moment.
type placer struct {
	runner *Runner
	route  routetable.Route
	full   map[versionedPool]bool // the engines with a version have no free slot
	rooms  map[uint64]time.Time   // results of Run.RoomAt, by version
}

// versionedPool is the engines of a pool that hold a version.
type versionedPool struct {
	pool    string
	version uint64
}

func (r *Runner) newPlacer(rt routetable.Route) *placer {
	return &placer{runner: r, route: rt, full: map[versionedPool]bool{}, rooms: map[uint64]time.Time{}}
}

// place reserves a slot for item i, whose attempt requires req. pools are the shares whose
// engines have enough memory for it. A text that must have a single weight version is continued
// only by engines that hold its version. If it cannot be continued, place discards it once it
// has a slot to start again.
func (p *placer) place(i int, pools []routetable.Share, req upstream.Requirements) (placement, placementResult) {
	run := p.runner.run
	_, versions := run.LastEvent(i)
	if !p.route.SingleVersion || len(versions) == 0 {
		return p.placeAny(req)
	}
	if len(versions) == 1 { // else the text is of no use, as the route has changed
		if pl, ok := p.placeWithVersion(req, versions[0]); ok {
			return pl, placed
		}
		if !p.startsAgain(i, pools, req, versions[0]) {
			return placement{}, noEngineForText
		}
	}
	length := run.WholeLength(i)
	req.Work, req.Units = length.Work, length.MeanEvents
	pl, result := p.placeAny(req)
	if result == placed {
		p.runner.restart(i)
	}
	return pl, result
}

// placeAny reserves a slot at any engine that the submission allows.
func (p *placer) placeAny(req upstream.Requirements) (placement, placementResult) {
	if rsv, ok := p.runner.cfg.Registry.Acquire(req); ok {
		return placement{rsv: rsv}, placed
	}
	if req.Newest >= req.MinVersion && req.Newest > 0 {
		// An engine may hold the target version before its registry entry says so.
		req.Outdated = true
		if rsv, ok := p.runner.cfg.Registry.Acquire(req); ok {
			return placement{rsv, req.Newest}, placed
		}
	}
	return placement{}, noRoom
}

// placeWithVersion reserves a slot at an engine that holds a weight version.
func (p *placer) placeWithVersion(req upstream.Requirements, version uint64) (placement, bool) {
	engines := versionedPool{req.Pool, version}
	if p.full[engines] {
		return placement{}, false
	}
	for _, req := range withVersion(req, version) {
		if rsv, ok := p.runner.cfg.Registry.Acquire(req); ok {
			return placement{rsv, version}, true
		}
	}
	if _, lacking := p.runner.cfg.Registry.MemoryRoom(withVersion(req, version)[0]); !lacking {
		p.full[engines] = true
	}
	return placement{}, false
}

// withVersion returns what an attempt with the requirements req requires of an engine if it must
// have a weight version: first that the engine is known to hold it and, if engines load it, that
// it may have loaded it since.
func withVersion(req upstream.Requirements, version uint64) []upstream.Requirements {
	req.MinVersion, req.MaxVersion = version, version
	out := []upstream.Requirements{req}
	if version == req.Newest {
		req.Outdated = true
		out = append(out, req)
	}
	return out
}

// startsAgain reports whether the text of item i, which no engine with its weight version has
// room for, should start again.
func (p *placer) startsAgain(i int, pools []routetable.Share, req upstream.Requirements, version uint64) bool {
	r := p.runner
	length := r.run.Length(i)
	events, _ := r.run.LastEvent(i)
	t := completion.Interrupted{Events: events, Left: length.Work * length.MeanEvents, EventTime: r.run.estimator.EventTime(), Since: r.run.Unplaced(i, req.Now)}
	var known bool
	if t.Room, known = p.rooms[version]; !known {
		t.Room = r.run.RoomAt(version, req.Now)
		p.rooms[version] = t.Room
	}
	if p.route.Due > 0 {
		t.Due = r.head.AcceptedAt.Add(p.route.Due)
	}
	t.Awaited = slices.ContainsFunc(pools, func(s routetable.Share) bool {
		req.Pool = s.Pool
		return slices.ContainsFunc(withVersion(req, version), r.cfg.Registry.SuitableSoon)
	})
	return t.StartsAgain(req.Now)
}

// restart discards the text of item i.
func (r *Runner) restart(i int) {
	events, _ := r.run.LastEvent(i)
	r.cfg.OnEvent(RunEvent{What: TextRestarted, Submission: r.spec.ID, Item: r.spec.Items[i].ID, Events: events})
	r.run.Restart(i)
}
