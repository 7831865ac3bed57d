package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/quarantine"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
)

// testGuard is a Guard with fake callbacks.
type testGuard struct {
	*quarantine.Guard
	down     atomic.Bool // whether upstreams refuse connections
	hanging  atomic.Bool // whether connections to upstreams hang
	leaving  atomic.Bool
	probes   atomic.Int64
	claims   atomic.Int64
	claimErr atomic.Pointer[error] // returned by claims of trials; nil for none
	group    errgroup.Group
}

func newTestGuard(t *testing.T) *testGuard {
	g := &testGuard{}
	g.Guard = quarantine.NewGuard(quarantine.Config{
		NotListening: func(ctx context.Context, _ upstream.Entry) bool {
			g.probes.Add(1)
			if g.hanging.Load() {
				<-ctx.Done()
				return false
			}
			return g.down.Load()
		},
		IsLeaving: func(upstream.Entry) bool { return g.leaving.Load() },
		ClaimTrial: func(context.Context, quarantine.Fact) (uint64, error) {
			n := g.claims.Add(1)
			if err := g.claimErr.Load(); err != nil {
				return 0, *err
			}
			return uint64(n), nil
		},
		Go:       func(f func() error) { g.group.Go(f) },
		OnChange: func() {},
		OnEvent:  func(quarantine.Event) {},
	})
	t.Cleanup(func() { _ = g.group.Wait() }) // its functions return nil
	return g
}

// run runs a content at upstream i-n with the given outcome, and returns the error of
// Begin.
func (g *testGuard) run(c quarantine.Content, n int, o quarantine.Outcome) error {
	a, err := g.Begin(context.Background(), c, entryOf(n))
	if err == nil {
		time.Sleep(10 * time.Millisecond) // longer than minCrashTime
		a.Done(context.Background(), o)
	}
	return err
}

func entryOf(n int) upstream.Entry { return upstream.Entry{ID: fmt.Sprintf("i-%d", n), Born: 1} }

// waitForProbes waits until no probe is in progress.
func (g *testGuard) waitForProbes() { _ = g.group.Wait() }

// A request that loses its connection to a third upstream is refused before it can be
// sent to the next, although the probes of the earlier upstreams are still in progress.
func TestThirdCrashIsAwaited(t *testing.T) {
	g, c := newTestGuard(t), quarantine.Content{URI: "/poison"}
	g.down.Store(true)
	for i := range 3 {
		if err := g.Check(c, time.Now()); err != nil {
			t.Fatalf("Check after %d crashes: got %v, want nil", i, err)
		}
		if err := g.run(c, i, quarantine.ConnectionLost); err != nil {
			t.Fatal(err)
		}
	}
	var refused *quarantine.RefusedError
	if err := g.Check(c, time.Now()); !errors.As(err, &refused) || !refused.Until.After(time.Now()) {
		t.Errorf("Check after three crashes: got %v, want a RefusedError for a later time", err)
	}
	if err := g.Check(quarantine.Content{URI: "/other"}, time.Now()); err != nil {
		t.Errorf("Check of another request: got %v, want nil", err)
	}
}

// share passes the crashes that g has found to another instance.
func (g *testGuard) share(t *testing.T, to *testGuard) {
	t.Helper()
	rows := g.Pending(time.Now().Add(time.Second), false).Put
	for i := range rows {
		rows[i].Version = 1
		g.MarkShared(rows[i].Fact, 1)
	}
	to.Apply(rows, false, time.Now())
}

// Guards against crashes that different instances find at an upstream that keeps its ID
// when it restarts: they were taken for one crash, so that a request ran more often than
// allowed.
func TestCrashesFoundByDifferentInstancesCount(t *testing.T) {
	a, b, c := newTestGuard(t), newTestGuard(t), quarantine.Content{URI: "/poison"}
	for i, g := range []*testGuard{a, b, a} {
		if err := a.Check(c, time.Now()); err != nil {
			t.Fatalf("Check after %d crashes: got %v, want nil", i, err)
		}
		g.down.Store(true)
		if err := g.run(c, 1, quarantine.ConnectionLost); err != nil {
			t.Fatal(err)
		}
		g.waitForProbes()
		time.Sleep(110 * time.Millisecond) // longer than staleConnectionWindow
		a.share(t, b)
		b.share(t, a)
	}
	for name, g := range map[string]*testGuard{"the first": a, "the second": b} {
		if err := g.Check(c, time.Now()); !errors.Is(err, quarantine.ErrQuarantined) {
			t.Errorf("Check at %s instance after three crashes: got %v, want ErrQuarantined", name, err)
		}
	}
}

