package node

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// effect is something that the control state asks for. carryOut must not
// wait: it is called by the control goroutine.
type effect interface {
	carryOut(ctx context.Context, n *Node)
}

type (
	note struct {
		what   string
		fields []any
	}
	// upstreamNote is a note of an upstream's entry.
	upstreamNote struct {
		what   string
		fields []any
	}
	setTable     struct{ table *routetable.Table }
	setNamed     struct{ versions map[string]uint64 }
	setUpstreams struct {
		changes upstream.Changes
		total   int // upstreams that there are
	}
	setMembers struct {
		live *membership.Roster
		rows int // of live and lapsed members
		// current means that callers may be told of live.
		current bool
	}
	setHead     struct{ submission.HeadRow }
	becomeReady struct{}
	reached     struct{ since time.Time } // the store, without a break
	// setOpenItems tells the texts of open submissions, by pool.
	setOpenItems struct{ items map[string]int }
	leave        struct{} // tell the others that this instance drains

	startRun struct {
		submission.HeadRow
		spec submission.Spec
		left submission.PriorWork
	}
	stopRun    struct{ id string }
	releaseRun struct{ submission.HeadRow }
	adopt      struct{ submission.HeadRow }
	sweep      struct{ submission.HeadRow }
	dropHead   struct{ id string }

	// dealEngines deals the engines of each pool to the models.
	dealEngines struct{ demands []weights.Demand }

	planOrders struct {
		at      time.Time
		demands []weights.Demand
	}
)

func (e note) carryOut(_ context.Context, n *Node) { n.cfg.Logger.Info(e.what, e.fields...) }

func (e upstreamNote) carryOut(_ context.Context, n *Node) {
	n.observer.line(n.observer.upstreams, false, e.what, e.fields...)
}

func (e setTable) carryOut(_ context.Context, n *Node) {
	n.table.Store(e.table)
	n.cfg.Logger.Info("configuration in force", "version", e.table.Version, "routes", e.table.RouteCount())
}

func (e setNamed) carryOut(_ context.Context, n *Node) { n.named.Store(&e.versions) }

func (e setUpstreams) carryOut(_ context.Context, n *Node) {
	n.registry.Apply(e.changes)
	n.upstreams.Store(int64(e.total))
}

func (e setMembers) carryOut(_ context.Context, n *Node) {
	if st := n.standing.Load(); st == nil || st.roster != e.live {
		n.standing.Store(newStanding(n.cfg.Name, e.live))
	}
	n.membersCurrent.Store(e.current)
	n.member.rows.Store(int64(e.rows))
}

func (e setHead) carryOut(_ context.Context, n *Node) { n.heads.set(e.HeadRow) }

func (becomeReady) carryOut(_ context.Context, n *Node) {
	if n.table.Load() != nil && !n.ready.Swap(true) {
		n.cfg.Logger.Info("ready")
	}
}

func (e reached) carryOut(_ context.Context, n *Node) { n.reachedAt.Store(e.since.UnixNano()) }

func (e setOpenItems) carryOut(_ context.Context, n *Node) { n.openItems.Store(&e.items) }

// carryOut also has those who follow tables through this instance look for another.
func (leave) carryOut(ctx context.Context, n *Node) {
	n.member.leave()
	n.group.Go(func() error {
		if err := n.follower.DisableRelaying(ctx); err != nil {
			n.cfg.Logger.Debug("slot of a relay not given up", "err", err)
		}
		return nil
	})
}

func (e startRun) carryOut(ctx context.Context, n *Node) {
	rctx, cancel := context.WithCancel(ctx)
	r := submission.NewRunner(n.runnerConfig(), e.HeadRow, e.spec, e.left)
	run := &ownRun{runner: r, spec: e.spec, cancel: cancel, ended: make(chan struct{})}
	n.readers.own(e.ID, run)
	n.dealer.need()
	n.member.changed()
	n.cfg.Logger.Info("submission runs", "submission", e.ID, "items", len(e.spec.Items), "listed", len(e.left.Results), "begun", len(e.left.Partials), "fencing", e.Fencing)
	n.group.Go(func() error {
		err := r.Run(rctx)
		cancel()
		close(run.ended)
		n.dropProgress(ctx, r, e.ID, err)
		n.readers.disown(e.ID, r)
		n.observer.runEnded(e.Head, r.Summary(), err)
		n.tell(ctx, runEnded{ID: e.ID, Head: r.Head(), Err: err})
		return nil
	})
}

