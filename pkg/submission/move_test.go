package submission_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/completion"
	"github.com/zinnialadder/zinnialadder/pkg/platform"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against estimates without a hint, by a hint that the text has exceeded, or in
// units that differ between the items of a submission.
func TestLength(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a", Length: 100}, {ID: "b", Length: 300}, {ID: "c"}, {ID: "d", Length: 200}}}
	r := submission.NewRun(spec, nil, []submission.PartialText{{Item: "d", Text: make([]string, 12), After: 12, Versions: []uint64{1}}})
	for i, want := range []float64{0.5, 1.5, 1} {
		if got := r.Length(i); got.Work != want {
			t.Errorf("work of item %d is %v, want %v", i, got.Work, want)
		}
	}
	now := time.Unix(1_800_000_000, 0)
	r.Started(0, now)
	r.AttemptEnded(0, submission.AttemptOutput{Events: events(0, 1, 4), Complete: true}, submission.ItemPolicy{MaxAttempts: 1}, now)
	if got := r.Length(1); got.MeanEvents != 8 || got.Work != 1.5 {
		t.Errorf("length %+v, want 1.5 times a mean text of 8 events by a text with 4 for a hint of 100", got)
	}
	if got := r.Length(3); got.Work != 1.5 {
		t.Errorf("work of an item with 12 events of 8 expected is %v, want 1.5, as many again", got.Work)
	}
}

// Guards against a step whose first texts are placed as if nothing were known of the
// model's texts, although an earlier step of it ran at this owner.
func TestLengthByEarlierStep(t *testing.T) {
	spec := submission.Spec{Items: []submission.Item{{ID: "a", Length: 100}, {ID: "b", Length: 300}}}
	var e completion.Estimator
	e.ObserveText(100, 4)
	r := submission.NewRun(spec, nil, nil)
	r.UseEstimator(&e)
	if got := r.Length(0); got.MeanEvents != 8 || got.Work != 0.5 {
		t.Errorf("length %+v, want half of a mean text of 8 events by an earlier text with 4 for a hint of 100", got)
	}
}

// memoryStore accepts all writes of a run and forgets them.
type memoryStore struct{ submission.Store }

func (memoryStore) Commit(_ context.Context, ops ...platform.Op) ([]platform.Row, error) {
	var rows []platform.Row
	for _, op := range ops {
		rows = append(rows, platform.Row{Key: op.Key, Value: op.Value, Version: op.ExpectVersion + 1})
	}
	return rows, nil
}
func (memoryStore) PutObject(context.Context, string, []byte) error { return nil }
func (memoryStore) DeleteObject(context.Context, string) error      { return nil }

const (
	movedEvents = 80
	slowEvent   = 20 * time.Millisecond // time per event at engine "slow"
	fastEvent   = 2 * time.Millisecond  // and at engine "fast"
)

// pacedEngines generates texts at the pace of the engine. onEvent is called with the ID
// of each event.
type pacedEngines struct{ onEvent func(id int) }

func (p pacedEngines) Generate(_ context.Context, to upstream.Entry, g submission.GenerateRequest) (submission.Stream, *upstream.Load, error) {
	s := &pacedStream{engines: p, last: g.After, interval: fastEvent}
	if to.ID == "slow" {
		s.interval = slowEvent
	}
	return s, nil, nil
}

type pacedStream struct {
	engines  pacedEngines
	last     int
	interval time.Duration
}

func (s *pacedStream) Next() (submission.Event, error) {
	if s.last == movedEvents {
		return submission.Event{}, io.EOF
	}
	time.Sleep(s.interval)
	s.last++
	s.engines.onEvent(s.last)
	return submission.Event{ID: s.last, Data: fmt.Sprint(s.last)}, nil
}
func (s *pacedStream) Version() uint64 { return 1 }
func (s *pacedStream) Last() int       { return s.last }
func (s *pacedStream) Close()          {}

// Guards against a text that loses or repeats events when it moves to a faster engine,
// and against a slot there that stays reserved.
func TestTextMovesToFasterEngine(t *testing.T) {
	const slots = 2
	registry := upstream.NewRegistry("")
	registry.SetContended(true)
	registry.Set([]upstream.Entry{{ID: "fast", Pool: "p", Address: "f", Slots: slots}, {ID: "slow", Pool: "p", Address: "s", Slots: slots}})
	now := time.Now()
	acquire := func(exclude string) *upstream.Reservation {
		rsv, ok := registry.Acquire(upstream.Requirements{Pool: "p", Now: now, NeedFreeSlot: true, Exclude: []string{exclude}})
		if !ok {
			t.Fatal("no free slot")
		}
		return rsv
	}
	for range 30 {
		for exclude, unit := range map[string]time.Duration{"slow": fastEvent, "fast": slowEvent} {
			acquire(exclude).Done(upstream.AttemptResult{At: now, TimePerUnit: unit})
		}
	}
	taken := []*upstream.Reservation{acquire("slow"), acquire("slow")} // so that the text starts at the slow engine
	var free sync.Once
	engines := pacedEngines{onEvent: func(id int) {
		if id == 3 {
			free.Do(func() {
				for _, rsv := range taken {
					rsv.Release()
				}
			})
		}
	}}
	moves := 0
	r := submission.NewRunner(submission.Config{Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry, Generator: engines,
		Route: func(string, string) (routetable.Route, bool, bool) {
			return routetable.Route{MaxAttempts: 2, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
		},
		TargetVersion: func(string) uint64 { return 0 },
		Rand:          func() float64 { return 0 },
		OnEvent: func(e submission.RunEvent) {
			if e.What == submission.TextMoved {
				moves++
			}
		},
	}, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: now}, Fencing: 1}, submission.Spec{ID: "s", Items: []submission.Item{{ID: "a"}}}, submission.PriorWork{})
	if err := r.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	var want []string
	for i := range movedEvents {
		want = append(want, fmt.Sprint(i+1))
	}
	results, _ := r.Results(0)
	if len(results) != 1 || results[0].Output != strings.Join(want, "\n") {
		t.Fatalf("results %+v, want the %d events of one text in order", results, movedEvents)
	}
	if moves != 1 {
		t.Errorf("%d moves, want one, to the fast engine", moves)
	}
	for range slots {
		acquire("slow")
		acquire("fast")
	}
}

