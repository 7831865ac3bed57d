package node

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/pkg/membership"
	"github.com/zinnialadder/zinnialadder/pkg/routetable"
	"github.com/zinnialadder/zinnialadder/pkg/scaling"
	"github.com/zinnialadder/zinnialadder/pkg/submission"
	"github.com/zinnialadder/zinnialadder/pkg/upstream"
	"github.com/zinnialadder/zinnialadder/pkg/weights"
)

// effect is an action requested by the control state. execute is called by the control
// goroutine and must not block.
type effect interface {
	execute(ctx context.Context, n *Node)
}

type (
	// logInfo logs a line at level info.
	logInfo struct {
		msg    string
		fields []any
	}
	// logUpstream logs a change of an upstream's entry, within a budget of lines.
	logUpstream struct {
		msg    string
		fields []any
	}
	// setTable puts a configuration in force.
	setTable struct{ table *routetable.Table }
	// setTargetVersions publishes the target weight versions, by model.
	setTargetVersions struct{ versions map[string]uint64 }
	// setUpstreams applies changes of entries to the registry of upstreams.
	setUpstreams struct {
		changes upstream.Changes
		total   int // number of registered upstreams
	}
	// setMembers publishes the live members.
	setMembers struct {
		live     *membership.Roster
		rowCount int // number of rows, of live and stale members
		// current means that callers may be given the addresses of live.
		current bool
	}
	// setHead publishes the head of a submission to readers.
	setHead struct{ submission.HeadRow }
	// markReady makes the instance accept requests if a configuration is in force.
	markReady struct{}
	// setReachable publishes the time since which the store has been reachable without
	// a break.
	setReachable struct{ since time.Time }
	// setOpenSubmissions publishes the open submissions by pool.
	setOpenSubmissions struct {
		byPool map[string][]scaling.Submission
	}
	// announceDrain announces to other instances that this one drains.
	announceDrain struct{}

	// startRun starts a run of a submission, from what its previous owners stored. The
	// end of the run is sent as runEnded.
	startRun struct {
		submission.HeadRow
		spec      submission.Spec
		priorWork submission.PriorWork
	}
	// stopRun cancels the run of a submission.
	stopRun struct{ id string }
	// releaseRun cancels the run of a submission and hands the submission over. Its end
	// is sent as runEnded.
	releaseRun struct{ submission.HeadRow }
	// takeOver claims a submission and reads what its previous owners stored. The
	// outcome is sent as takenOver.
	takeOver struct{ submission.HeadRow }
	// sweep deletes a submission. The outcome is sent as swept.
	sweep struct{ submission.HeadRow }
	// removeHead removes the head of a deleted submission from those that readers see.
	removeHead struct{ id string }

	// assignEngines assigns the engines of each pool to the models.
	assignEngines struct{ demands []weights.Demand }

	// planOrders sends the load orders that are due, if this instance holds the orders
	// lease.
	planOrders struct {
		at      time.Time
		demands []weights.Demand
	}
)

func (e logInfo) execute(_ context.Context, n *Node) { n.cfg.Logger.Info(e.msg, e.fields...) }

func (e logUpstream) execute(_ context.Context, n *Node) {
	n.observer.logLine(n.observer.upstreams, false, e.msg, e.fields...)
}

func (e setTable) execute(_ context.Context, n *Node) {
	memory, slots := make(map[string]int, len(e.table.Pools)), make(map[string]int, len(e.table.Pools))
	for name, pool := range e.table.Pools {
		memory[name], slots[name] = pool.MemoryTokens, pool.MaxSlots
	}
	n.registry.SetMemory(memory)
	n.registry.SetSlotLimits(slots)
	n.table.Store(e.table)
	n.cfg.Logger.Info("configuration in force", "version", e.table.Version, "routes", e.table.RouteCount())
}

func (e setTargetVersions) execute(_ context.Context, n *Node) { n.targetVersions.Store(&e.versions) }

func (e setUpstreams) execute(_ context.Context, n *Node) {
	n.registry.Apply(e.changes)
	n.upstreams.Store(int64(e.total))
}

func (e setMembers) execute(_ context.Context, n *Node) {
	if st := n.ranking.Load(); st == nil || st.roster != e.live {
		n.ranking.Store(newMemberRanking(n.cfg.Name, e.live))
	}
	n.membersCurrent.Store(e.current)
	n.member.rows.Store(int64(e.rowCount))
}

func (e setHead) execute(_ context.Context, n *Node) { n.heads.set(e.HeadRow) }

func (markReady) execute(_ context.Context, n *Node) {
	if n.table.Load() != nil && !n.ready.Swap(true) {
		n.cfg.Logger.Info("ready")
	}
}

func (e setReachable) execute(_ context.Context, n *Node) {
	n.reachableSinceNanos.Store(e.since.UnixNano())
}

func (e setOpenSubmissions) execute(_ context.Context, n *Node) { n.openSubmissions.Store(&e.byPool) }

// execute also makes instances that follow tables through this one choose another
// relay.
func (announceDrain) execute(ctx context.Context, n *Node) {
	n.member.drain()
	n.group.Go(func() error {
		if err := n.follower.DisableRelaying(ctx); err != nil {
			n.cfg.Logger.Debug("releasing the relay slot failed; draining continues", "err", err)
		}
		return nil
	})
}

