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

// guarded is a Guard before stand-ins.
type guarded struct {
	*quarantine.Guard
	gone    atomic.Bool // upstreams take no connections
	leaving atomic.Bool
	probes  atomic.Int64
	claims  atomic.Int64
	claim   atomic.Pointer[error] // of claims of trials
	group   errgroup.Group
}

func newGuarded(t *testing.T) *guarded {
	g := &guarded{}
	g.Guard = quarantine.NewGuard(quarantine.Config{
		NotListening: func(context.Context, upstream.Entry) bool {
			g.probes.Add(1)
			return g.gone.Load()
		},
		IsLeaving: func(upstream.Entry) bool { return g.leaving.Load() },
		ClaimTrial: func(context.Context, quarantine.Fact) (uint64, error) {
			n := g.claims.Add(1)
			if err := g.claim.Load(); err != nil {
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

// run runs a content at upstream i-n, and returns whether it was let through.
func (g *guarded) run(c quarantine.Content, n int, o quarantine.Outcome) error {
	a, err := g.Begin(context.Background(), c, entryOf(n))
	if err == nil {
		time.Sleep(10 * time.Millisecond) // long enough to have been run
		a.Done(context.Background(), o)
	}
	return err
}

func entryOf(n int) upstream.Entry { return upstream.Entry{ID: fmt.Sprintf("i-%d", n), Born: 1} }

// settle waits until no probe is under way.
func (g *guarded) settle() { _ = g.group.Wait() }

// The request that breaks off at a third upstream is refused before it is sent on,
// although the ends before it are not yet known for sure.
func TestThirdEndIsWaitedFor(t *testing.T) {
	g, c := newGuarded(t), quarantine.Content{URI: "/poison"}
	g.gone.Store(true)
	for i := range 3 {
		if err := g.Check(c, time.Now()); err != nil {
			t.Fatalf("refused after %d ends: %v", i, err)
		}
		if err := g.run(c, i, quarantine.ConnectionLost); err != nil {
			t.Fatal(err)
		}
	}
	var refused *quarantine.RefusedError
	if err := g.Check(c, time.Now()); !errors.As(err, &refused) || !refused.Until.After(time.Now()) {
		t.Errorf("%v after three ends", err)
	}
	if err := g.Check(quarantine.Content{URI: "/other"}, time.Now()); err != nil {
		t.Errorf("another request: %v", err)
	}
}

// What breaks off for another reason than its upstream's end counts for nothing:
// connections that are reset, upstreams that leave, requests sent to one that has ended.
func TestOtherBreaksDoNotCount(t *testing.T) {
	c := quarantine.Content{URI: "/a"}
	for name, break3 := range map[string]func(g *guarded){
		"reset": func(g *guarded) {
			for i := range 3 {
				_ = g.run(c, i, quarantine.ConnectionLost)
			}
		},
		"leaving": func(g *guarded) {
			g.gone.Store(true)
			g.leaving.Store(true)
			for i := range 3 {
				_ = g.run(c, i, quarantine.ConnectionLost)
			}
		},
		"sent later": func(g *guarded) {
			g.gone.Store(true)
			for i := range 3 {
				_ = g.run(quarantine.Content{URI: "/cause"}, i, quarantine.ConnectionLost)
			}
			g.settle()
			for i := range 3 {
				_ = g.run(c, i, quarantine.ConnectionLost)
			}
		},
		"answers": func(g *guarded) {
			g.gone.Store(true)
			for i := range 6 {
				_ = g.run(c, i, []quarantine.Outcome{quarantine.Failed, quarantine.NotRun}[i%2])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGuarded(t)
			break3(g)
			g.settle()
			if err := g.Check(c, time.Now()); err != nil {
				t.Error(err)
			}
		})
	}
}

// An upstream that answers after a connection to it broke is not asked whether it has
// ended: each connection is paid for.
func TestUpstreamThatAnswersIsNotProbed(t *testing.T) {
	g := newGuarded(t)
	_ = g.run(quarantine.Content{URI: "/a"}, 1, quarantine.ConnectionLost)
	_ = g.run(quarantine.Content{URI: "/b"}, 1, quarantine.Answered)
	g.settle()
	if n := g.probes.Load(); n != 0 {
		t.Errorf("%d connections", n)
	}
}

// A request that was given up at an upstream counts among those under which it ends
// shortly after, found by a request that it takes no connection for.
func TestRequestGivenUpCounts(t *testing.T) {
	g, c := newGuarded(t), quarantine.Content{URI: "/poison"}
	g.gone.Store(true)
	for i := range 3 {
		_ = g.run(c, i, quarantine.Abandoned)
		_ = g.run(quarantine.Content{URI: "/other"}, i, quarantine.Unreachable)
	}
	g.settle()
	if err := g.Check(c, time.Now()); err == nil {
		t.Error("let through after three ends")
	}
}

// A trial that cannot be claimed, as another instance has it or the store is away, is
// not run, and not asked for again at once.
func TestTrialWithoutClaimIsNotRun(t *testing.T) {
	for _, cause := range []error{quarantine.ErrTrialClaimed, errors.New("store away")} {
		g, c := newGuarded(t), quarantine.Content{URI: "/poison"}
		rows := make([]quarantine.Row, 3)
		for i := range rows {
			rows[i] = quarantine.Row{Fact: quarantine.Fact{Content: c.Fingerprint(), Kind: quarantine.Crash, Subject: fmt.Sprint(i)}, Version: uint64(i + 1)}
		}
		g.Apply(rows, true, time.Now().Add(-time.Minute))
		g.claim.Store(&cause)
		for range 5 {
			if err := g.run(c, 1, quarantine.Answered); !errors.Is(err, quarantine.ErrQuarantined) {
				t.Errorf("%v: run", cause)
			}
		}
		if n := g.claims.Load(); n != 1 {
			t.Errorf("%v: %d claims", cause, n)
		}
	}
}

// A trial at an upstream that takes no connection is given back: all upstreams of a small
// pool are down when the first trial may be.
func TestTrialAtUpstreamThatIsDownIsGivenBack(t *testing.T) {
	g, c := newGuarded(t), quarantine.Content{URI: "/bystander"}
	rows := make([]quarantine.Row, 3)
	for i := range rows {
		rows[i] = quarantine.Row{Fact: quarantine.Fact{Content: c.Fingerprint(), Kind: quarantine.Crash, Subject: fmt.Sprint(i)}, Version: uint64(i + 1)}
	}
	g.Apply(rows, true, time.Now().Add(-time.Hour))
	for n := range 5 {
		if err := g.run(c, 1, quarantine.Unreachable); err != nil {
			t.Fatalf("trial %d: %v", n, err)
		}
		pending := g.Pending(time.Now(), false)
		if len(pending.Delete) != 1 || pending.Delete[0].Kind != quarantine.Trial {
			t.Fatalf("rows to delete %+v, want the trial's", pending.Delete)
		}
		g.MarkDeleted(pending.Delete[0].Fact)
		time.Sleep(1100 * time.Millisecond)
	}
	if err := g.run(c, 1, quarantine.Answered); err != nil {
		t.Errorf("%v, want a trial left", err)
	}
}

// Without anything known a request costs neither the fingerprint of its body nor
// memory, and one that ends well takes no lock.
func BenchmarkGuardWithoutSuspects(b *testing.B) {
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
		b.Errorf("%v a request", per)
	}
}