// A crash that several instances find counts once, also if one learns of it from another
// before its own probe ends.
func TestCrashFoundByTwoInstancesCountsOnce(t *testing.T) {
	a, b, c := newTestGuard(t), newTestGuard(t), quarantine.Content{URI: "/poison"}
	a.down.Store(true)
	b.down.Store(true)
	for n := range 2 { // one crash of each of two upstreams
		attempt, err := b.Begin(context.Background(), c, entryOf(n))
		if err != nil {
			t.Fatal(err)
		}
		if err := a.run(c, n, quarantine.ConnectionLost); err != nil {
			t.Fatal(err)
		}
		a.waitForProbes()
		if n == 1 {
			a.share(t, b)
		}
		attempt.Done(context.Background(), quarantine.ConnectionLost)
		b.waitForProbes()
	}
	a.share(t, b)
	b.share(t, a)
	for name, g := range map[string]*testGuard{"the first": a, "the second": b} {
		if err := g.Check(c, time.Now()); err != nil {
			t.Errorf("Check at %s instance after two crashes: got %v, want nil", name, err)
		}
	}
}

// Connections lost for another reason than a crash do not count: resets, upstreams that
// leave, requests sent to an upstream that has crashed already, and error answers.
func TestOtherFailuresDoNotCount(t *testing.T) {
	c := quarantine.Content{URI: "/a"}
	for name, run := range map[string]func(g *testGuard){
		"reset": func(g *testGuard) {
			for i := range 3 {
				_ = g.run(c, i, quarantine.ConnectionLost)
			}
		},
		"leaving": func(g *testGuard) {
			g.down.Store(true)
			g.leaving.Store(true)
			for i := range 3 {
				_ = g.run(c, i, quarantine.ConnectionLost)
			}
		},
		"sent later": func(g *testGuard) {
			g.down.Store(true)
			for i := range 3 {
				_ = g.run(quarantine.Content{URI: "/cause"}, i, quarantine.ConnectionLost)
			}
			g.waitForProbes()
			for i := range 3 {
				_ = g.run(c, i, quarantine.ConnectionLost)
			}
		},
		"answers": func(g *testGuard) {
			g.down.Store(true)
			for i := range 6 {
				_ = g.run(c, i, []quarantine.Outcome{quarantine.Failed, quarantine.NotRun}[i%2])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGuard(t)
			run(g)
			g.waitForProbes()
			if err := g.Check(c, time.Now()); err != nil {
				t.Error(err)
			}
		})
	}
}

// An upstream that answers a request after another has lost its connection is not
// probed, since each probe costs a connection.
func TestAnsweringUpstreamIsNotProbed(t *testing.T) {
	g := newTestGuard(t)
	_ = g.run(quarantine.Content{URI: "/a"}, 1, quarantine.ConnectionLost)
	_ = g.run(quarantine.Content{URI: "/b"}, 1, quarantine.Answered)
	g.waitForProbes()
	if n := g.probes.Load(); n != 0 {
		t.Errorf("got %d probe connections, want 0", n)
	}
}

// Guards against an item that is never placed again because upstreams crashed while they ran it,
// and against crashes under it that hold back the request of a caller with the same bytes.
func TestExemptRequestIsNeverRefused(t *testing.T) {
	g, c := newTestGuard(t), quarantine.Content{URI: "/item"}
	g.down.Store(true)
	for i := range 8 {
		a := g.BeginExempt(c, entryOf(i))
		time.Sleep(10 * time.Millisecond) // longer than minCrashTime
		a.Done(context.Background(), []quarantine.Outcome{quarantine.ConnectionLost, quarantine.Abandoned}[i%2])
		_ = g.run(quarantine.Content{URI: fmt.Sprint("/other", i)}, i, quarantine.Unreachable)
		g.waitForProbes()
	}
	if err := g.Check(c, time.Now()); err != nil {
		t.Errorf("Check of the same bytes from a caller: got %v, want nil", err)
	}
	if n := len(g.Pending(time.Now().Add(time.Minute), false).Put); n != 0 {
		t.Errorf("got %d rows to write, want 0", n)
	}
}

// Guards against an answer to an item that leaves the request of a caller with the same bytes
// in quarantine, and against crashes that a lost item finds and that do not explain others.
func TestExemptRequestIsEvidence(t *testing.T) {
	g, c := newTestGuard(t), quarantine.Content{URI: "/a"}
	g.down.Store(true)
	for i := range 3 {
		_ = g.run(c, i, quarantine.ConnectionLost)
	}
	if err := g.Check(c, time.Now()); !errors.Is(err, quarantine.ErrQuarantined) {
		t.Fatalf("Check after three crashes: got %v, want ErrQuarantined", err)
	}
	g.BeginExempt(c, entryOf(9)).Done(context.Background(), quarantine.Answered)
	if err := g.Check(c, time.Now()); err != nil {
		t.Errorf("Check after an answer: got %v, want nil", err)
	}
	bystander := quarantine.Content{URI: "/bystander"}
	for i := range 3 { // each at the moment of another upstream's crash, which an item finds
		item := g.BeginExempt(quarantine.Content{URI: "/item"}, entryOf(20+i))
		a, err := g.Begin(context.Background(), bystander, entryOf(10+i))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // longer than minCrashTime
		item.Done(context.Background(), quarantine.ConnectionLost)
		a.Done(context.Background(), quarantine.ConnectionLost)
		g.waitForProbes()
	}
	if err := g.Check(bystander, time.Now()); err != nil {
		t.Errorf("Check of a request whose crashes are explained: got %v, want nil", err)
	}
}