// dropProgress deletes the texts kept by a run that needs no successor: it wrote
// every result, or its submission has ended.
func (n *Node) dropProgress(ctx context.Context, r *submission.Runner, id string, err error) {
	if h, _ := n.heads.get(id); err != nil && !h.Ended {
		return
	}
	if err := r.DeleteProgress(ctx); err != nil {
		n.cfg.Logger.Warn("progress not dropped", "submission", id, "err", err)
	}
}

// carryOut deletes a submission that nobody reads any more.
func (e sweep) carryOut(ctx context.Context, n *Node) {
	n.group.Go(func() error {
		sctx, cancel := context.WithTimeout(ctx, sweepTime)
		defer cancel()
		err := n.log.DeleteSubmission(sctx, e.HeadRow)
		n.cfg.Logger.Info("submission swept", "submission", e.ID, "err", err)
		n.tell(ctx, swept{ID: e.ID, Err: err, At: time.Now()})
		return nil
	})
}

// sweepTime bounds one sweep; it goes on at the next.
const sweepTime = 5 * time.Second

func (e dropHead) carryOut(_ context.Context, n *Node) { n.heads.drop(e.id) }

func (e stopRun) carryOut(_ context.Context, n *Node) { n.readers.stop(e.id) }

// carryOut stops the run, keeps its texts for a successor and gives the
// submission up, so that another instance need not wait for this one's row to
// lapse.
func (e releaseRun) carryOut(ctx context.Context, n *Node) {
	run := n.readers.run(e.ID)
	if run != nil {
		run.cancel()
	}
	n.group.Go(func() error {
		rctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		if run != nil {
			<-run.ended
			if err := n.log.PutProgress(rctx, e.HeadRow, run.runner.Partials()); err != nil {
				n.cfg.Logger.Warn("progress not kept", "submission", e.ID, "err", err)
			}
		}
		_, err := n.log.UpdateHead(rctx, e.HeadRow, func(h submission.Head) (submission.Head, bool) {
			if h.Owner != n.start || !h.Open() {
				return h, false
			}
			h.Owner, h.Claimed, h.ProgressToken = "", false, e.Fencing
			return h, true
		})
		n.cfg.Logger.Info("submission handed over", "submission", e.ID, "err", err)
		n.tell(ctx, runEnded{ID: e.ID, Err: err})
		return nil
	})
}

// storeTime bounds what is tried at the store for one purpose.
const storeTime = 2 * time.Second

// carryOut claims the submission and reads what was handed over and what has
// been written of its results. The claim comes first: what is read after it is
// complete, as no earlier owner can write any more.
func (e adopt) carryOut(ctx context.Context, n *Node) {
	n.group.Go(func() error {
		actx, cancel := context.WithTimeout(ctx, 2*storeTime)
		defer cancel()
		out := adopted{ID: e.ID}
		if out.Owned, out.Err = n.log.Claim(actx, e.HeadRow, n.start); out.Err == nil {
			out.Spec, out.PriorWork, out.Err = n.readLeft(actx, e.HeadRow)
		}
		if errors.Is(out.Err, context.Canceled) {
			return nil
		}
		out.At = time.Now()
		n.tell(ctx, out)
		return nil
	})
}

// readLeft reads what the owners before have left of a submission.
func (n *Node) readLeft(ctx context.Context, left submission.HeadRow) (submission.Spec, submission.PriorWork, error) {
	var spec submission.Spec
	var out submission.PriorWork
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		spec, err = n.readers.spec(gctx, left)
		return err
	})
	g.Go(func() (err error) {
		out, err = n.log.PriorWork(gctx, left)
		return err
	})
	return spec, out, g.Wait()
}

func (e dealEngines) carryOut(_ context.Context, n *Node) { n.dealer.want(e.demands) }

func (e planOrders) carryOut(ctx context.Context, n *Node) { n.orders.plan(ctx, e) }
