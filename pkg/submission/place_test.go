package submission_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/forward"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// placedEvents is the number of events of a text unless placingEngines says otherwise.
const placedEvents = 10

// call is a request of a text to an engine.
type call struct {
	engine  string
	after   int
	refused bool
}

// placingEngines are engines of the pool "p" that hold weight versions of the model "m", whatever
// their entries say, and refuse requests for others.
type placingEngines struct {
	holds  map[string]uint64 // by ID
	busy   map[string]bool   // refuse all requests
	events int               // number of events of a text; 0 for placedEvents

	mu    sync.Mutex
	calls []call
}

func (e *placingEngines) Generate(_ context.Context, to upstream.Entry, g submission.GenerateRequest) (submission.Stream, *upstream.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.holds[to.ID]
	c := call{engine: to.ID, after: g.After, refused: e.busy[to.ID] || g.Version != 0 && g.Version != held}
	e.calls = append(e.calls, c)
	switch {
	case e.busy[to.ID]:
		return nil, &upstream.Load{Running: 1, Slots: 1}, forward.ErrNotRun
	case c.refused:
		return nil, nil, &submission.VersionMismatchError{}
	}
	s := &placedStream{version: held, last: g.After, end: cmp.Or(e.events, placedEvents)}
	if to.ID == "slow" {
		s.interval = slowEvent
	}
	return s, nil, nil
}

type placedStream struct {
	version   uint64
	last, end int
	interval  time.Duration // between events
}

func (s *placedStream) Next() (submission.Event, error) {
	if s.last == s.end {
		return submission.Event{}, io.EOF
	}
	time.Sleep(s.interval)
	s.last++
	return submission.Event{ID: s.last, Data: fmt.Sprintf("%d by version %d", s.last, s.version)}, nil
}
func (s *placedStream) Version() uint64 { return s.version }
func (s *placedStream) Last() int       { return s.last }
func (s *placedStream) Close()          {}

// run runs a submission of one item on a route with a single version for at most limit. The item
// has the first five events of its text by version. It returns the result, and false if there was
// none in time.
func (e *placingEngines) run(t *testing.T, registry *upstream.Registry, limit time.Duration, target, version uint64) (submission.Result, bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	partial := submission.PartialText{Item: "a", After: 5, Versions: []uint64{version}}
	for n := range 5 {
		partial.Text = append(partial.Text, fmt.Sprintf("%d by version %d", n+1, version))
	}
	r := submission.NewRunner(submission.Config{Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry, Generator: e,
		Route: func(string, string) (routetable.Route, bool, bool) {
			return routetable.Route{MaxAttempts: 2, SingleVersion: true, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
		},
		TargetVersion: func(string) uint64 { return target },
		Rand:          func() float64 { return 0 },
	}, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: time.Now()}, Fencing: 1},
		submission.Spec{ID: "s", Model: "m", MinVersion: version, Items: []submission.Item{{ID: "a"}}}, submission.PriorWork{Partials: []submission.PartialText{partial}})
	if err := r.Run(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
	results, _ := r.Results(0)
	if len(results) == 0 {
		return submission.Result{}, false
	}
	return results[0], true
}

// checkText checks that res is a whole text by one version.
func checkText(t *testing.T, res submission.Result, version uint64, events int) {
	t.Helper()
	var want []string
	for n := range events {
		want = append(want, fmt.Sprintf("%d by version %d", n+1, version))
	}
	if res.Output != strings.Join(want, "\n") || !slices.Equal(res.Versions, []uint64{version}) {
		t.Errorf("result %+v, want the whole text by version %d", res, version)
	}
}

// registryOf returns a registry with engines of one slot, by ID with the versions that their
// entries name, of which one may drain.
func registryOf(versions map[string]uint64, draining string) *upstream.Registry {
	var es []upstream.Entry
	for id, v := range versions {
		es = append(es, upstream.Entry{ID: id, Pool: "p", Address: id, Slots: 1, Draining: id == draining, Versions: map[string]uint64{"m": v}})
	}
	r := upstream.NewRegistry("")
	r.Set(es)
	return r
}

// Guards against a text of a route with a single version that is sent, again and again, to an
// engine with another version while one with its version is idle.
func TestTextGoesOnAtEngineWithItsVersion(t *testing.T) {
	for i := range 8 { // whatever engine is preferred
		old := fmt.Sprint("old", i)
		versions := map[string]uint64{old: 2, "new1": 3, "new2": 3, "new3": 3}
		e := &placingEngines{holds: versions}
		res, ok := e.run(t, registryOf(versions, ""), 2*time.Second, 3, 2)
		if !ok {
			t.Fatalf("no result after calls %+v", e.calls)
		}
		checkText(t, res, 2, placedEvents)
		if want := []call{{engine: old, after: 5}}; !slices.Equal(e.calls, want) {
			t.Fatalf("calls %+v, want %+v", e.calls, want)
		}
	}
}