// Guards against an instance that stops and waits for a probe of an upstream that does not
// answer, half a second of the time until it is killed.
func TestStopEndsProbes(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before it connects": 0, "while it connects": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := newTestGuard(t)
			g.hanging.Store(true)
			if err := g.run(quarantine.Content{URI: "/a"}, 1, quarantine.ConnectionLost); err != nil {
				t.Fatal(err)
			}
			time.Sleep(delay)
			startedAt := time.Now()
			g.Stop()
			g.waitForProbes()
			if took := time.Since(startedAt); took > 200*time.Millisecond {
				t.Errorf("probe ended %v after the stop, want 200ms at most", took)
			}
		})
	}
}

// A request that was abandoned at an upstream counts as running when the upstream is
// found to have crashed shortly after, here by a request that gets no connection.
func TestAbandonedRequestCounts(t *testing.T) {
	g, c := newTestGuard(t), quarantine.Content{URI: "/poison"}
	g.down.Store(true)
	for i := range 3 {
		_ = g.run(c, i, quarantine.Abandoned)
		_ = g.run(quarantine.Content{URI: "/other"}, i, quarantine.Unreachable)
	}
	g.waitForProbes()
	if err := g.Check(c, time.Now()); err == nil {
		t.Error("Check after three crashes: got nil, want an error")
	}
}

// A trial whose claim fails, because another instance has it or the store is
// unavailable, does not run and is not claimed again at once.
func TestUnclaimedTrialIsNotRun(t *testing.T) {
	for _, cause := range []error{quarantine.ErrTrialClaimed, errors.New("store unavailable")} {
		g, c := newTestGuard(t), quarantine.Content{URI: "/poison"}
		rows := make([]quarantine.Row, 3)
		for i := range rows {
			rows[i] = quarantine.Row{Fact: quarantine.Fact{Content: c.Fingerprint(), Kind: quarantine.Crash, Subject: fmt.Sprint(i)}, Version: uint64(i + 1)}
		}
		g.Apply(rows, true, time.Now().Add(-time.Minute))
		g.claimErr.Store(&cause)
		for range 5 {
			if err := g.run(c, 1, quarantine.Answered); !errors.Is(err, quarantine.ErrQuarantined) {
				t.Errorf("claim fails with %q: got %v, want ErrQuarantined", cause, err)
			}
		}
		if n := g.claims.Load(); n != 1 {
			t.Errorf("claim fails with %q: got %d claims, want 1", cause, n)
		}
	}
}

// A trial at an upstream that accepts no connection is returned. In a small pool all
// upstreams may be down when the first trial is due.
func TestTrialAtUnreachableUpstreamIsReturned(t *testing.T) {
	g, c := newTestGuard(t), quarantine.Content{URI: "/bystander"}
	rows := make([]quarantine.Row, 3)
	for i := range rows {
		rows[i] = quarantine.Row{Fact: quarantine.Fact{Content: c.Fingerprint(), Kind: quarantine.Crash, Subject: fmt.Sprint(i)}, Version: uint64(i + 1)}
	}
	g.Apply(rows, true, time.Now().Add(-time.Hour))
	for n := range 5 {
		if err := g.run(c, 1, quarantine.Unreachable); err != nil {
			t.Fatalf("trial %d: got %v, want nil", n, err)
		}
		pending := g.Pending(time.Now(), false)
		if len(pending.Delete) != 1 || pending.Delete[0].Kind != quarantine.Trial {
			t.Fatalf("rows to delete: got %+v, want that of the trial", pending.Delete)
		}
		g.MarkDeleted(pending.Delete[0].Fact)
		time.Sleep(1100 * time.Millisecond)
	}
	if err := g.run(c, 1, quarantine.Answered); err != nil {
		t.Errorf("after returned trials: got %v, want another trial", err)
	}
}

// While no crash is known, a request needs no fingerprint of its body and no
// allocation, and one that is answered takes no lock.
func BenchmarkGuardWithoutCrashes(b *testing.B) {
	var g quarantine.Guard
	c := quarantine.Content{Method: "POST", URI: "/lookup/x", Body: make([]byte, 4096)}
	e, ctx := entryOf(1), context.Background()
	b.ReportAllocs()
	for b.Loop() {
		if err := g.Check(c, time.Time{}); err != nil {
			b.Fatal(err)
		}
		a, err := g.Begin(ctx, c, e)
		if err != nil {
			b.Fatal(err)
		}
		a.Done(ctx, quarantine.Answered)
	}
	if per := b.Elapsed() / time.Duration(b.N); b.N > 10000 && per > 2*time.Microsecond {
		b.Errorf("got %v for each request, want at most 2µs", per)
	}
}
