package submission_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// Guards against a longest text that starts last, after all shorter ones have gone ahead of
// it one by one, because an engine that is full never has the memory for it. The engine has
// six slots and runs other texts when the submission begins. The item that fits into no
// engine must neither start nor hold the others up.
func TestLongestTextIsNotOvertakenByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const shorter, tokens = 40, 9_500
		registry := upstream.NewRegistry("")
		registry.SetContended(true)
		registry.SetMemory(map[string]int{"p": 62_540})
		registry.Set([]upstream.Entry{{ID: "slow", Pool: "p", Address: "e", Slots: 6}})
		for i := range 6 {
			rsv, _ := registry.Acquire(upstream.Requirements{Pool: "p", Now: time.Now(), Tokens: tokens})
			time.AfterFunc(time.Duration(i+1)*movedEvents*slowEvent/6, func() { rsv.Done(upstream.AttemptResult{At: time.Now()}) })
		}
		items := []submission.Item{{ID: "too large", Length: 62_541, Tokens: upstream.TokenUse{Output: 62_541}}, {ID: "longest", Length: 14_000, Tokens: upstream.TokenUse{Output: 14_000}}}
		for i := range shorter {
			items = append(items, submission.Item{ID: fmt.Sprint(i), Length: tokens, Tokens: upstream.TokenUse{Output: tokens}})
		}
		var mu sync.Mutex
		events := map[string][]string{} // items by what happened to them
		r := submission.NewRunner(submission.Config{Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry, Generator: pacedEngines{onEvent: func(int) {}},
			Route: func(string, string) (routetable.Route, bool, bool) {
				return routetable.Route{MaxAttempts: 2, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
			},
			TargetVersion: func(string) uint64 { return 0 }, Rand: func() float64 { return 0 },
			OnEvent: func(e submission.RunEvent) {
				mu.Lock()
				defer mu.Unlock()
				events[e.What] = append(events[e.What], e.Item)
			},
		}, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: time.Now()}, Fencing: 1}, submission.Spec{ID: "s", Items: items}, submission.PriorWork{})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := r.Run(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("run ended with %v, want the too large item to wait", err)
		}
		if n := slices.Index(events["generating"], "longest"); n < 1 || n > shorter/3 {
			t.Errorf("%d of %d shorter texts went ahead of the longest, want at least one and at most a third", n, shorter)
		}
		if results, _ := r.Results(0); len(results) != shorter+1 || len(events["generating"]) != shorter+1 {
			t.Errorf("%d results of %d texts, want %d", len(results), len(events["generating"]), shorter+1)
		}
		if got := events[submission.ItemTooLarge]; !slices.Equal(got, []string{"too large"}) {
			t.Errorf("too large items reported: %v, want one", got)
		}
	})
}

// Guards against a gauge of held results that shows results as held which are written, until
// the instance has nothing more to do for the submission, which takes calls to the store.
func TestNoResultIsHeldAfterRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := upstream.NewRegistry("")
		registry.Set([]upstream.Entry{{ID: "fast", Pool: "p", Address: "f", Slots: 2}})
		r := submission.NewRunner(submission.Config{Repository: submission.Repository{Store: memoryStore{}, MaxRowBytes: 1 << 20}, Registry: registry, Generator: pacedEngines{func(int) {}},
			Route: func(string, string) (routetable.Route, bool, bool) {
				return routetable.Route{MaxAttempts: 2, Shares: []routetable.Share{{Pool: "p", Weight: 1}}}, true, true
			}, TargetVersion: func(string) uint64 { return 0 }, Rand: func() float64 { return 0 },
		}, submission.HeadRow{Head: submission.Head{ID: "s", AcceptedAt: time.Now()}, Fencing: 1}, submission.Spec{ID: "s", Items: []submission.Item{{ID: "a"}}}, submission.PriorWork{})
		if err := r.Run(t.Context()); err != nil || r.HeldResults() != 0 {
			t.Errorf("got %v and %d results held after all were written, want none", err, r.HeldResults())
		}
	})
}