// Guards against a text that waits for an engine that drains and gets no more requests.
func TestTextOfDrainingEngineStartsAgain(t *testing.T) {
	versions := map[string]uint64{"old": 2, "new": 3}
	e := &placingEngines{holds: versions}
	res, ok := e.run(t, registryOf(versions, "old"), 2*time.Second, 3, 2)
	if !ok {
		t.Fatalf("no result after calls %+v", e.calls)
	}
	checkText(t, res, 3, placedEvents)
	if want := []call{{engine: "new"}}; !slices.Equal(e.calls, want) {
		t.Fatalf("calls %+v, want %+v", e.calls, want)
	}
}

// Guards against a text that is sent every 50 ms to an engine that refuses it for its version,
// because the engine's entry names a version that it does not hold.
func TestEngineThatRefusedVersionIsNotAskedAgain(t *testing.T) {
	e := &placingEngines{holds: map[string]uint64{"misnamed": 3, "new": 3}}
	res, ok := e.run(t, registryOf(map[string]uint64{"misnamed": 2, "new": 3}, ""), 2*time.Second, 3, 2)
	if !ok {
		t.Fatalf("no result after calls %+v", e.calls)
	}
	checkText(t, res, 3, placedEvents)
	if len(e.calls) != 2 || e.calls[0] != (call{"misnamed", 5, true}) || e.calls[1].after != 0 {
		t.Fatalf("calls %+v, want one that is refused and one that starts again", e.calls)
	}
}

// Guards against a text that is continued at an engine that may have loaded a newer version than
// the text's meanwhile, which throws both parts away.
func TestTextIsNotSentToEngineThatLoadsOtherVersion(t *testing.T) {
	e := &placingEngines{holds: map[string]uint64{"busy": 2, "loaded": 3}, busy: map[string]bool{"busy": true}}
	res, ok := e.run(t, registryOf(map[string]uint64{"busy": 2, "loaded": 1}, ""), 3*time.Second, 3, 2)
	if !ok {
		t.Fatalf("no result after calls %+v", e.calls)
	}
	checkText(t, res, 3, placedEvents)
	if i := slices.IndexFunc(e.calls, func(c call) bool { return c.engine == "loaded" && c.after > 0 }); i >= 0 {
		t.Fatalf("calls %+v, want none that continues the text at an engine with another version", e.calls)
	}
}

// Guards against a text of the target version that starts again while engines load that version.
func TestTextGoesOnAtEngineThatHasJustLoadedItsVersion(t *testing.T) {
	e := &placingEngines{holds: map[string]uint64{"loaded": 3}}
	res, ok := e.run(t, registryOf(map[string]uint64{"loaded": 2}, ""), 2*time.Second, 3, 3)
	if !ok {
		t.Fatalf("no result after calls %+v", e.calls)
	}
	checkText(t, res, 3, placedEvents)
	if want := []call{{engine: "loaded", after: 5}}; !slices.Equal(e.calls, want) {
		t.Fatalf("calls %+v, want %+v", e.calls, want)
	}
}

// Guards against a text that waits without end for the only engine with its version, which
// refuses all requests, while another has room.
func TestTextDoesNotWaitForBusyEngineWithoutEnd(t *testing.T) {
	versions := map[string]uint64{"old": 2, "new": 3}
	e := &placingEngines{holds: versions, busy: map[string]bool{"old": true}}
	res, ok := e.run(t, registryOf(versions, ""), 3*time.Second, 3, 2)
	if !ok {
		t.Fatalf("no result after calls %+v", e.calls)
	}
	checkText(t, res, 3, placedEvents)
}

// Guards against a text of a route with a single version that leaves a slow engine again and
// again, because a faster one, which holds another version, has room.
func TestTextStaysAtSlowEngineWithItsVersion(t *testing.T) {
	registry := upstream.NewRegistry("")
	registry.Set([]upstream.Entry{{ID: "fast", Pool: "p", Address: "f", Slots: 2, Versions: map[string]uint64{"m": 3}}, {ID: "slow", Pool: "p", Address: "s", Slots: 2, Versions: map[string]uint64{"m": 2}}})
	for id, unit := range map[string]time.Duration{"fast": fastEvent, "slow": slowEvent} {
		for range 30 {
			rsv, ok := registry.Acquire(upstream.Requirements{Pool: "p", Now: time.Now(), Exclude: []string{map[string]string{"fast": "slow", "slow": "fast"}[id]}})
			if !ok {
				t.Fatal("no usable engine")
			}
			rsv.Done(upstream.AttemptResult{At: time.Now(), TimePerUnit: unit})
		}
	}
	e := &placingEngines{holds: map[string]uint64{"fast": 3, "slow": 2}, events: 40}
	res, ok := e.run(t, registry, 5*time.Second, 3, 2)
	if !ok {
		t.Fatalf("no result after calls %+v", e.calls)
	}
	checkText(t, res, 2, 40)
	if want := []call{{engine: "slow", after: 5}}; !slices.Equal(e.calls, want) {
		t.Fatalf("calls %+v, want %+v", e.calls, want)
	}
}