// versionedEngines generates texts with one weight version, and refuses others.
type versionedEngines struct {
	pacedEngines
	version uint64
}

func (v versionedEngines) Generate(ctx context.Context, to upstream.Entry, g submission.GenerateRequest) (submission.Stream, *upstream.Load, error) {
	if g.Version != 0 && g.Version != v.version {
		return nil, nil, &submission.VersionMismatchError{}
	}
	s, load, err := v.pacedEngines.Generate(ctx, to, g)
	return versionedStream{s, v.version}, load, err
}

type versionedStream struct {
	submission.Stream
	version uint64
}

func (s versionedStream) Version() uint64 { return s.version }

// A text that must have a single weight version used to be refused every 50 ms without
// end once no engine held its version any more, for example after its engine was taken
// away while the others loaded. It must start again.
func TestTextOfLostVersionStartsAgain(t *testing.T) {
	registry := upstream.NewRegistry("")
	registry.Set([]upstream.Entry{{ID: "fast", Pool: "p", Address: "f", Slots: 2, Versions: map[string]uint64{"m": 2}}})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r := submission.NewRunner(submission.Config{Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry,
		Generator: versionedEngines{pacedEngines{onEvent: func(int) {}}, 2},
		Route: func(string, string) (routetable.Route, bool, bool) {
			return routetable.Route{MaxAttempts: 2, SingleVersion: true, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
		},
		TargetVersion: func(string) uint64 { return 2 },
		Rand:          func() float64 { return 0 },
	}, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: time.Now()}, Fencing: 1}, submission.Spec{ID: "s", Model: "m", MinVersion: 1, Items: []submission.Item{{ID: "a"}}},
		submission.PriorWork{Partials: []submission.PartialText{{Item: "a", Text: []string{"old"}, After: 1, Versions: []uint64{1}}}})
	if err := r.Run(ctx); err != nil {
		t.Fatalf("run: %v, want the text to start again with version 2", err)
	}
	results, _ := r.Results(0)
	if len(results) != 1 || !strings.HasPrefix(results[0].Output, "1\n2\n") || !slices.Equal(results[0].Versions, []uint64{2}) {
		t.Errorf("results %+v, want a whole text of version 2", results)
	}
}

// cutEngines cut off each text that starts anew after two events.
type cutEngines struct{ pacedEngines }

func (c cutEngines) Generate(ctx context.Context, to upstream.Entry, g submission.GenerateRequest) (submission.Stream, *upstream.Load, error) {
	s, load, err := c.pacedEngines.Generate(ctx, to, g)
	return cutStream{s, g.After == 0}, load, err
}

type cutStream struct {
	submission.Stream
	cut bool
}

func (s cutStream) Next() (submission.Event, error) {
	if s.cut && s.Last() == 2 {
		return submission.Event{}, errors.New("connection reset")
	}
	return s.Stream.Next()
}

// Guards against engines that cut texts off and do not count as failing, and against ones
// that count as failing because they load weights.
func TestInterruptedTextCountsAsFailed(t *testing.T) {
	for target, want := range map[uint64]int{1: 1, 2: 0} {
		registry := upstream.NewRegistry("")
		registry.SetContended(true)
		registry.Set([]upstream.Entry{{ID: "fast", Pool: "p", Slots: 2, Versions: map[string]uint64{"m": 1}}})
		r := submission.NewRunner(submission.Config{Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry, Generator: cutEngines{pacedEngines{func(int) {}}},
			Route: func(string, string) (routetable.Route, bool, bool) {
				return routetable.Route{MaxAttempts: 2, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
			}, TargetVersion: func(string) uint64 { return target }, Rand: func() float64 { return 0 },
		}, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: time.Now()}, Fencing: 1}, submission.Spec{ID: "s", Model: "m", MinVersion: 1, Items: []submission.Item{{ID: "a"}}}, submission.PriorWork{})
		err := r.Run(t.Context())
		if changes, _ := registry.FailureChanges(time.Now()); err != nil || len(changes) != want {
			t.Errorf("target version %d: %v, changes %+v, want %d", target, err, changes, want)
		}
	}
}