func (e startRun) execute(ctx context.Context, n *Node) {
	rctx, cancel := context.WithCancel(ctx)
	cfg := n.runnerConfig()
	cfg.Previous = func(ctx context.Context) submission.Previous { return n.previous(ctx, e.HeadRow) }
	cfg.OnCarried = func(use submission.CarriedUse) { n.observer.carried(e.ID, use) }
	cfg.Estimator = n.reader.estimator(e.Head)
	r := submission.NewRunner(cfg, e.HeadRow, e.spec, e.priorWork)
	run := &localRun{runner: r, spec: e.spec, cancel: cancel, ended: make(chan struct{})}
	n.reader.addRun(e.ID, run)
	n.assigner.ensureCurrent()
	n.member.changed()
	n.cfg.Logger.Info("submission runs", "submission", e.ID, "items", len(e.spec.Items), "listed", len(e.priorWork.Results), "begun", len(e.priorWork.Partials), "fencing", e.Fencing)
	n.group.Go(func() error {
		err := r.Run(rctx)
		cancel()
		close(run.ended)
		n.keepUnfinished(ctx, r, e.Head, err)
		n.deleteProgress(ctx, r, e.ID, err)
		n.reader.finishRun(e.ID, r)
		n.observer.runEnded(e.Head, r.Summary(), err)
		head := r.Head()
		if h, _ := n.heads.get(e.ID); h.Ended && h.Fencing > head.Fencing {
			head = h // the followed table may show the end only later, and until then the submission would run again
		}
		n.enqueue(ctx, runEnded{ID: e.ID, Head: head, Err: err})
		return nil
	})
}

// deleteProgress deletes the texts stored by a run that needs no successor, because it
// wrote every result or its submission has ended.
func (n *Node) deleteProgress(ctx context.Context, r *submission.Runner, id string, err error) {
	if h, _ := n.heads.get(id); err != nil && !h.Ended {
		return
	}
	if err := r.DeleteProgress(ctx); err != nil {
		n.cfg.Logger.Warn("partial texts of an ended run not deleted; leaving them", "submission", id, "err", err)
	}
}

// execute deletes a submission whose retention time has passed.
func (e sweep) execute(ctx context.Context, n *Node) {
	n.group.Go(func() error {
		sctx, cancel := context.WithTimeout(ctx, sweepTimeout)
		defer cancel()
		err := n.deleteCarried(sctx, e.Head)
		if err == nil {
			err = n.submissions.DeleteSubmission(sctx, e.HeadRow)
		}
		n.cfg.Logger.Info("submission sweep ended", "submission", e.ID, "err", err)
		n.enqueue(ctx, swept{ID: e.ID, Err: err, At: time.Now()})
		return nil
	})
}

// sweepTimeout is the timeout of one sweep. The next sweep continues where it stopped.
const sweepTimeout = 5 * time.Second

func (e removeHead) execute(_ context.Context, n *Node) { n.heads.remove(e.id) }

func (e stopRun) execute(_ context.Context, n *Node) { n.reader.cancelRun(e.id) }

// execute stops the run, stores its texts for a successor and releases the submission,
// so that another instance need not wait for this instance's row to expire.
func (e releaseRun) execute(ctx context.Context, n *Node) {
	run := n.reader.run(e.ID)
	if run != nil {
		run.cancel()
	}
	n.group.Go(func() error {
		rctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if run != nil {
			<-run.ended
			if err := n.submissions.PutProgress(rctx, e.HeadRow, run.runner.Partials()); err != nil {
				n.cfg.Logger.Warn("progress not kept", "submission", e.ID, "err", err)
			}
		}
		_, err := n.submissions.UpdateHead(rctx, e.HeadRow, func(h submission.Head) (submission.Head, bool) {
			if h.Owner != n.startID || !h.Open() {
				return h, false
			}
			h.Owner, h.Claimed = "", false
			if run != nil || h.ProgressToken == 0 { // a run that has not started has stored no texts
				h.ProgressToken = e.Fencing
			}
			return h, true
		})
		n.cfg.Logger.Info("submission handed over", "submission", e.ID, "err", err)
		n.enqueue(ctx, runEnded{ID: e.ID, Err: err})
		return nil
	})
}

// storeTimeout is the timeout of the store calls made for one purpose.
const storeTimeout = 2 * time.Second

// execute claims the submission, then reads what its previous owners handed over and
// the results they wrote. What is read after the claim is complete, because no previous
// owner can write any more.
func (e takeOver) execute(ctx context.Context, n *Node) {
	n.group.Go(func() error {
		actx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
		defer cancel()
		out := takenOver{ID: e.ID}
		if out.Owned, out.Err = n.submissions.Claim(actx, e.HeadRow, n.startID); out.Err == nil {
			out.Spec, out.PriorWork, out.Err = n.readPriorWork(actx, e.HeadRow)
		}
		if errors.Is(out.Err, context.Canceled) {
			return nil
		}
		out.At = time.Now()
		n.enqueue(ctx, out)
		return nil
	})
}

// readPriorWork reads the specification of a submission and what its previous owners
// have stored.
func (n *Node) readPriorWork(ctx context.Context, head submission.HeadRow) (submission.Spec, submission.PriorWork, error) {
	var spec submission.Spec
	var out submission.PriorWork
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() (err error) {
		spec, err = n.reader.spec(gctx, head)
		return err
	})
	g.Go(func() (err error) {
		out, err = n.submissions.PriorWork(gctx, head)
		return err
	})
	return spec, out, g.Wait()
}

func (e assignEngines) execute(_ context.Context, n *Node) { n.assigner.setDemands(e.demands) }

func (e planOrders) execute(ctx context.Context, n *Node) { n.orders.plan(ctx, e) }
