package node_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/zinnialadder/zinnialadder/pkg/carryover"
	"github.com/zinnialadder/zinnialadder/pkg/node"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/platform"
	"github.com/zinnialadder/zinnialadder/platform/sitetest"
)

func newCarryNode(t *testing.T, store *sitetest.Store, name string) *node.Node {
	return node.New(node.Config{Name: name, Store: platform.NewStore(store.Serve(t, name)), Upstreams: platform.NewUpstreamClient(platform.UpstreamClientConfig{}), Decoder: platform.Decoder(), Logger: log.New(io.Discard)})
}

func endedHead(id, customer string, version uint64) submission.HeadRow {
	return submission.HeadRow{Head: submission.Head{ID: id, Model: "m", Customer: customer, Ended: true}, Fencing: version}
}

func leftBy(h submission.HeadRow) carryover.Record {
	return carryover.Record{Key: h.CarryoverKey(), Submission: h.ID, Items: []string{"i"},
		Texts: []carryover.Text{{Item: "i", Request: "r", Text: []string{"a"}, After: 1}}}
}

// The texts of the submission that ended last must be used: from memory at its owner,
// also where clocks differ, and from the store where the memory is of an older one. A
// slow store must delay the run by no more than the timeout, and another customer's texts
// must never be used.
func TestPrevious(t *testing.T) {
	ctx := context.Background()
	store := sitetest.NewStore()
	a, b := newCarryNode(t, store, "a"), newCarryNode(t, store, "b")
	l1, l2, l3 := endedHead("l1", "c", 2), endedHead("l2", "c", 5), endedHead("l3", "c", 9)
	l1.AcceptedAt = time.Unix(1_800_000_009, 0) // by a clock that is ahead
	for _, h := range []submission.HeadRow{l1, l2, endedHead("o", "other", 7)} {
		a.SetHead(h)
		b.SetHead(h)
	}
	if err := errors.Join(a.KeepCarried(ctx, leftBy(l1)), b.KeepCarried(ctx, leftBy(l2))); err != nil {
		t.Fatal(err)
	}
	for n, want := range map[*node.Node]string{a: "store", b: "memory"} {
		if got := n.Previous(ctx, l3); got.Submission != "l2" || got.Source != want {
			t.Errorf("got submission %q from %s, want l2 from %s", got.Submission, got.Source, want)
		}
	}
	if got := b.Previous(ctx, endedHead("p", "other", 9)); len(got.Texts) != 0 {
		t.Errorf("got texts of %+v for another customer", got.Key)
	}
	store.SetFaults("a", sitetest.StoreFaults{Hang: true})
	started := time.Now()
	if got := a.Previous(ctx, l3); got.Submission != "l1" || time.Since(started) > time.Second {
		t.Errorf("store hangs: got submission %q after %v, want l1 after 150ms", got.Submission, time.Since(started))
	}
}

// The object must be deleted with the last submission of its model and customer, and not
// before: it would stay forever, or be missing for the next step.
func TestSweepDeletesCarried(t *testing.T) {
	ctx := context.Background()
	store := sitetest.NewStore()
	a := newCarryNode(t, store, "a")
	l1, l2 := endedHead("l1", "c", 2), endedHead("l2", "c", 5)
	for _, h := range []submission.HeadRow{l1, l2, endedHead("o", "other", 7)} {
		a.SetHead(h)
	}
	if err := a.KeepCarried(ctx, leftBy(l2)); err != nil {
		t.Fatal(err)
	}
	a.Sweep(ctx, l1)
	if n := len(store.ObjectNames("carried-")); n != 1 {
		t.Fatalf("got %d objects while a submission of the model is left, want 1", n)
	}
	a.Sweep(ctx, l2)
	if n := len(store.ObjectNames("carried-")); n != 0 {
		t.Fatalf("got %d objects after the last submission of the model, want 0", n)
	}
}

// A sender may submit a step while the one before is open. The texts of a step that has
// ended must be found even if the next one is open or complete by then, also by an
// instance that has nothing in memory.
func TestPreviousOfOverlapping(t *testing.T) {
	ctx := context.Background()
	store := sitetest.NewStore()
	l1, l3 := endedHead("l1", "c", 5), endedHead("l3", "c", 9)
	opened, complete := endedHead("l2", "c", 7), endedHead("l2", "c", 7)
	opened.Ended, complete.Ended, complete.Complete = false, false, true
	for name, l2 := range map[string]submission.HeadRow{"open": opened, "complete": complete} {
		a, b := newCarryNode(t, store, "a-"+name), newCarryNode(t, store, "b-"+name)
		for _, h := range []submission.HeadRow{l1, l2} {
			a.SetHead(h)
			b.SetHead(h)
		}
		if err := a.KeepCarried(ctx, leftBy(l1)); err != nil {
			t.Fatal(err)
		}
		for n, want := range map[*node.Node]string{a: "memory", b: "store"} {
			if got := n.Previous(ctx, l3); got.Submission != "l1" || got.Source != want {
				t.Errorf("next one %s: got submission %q from %s, want l1 from %s", name, got.Submission, got.Source, want)
			}
		}
	}
}

// Texts are written to the store if the next submission is expected to allow their
// versions: one for which the same minimum holds on needs those of the minimum, and one
// whose minimum rises at each step does not.
func TestMinVersions(t *testing.T) {
	n := newCarryNode(t, sitetest.NewStore(), "a")
	for _, c := range []struct {
		step         int
		min          uint64
		latest, next uint64
	}{{1, 4, 4, 4}, {2, 5, 5, 6}, {3, 5, 5, 5}, {5, 7, 7, 8}, {6, 6, 6, 6}} {
		h := endedHead(string(rune('a'+c.step)), "c", uint64(c.step))
		h.Step, h.MinVersion = c.step, c.min
		n.SetHead(h)
		other := endedHead("o", "other", uint64(c.step))
		other.Step, other.MinVersion = 9, 99
		n.SetHead(other)
		if latest, next := n.MinVersions(h.Head); latest != c.latest || next != c.next {
			t.Errorf("step %d: got %d and %d, want %d and %d", c.step, latest, next, c.latest, c.next)
		}
	}
	overlapping := endedHead("b", "c", 9) // ends after later ones were submitted
	overlapping.Step, overlapping.MinVersion = 5, 7
	if latest, _ := n.MinVersions(overlapping.Head); latest != 6 {
		t.Errorf("got %d, want the minimum of the latest submission", latest)
	}
}

// The sender may end a submission between the write of its last result and that of the
// head as complete. The groups whose results it has not read come again, and the next run
// must not wait for the store because its owner has no record of the submission.
func TestEndedAtLastResult(t *testing.T) {
	ctx := context.Background()
	a := newCarryNode(t, sitetest.NewStore(), "a")
	l1 := endedHead("l1", "c", 5)
	a.SetHead(l1)
	r := submission.NewRunner(submission.Config{}, l1, submission.Spec{ID: "l1", Items: []submission.Item{{ID: "i"}}},
		submission.PriorWork{Results: []submission.Result{{Item: "i", State: submission.Done, Output: "x", Versions: []uint64{1}}}})
	a.KeepUnfinished(ctx, r, l1, nil)
	if got := a.Previous(ctx, endedHead("l2", "c", 9)); got.Submission != "l1" || got.Source != "memory" || len(got.Texts) != 1 {
		t.Errorf("got submission %q from %q with %d texts, want the text of l1 from memory", got.Submission, got.Source, len(got.Texts))
	}
}
